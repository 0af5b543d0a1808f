//! Steps that only run on workers that an advice service permits.
//!
//! Guards against starts without a valid ticket of the service.

use std::time::Duration;

use landingvalve::graph::Advice;
use landingvalve::graph::Question;
use landingvalve::graph::Refusal;
use landingvalve::graph::Refused;
use landingvalve::graph::Ticket;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

const THREE_WORKERS: &[(&str, &str)] =
    &[("w1", "r1"), ("w2", "r1"), ("w3", "r2")];

/// Returns a site with a job of two tasks whose starts need permission.
fn site() -> Site {
    let mut site = Site::new(THREE_WORKERS);
    let mut asks = job("asks", 1, vec![step(2, 8, false)], &site);
    asks.advice = Some(Advice {
        valid: Duration::from_secs(3),
    });
    site.submit(asks);
    site.settle();
    site
}

/// Returns the scheduler's next question to the service.
fn next_question(site: &mut Site) -> Option<Question> {
    site.scheduler.take_question(site.now)
}

/// Lets the service answer that a step may run on some lives.
fn permit(site: &mut Site, question: &Question, lives: &[&str]) {
    let ticket = |life: &&str| Ticket {
        life: (*life).into(),
        text: format!("ticket-{life}"),
    };
    let tickets = lives.iter().map(ticket).collect();
    site.scheduler
        .apply_advice(question, Some(tickets), site.now.monotonic);
    site.settle();
}

/// Returns the agents of the workers that run something.
fn busy_agents(site: &Site) -> Vec<&str> {
    let busy = site.workers.iter().filter(|w| !w.running.is_empty());
    busy.map(|w| &*w.agent).collect()
}

#[test]
fn a_task_starts_only_on_permitted_workers() {
    let mut site = site();
    assert_eq!(site.running("asks"), 0);
    let question = next_question(&mut site).expect("permission is needed");
    assert_eq!(question.lives.len(), 3);
    assert_eq!(next_question(&mut site), None, "one question at a time");
    permit(&mut site, &question, &["w2-1"]);
    assert_eq!(busy_agents(&site), ["w2"]);
    site.advance(Duration::from_secs(1));
    site.settle();
    assert_eq!(
        next_question(&mut site),
        None,
        "a refused worker is not asked for again"
    );
}

#[test]
fn a_start_includes_its_ticket() {
    let mut site = site();
    let question = next_question(&mut site).expect("permission is needed");
    let granted = vec![Ticket {
        life: "w3-1".into(),
        text: "leave".to_owned(),
    }];
    site.scheduler
        .apply_advice(&question, Some(granted), site.now.monotonic);
    site.schedule();
    site.write_progress();
    let agent = site.workers[2].agent.clone();
    let starts = site.scheduler.orders(&agent).starts;
    let tickets: Vec<Option<String>> =
        starts.into_iter().map(|start| start.ticket).collect();
    assert_eq!(tickets, [Some("leave".to_owned())]);
}

#[test]
fn an_expired_ticket_is_renewed_before_it_is_used() {
    let mut site = site();
    let question = next_question(&mut site).expect("permission is needed");
    permit(&mut site, &question, &["w1-1"]);
    assert_eq!(busy_agents(&site), ["w1"]);
    site.advance(Duration::from_secs(4));
    site.finish_job("asks");
    site.settle();
    assert_eq!(busy_agents(&site), [""; 0], "the ticket has expired");
    let question =
        next_question(&mut site).expect("permission is needed again");
    assert_eq!(question.lives, ["w1-1".into()]);
    permit(&mut site, &question, &["w1-1"]);
    assert_eq!(busy_agents(&site), ["w1"]);
}

#[test]
fn a_ticket_that_a_worker_refuses_is_requested_again() {
    let mut site = site();
    let question = next_question(&mut site).expect("permission is needed");
    let granted = vec![Ticket {
        life: "w1-1".into(),
        text: "stale".to_owned(),
    }];
    site.scheduler
        .apply_advice(&question, Some(granted), site.now.monotonic);
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
    let question =
        next_question(&mut site).expect("permission is needed again");
    assert_eq!(question.lives, ["w1-1".into()]);
}

#[test]
fn an_unanswered_question_is_asked_again() {
    let mut site = site();
    let question = next_question(&mut site).expect("permission is needed");
    site.scheduler
        .apply_advice(&question, None, site.now.monotonic);
    assert_eq!(next_question(&mut site), None, "not at once");
    site.advance(Duration::from_millis(600));
    site.settle();
    assert_eq!(next_question(&mut site), Some(question));
}
