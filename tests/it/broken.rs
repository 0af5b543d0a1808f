//! Gangs whose members tell that another one has ended.

use std::time::Duration;

use landingvalve::graph::RunOutcome;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

const SIX: &[(&str, &str)] = &[
    ("w1", "r1"),
    ("w2", "r1"),
    ("w3", "r1"),
    ("w4", "r2"),
    ("w5", "r2"),
    ("w6", "r2"),
];

/// Starts a gang of three whole workers in one rack; returns the site and
/// which workers it is on.
fn gang() -> (Site, Vec<usize>) {
    let mut site = Site::new(SIX);
    site.submit(job("gang", 1, vec![step(3, 8, true)], &site));
    site.settle();
    assert_eq!(site.running("gang"), 3);
    let on = |at: &usize| !site.workers[*at].running.is_empty();
    let on: Vec<usize> = (0..6).filter(on).collect();
    (site, on)
}

/// Ends the gang's run on some workers.
fn end(site: &mut Site, on: &[usize], how: RunOutcome) {
    for at in on {
        site.workers[*at].end(how, |_| true);
    }
}

#[test]
fn a_gang_begins_anew_though_the_worker_that_broke_it_says_nothing() {
    let (mut site, on) = gang();
    // One worker is taken away; the others tell that a member has ended.
    let gone = site.workers.remove(on[2]);
    end(&mut site, &on[..2], RunOutcome::Broken);
    site.run_for(Duration::from_secs(4));
    assert_eq!(site.running("gang"), 3, "begun anew within 4 s");
    // Should it come back, what it tells of that run counts no more.
    let mut back = gone;
    back.end(RunOutcome::Done, |_| true);
    site.workers.push(back);
    site.settle();
    assert_eq!(site.outcome("gang"), None);
}

/// A worker was taken away at short notice while its agent stayed: four of
/// five members told after 4.2 s that another one had ended, the agent told
/// `the worker does not answer`, and the gang was begun anew only 5.4 s later,
/// once the worker's leases had run out: `how="worker gone" ran_ms=9710`.
#[test]
fn a_gang_begins_anew_though_the_agent_beside_the_cause_goes_on() {
    let (mut site, on) = gang();
    site.workers[on[2]].unresponsive = true;
    end(&mut site, &on[..2], RunOutcome::Broken);
    site.run_for(Duration::from_secs(1));
    assert_eq!(site.running("gang"), 4, "three anew, and the old list");
}

#[test]
fn a_last_attempt_waits_for_how_the_silent_member_ended() {
    let (mut site, _) = gang();
    let on = |site: &Site| -> Vec<usize> {
        let workers = site.workers.iter().enumerate();
        let here = workers.filter(|(_, w)| !w.running.is_empty());
        here.map(|(at, _)| at).collect()
    };
    // Two of three attempts have failed: should the silent member have
    // failed as well, the job is over.
    for _ in 0..2 {
        let here = on(&site);
        end(&mut site, &here[..1], RunOutcome::Failed);
        end(&mut site, &here[1..], RunOutcome::Broken);
        site.run_for(Duration::from_secs(6));
        assert_eq!(site.running("gang"), 3);
    }
    let here = on(&site);
    site.workers[here[2]].unresponsive = true;
    end(&mut site, &here[..2], RunOutcome::Broken);
    site.run_for(Duration::from_secs(4));
    assert_eq!(site.running("gang"), 1, "its leases have not run out");
}

#[test]
fn a_gang_waits_for_a_silent_worker_while_another_cause_is_known() {
    let (mut site, on) = gang();
    site.workers.remove(on[2]);
    // The first has failed: the silent one may well be running yet.
    end(&mut site, &on[..1], RunOutcome::Failed);
    site.settle();
    end(&mut site, &on[1..2], RunOutcome::Broken);
    site.run_for(Duration::from_secs(8));
    assert_eq!(site.running("gang"), 0, "its leases have not run out");
    site.run_for(Duration::from_secs(7));
    assert_eq!(site.running("gang"), 3);
}

#[test]
fn a_gang_waits_for_two_silent_workers() {
    let (mut site, on) = gang();
    site.workers.remove(on[2]);
    site.workers.remove(on[1]);
    // One of the two has ended; the other may be running yet.
    end(&mut site, &on[..1], RunOutcome::Broken);
    site.run_for(Duration::from_secs(8));
    assert_eq!(site.running("gang"), 0, "their leases have not run out");
}

#[test]
fn a_gang_waits_for_a_worker_that_is_merely_late_with_its_report() {
    let (mut site, on) = gang();
    let late = site.workers.remove(on[2]);
    end(&mut site, &on[..2], RunOutcome::Broken);
    site.run_for(Duration::from_secs(1));
    assert_eq!(site.running("gang"), 0, "it may tell yet how it ended");
    let mut late = late;
    late.end(RunOutcome::Done, |_| true);
    site.workers.push(late);
    site.settle();
    site.run_for(Duration::from_secs(3));
    assert_eq!(site.running("gang"), 0, "it was done after all");
}

/// Two members of a gang were lost with their worker, one of them before its
/// order was handed out: it ended with the first as that gang was given up,
/// and once more as lost. The worker then counted as emptier than it can be,
/// and was filled beyond its room once it spoke again.
#[test]
fn a_worker_is_given_back_no_more_than_was_taken() {
    let mut site = Site::new(&[("w1", "r1"), ("w2", "r1")]);
    for worker in &mut site.workers {
        site.scheduler.apply_report(worker.report(), site.now);
    }
    site.submit(job("gang", 1, vec![step(3, 4, true)], &site));
    site.schedule();
    site.write_progress();
    // One worker is told of its one member; of the other with two nothing is
    // heard for long.
    let placed = site.scheduler.progress("gang").expect("it has begun");
    let on: Vec<_> = placed.units.values().flat_map(|u| &u.on).collect();
    let on = |agent: &str| on.iter().filter(|p| &*p.agent == agent).count();
    let full = usize::from(on("w2") == 2);
    let silent = site.workers.remove(full);
    for _ in 0..40 {
        site.advance(Duration::from_millis(500));
        site.settle();
    }
    site.scheduler.cancel_job("gang", site.now);
    site.settle();
    site.workers = vec![silent];
    site.submit(job("many", 1, vec![step(10, 1, false)], &site));
    site.run_for(Duration::from_secs(3));
    assert_eq!(site.running("many"), 8);
}
