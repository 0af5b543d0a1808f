//! Steps that run only where a service gives leave.

use std::time::Duration;

use landingvalve::graph::Advice;
use landingvalve::graph::Question;
use landingvalve::graph::Refusal;
use landingvalve::graph::Refused;
use landingvalve::graph::Ticket;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

const THREE: &[(&str, &str)] = &[("w1", "r1"), ("w2", "r1"), ("w3", "r2")];

/// Returns a site with a job of two tasks whose starts need leave.
fn site() -> Site {
    let mut site = Site::new(THREE);
    let mut asks = job("asks", 1, vec![step(2, 8, false)], &site);
    asks.advice = Some(Advice {
        valid: Duration::from_secs(3),
    });
    site.submit(asks);
    site.settle();
    site
}

fn ask(site: &mut Site) -> Option<Question> {
    site.scheduler.take_question(site.now)
}

/// Lets the service answer that a step may run on some lives.
fn answer(site: &mut Site, question: &Question, good: &[&str]) {
    let ticket = |life: &&str| Ticket {
        life: (*life).into(),
        text: format!("ticket-{life}"),
    };
    let good = good.iter().map(ticket).collect();
    site.scheduler
        .apply_advice(question, Some(good), site.now.monotonic);
    site.settle();
}

/// Returns which workers run something.
fn busy(site: &Site) -> Vec<&str> {
    let busy = site.workers.iter().filter(|w| !w.running.is_empty());
    busy.map(|w| &*w.agent).collect()
}

#[test]
fn a_task_starts_only_where_there_is_leave() {
    let mut site = site();
    assert_eq!(site.running("asks"), 0);
    let question = ask(&mut site).expect("leave is needed");
    assert_eq!(question.lives.len(), 3);
    assert_eq!(ask(&mut site), None, "one question at a time");
    answer(&mut site, &question, &["w2-1"]);
    assert_eq!(busy(&site), ["w2"]);
    site.advance(Duration::from_secs(1));
    site.settle();
    assert_eq!(ask(&mut site), None, "who may not run it stays so");
}

#[test]
fn a_start_brings_its_ticket() {
    let mut site = site();
    let question = ask(&mut site).expect("leave is needed");
    let good = vec![Ticket {
        life: "w3-1".into(),
        text: "leave".to_owned(),
    }];
    site.scheduler
        .apply_advice(&question, Some(good), site.now.monotonic);
    site.schedule();
    site.write_progress();
    let agent = site.workers[2].agent.clone();
    let starts = site.scheduler.orders(&agent).starts;
    let tickets: Vec<Option<String>> =
        starts.into_iter().map(|start| start.ticket).collect();
    assert_eq!(tickets, [Some("leave".to_owned())]);
}

#[test]
fn an_old_ticket_is_renewed_before_it_is_used() {
    let mut site = site();
    let question = ask(&mut site).expect("leave is needed");
    answer(&mut site, &question, &["w1-1"]);
    assert_eq!(busy(&site), ["w1"]);
    site.advance(Duration::from_secs(4));
    site.finish_job("asks");
    site.settle();
    assert_eq!(busy(&site), [""; 0], "its ticket has run out");
    let question = ask(&mut site).expect("leave is needed again");
    assert_eq!(question.lives, ["w1-1".into()]);
    answer(&mut site, &question, &["w1-1"]);
    assert_eq!(busy(&site), ["w1"]);
}

#[test]
fn a_ticket_that_a_worker_refuses_is_asked_for_anew() {
    let mut site = site();
    let question = ask(&mut site).expect("leave is needed");
    let good = vec![Ticket {
        life: "w1-1".into(),
        text: "stale".to_owned(),
    }];
    site.scheduler
        .apply_advice(&question, Some(good), site.now.monotonic);
    site.schedule();
    site.write_progress();
    let agent = site.workers[0].agent.clone();
    let start = site.scheduler.orders(&agent).starts.remove(0);
    let mut report = site.workers[0].report();
    if let Some(worker) = &mut report.worker {
        worker.refused.push(Refused {
            task: start.task,
            run: start.run,
            why: Refusal::Ticket,
        });
    }
    site.scheduler.apply_report(report, site.now);
    let question = ask(&mut site).expect("leave is needed again");
    assert_eq!(question.lives, ["w1-1".into()]);
}

#[test]
fn a_question_without_answer_is_put_again() {
    let mut site = site();
    let question = ask(&mut site).expect("leave is needed");
    site.scheduler
        .apply_advice(&question, None, site.now.monotonic);
    assert_eq!(ask(&mut site), None, "not at once");
    site.advance(Duration::from_millis(600));
    site.settle();
    assert_eq!(ask(&mut site), Some(question));
}
