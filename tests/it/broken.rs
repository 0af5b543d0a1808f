//! Gangs that are broken because one member has ended.
//!
//! Guards against gangs that wait until a silent worker's leases expire although
//! the other members' reports show that its member has ended, and against
//! restarts while a member may still be running.

use std::time::Duration;

use landingvalve::graph::RunOutcome;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

const SIX_WORKERS: &[(&str, &str)] = &[
    ("w1", "r1"),
    ("w2", "r1"),
    ("w3", "r1"),
    ("w4", "r2"),
    ("w5", "r2"),
    ("w6", "r2"),
];

/// Starts a gang of three whole workers in one rack; returns the site and the
/// indices of the gang's workers.
fn gang() -> (Site, Vec<usize>) {
    let mut site = Site::new(SIX_WORKERS);
    site.submit(job("gang", 1, vec![step(3, 8, true)], &site));
    site.settle();
    assert_eq!(site.running("gang"), 3);
    let is_busy = |index: &usize| !site.workers[*index].running.is_empty();
    let workers: Vec<usize> = (0..6).filter(is_busy).collect();
    (site, workers)
}

/// Ends the gang's run on some workers.
fn end(site: &mut Site, workers: &[usize], outcome: RunOutcome) {
    for index in workers {
        site.workers[*index].end(outcome, |_| true);
    }
}

#[test]
fn a_gang_restarts_although_the_worker_that_broke_it_is_silent() {
    let (mut site, workers) = gang();
    // One worker is taken away; the others report that a member has ended.
    let lost = site.workers.remove(workers[2]);
    end(&mut site, &workers[..2], RunOutcome::Broken);
    site.run_for(Duration::from_secs(4));
    assert_eq!(site.running("gang"), 3, "not restarted within 4 s");
    // If the lost worker returns, its report about that run no longer counts.
    let mut returned = lost;
    returned.end(RunOutcome::Done, |_| true);
    site.workers.push(returned);
    site.settle();
    assert_eq!(site.outcome("gang"), None);
}

/// Guards against gangs that wait too long if a worker is taken away at short
/// notice and its agent stays. The other members reported after 4.2 s that one
/// had ended, but the agent's reports that its worker does not answer kept the
/// gang waiting until the worker's leases had expired, 5.4 s later.
#[test]
fn a_gang_restarts_although_the_agent_of_the_silent_worker_still_reports() {
    let (mut site, workers) = gang();
    site.workers[workers[2]].unresponsive = true;
    end(&mut site, &workers[..2], RunOutcome::Broken);
    site.run_for(Duration::from_secs(1));
    assert_eq!(site.running("gang"), 4, "three restarted, one still listed");
}

#[test]
fn a_last_attempt_waits_for_the_outcome_of_the_silent_member() {
    let (mut site, _) = gang();
    let busy_workers = |site: &Site| -> Vec<usize> {
        let workers = site.workers.iter().enumerate();
        let busy = workers.filter(|(_, w)| !w.running.is_empty());
        busy.map(|(index, _)| index).collect()
    };
    // Two of three attempts have failed. If the silent member has failed as
    // well, the job has failed.
    for _ in 0..2 {
        let workers = busy_workers(&site);
        end(&mut site, &workers[..1], RunOutcome::Failed);
        end(&mut site, &workers[1..], RunOutcome::Broken);
        site.run_for(Duration::from_secs(6));
        assert_eq!(site.running("gang"), 3);
    }
    let workers = busy_workers(&site);
    site.workers[workers[2]].unresponsive = true;
    end(&mut site, &workers[..2], RunOutcome::Broken);
    site.run_for(Duration::from_secs(4));
    assert_eq!(site.running("gang"), 1, "its leases have not expired");
}

#[test]
fn a_gang_waits_for_a_silent_worker_if_another_member_has_failed() {
    let (mut site, workers) = gang();
    site.workers.remove(workers[2]);
    // The first member's failure explains why the gang broke: the silent member
    // may still be running.
    end(&mut site, &workers[..1], RunOutcome::Failed);
    site.settle();
    end(&mut site, &workers[1..2], RunOutcome::Broken);
    site.run_for(Duration::from_secs(8));
    assert_eq!(site.running("gang"), 0, "its leases have not expired");
    site.run_for(Duration::from_secs(7));
    assert_eq!(site.running("gang"), 3);
}

#[test]
fn a_gang_waits_for_two_silent_workers() {
    let (mut site, workers) = gang();
    site.workers.remove(workers[2]);
    site.workers.remove(workers[1]);
    // One of the two has ended; the other may still be running.
    end(&mut site, &workers[..1], RunOutcome::Broken);
    site.run_for(Duration::from_secs(8));
    assert_eq!(site.running("gang"), 0, "their leases have not expired");
}

#[test]
fn a_gang_waits_for_a_worker_whose_report_is_late() {
    let (mut site, workers) = gang();
    let late = site.workers.remove(workers[2]);
    end(&mut site, &workers[..2], RunOutcome::Broken);
    site.run_for(Duration::from_secs(1));
    assert_eq!(site.running("gang"), 0, "its outcome may still be reported");
    let mut late = late;
    late.end(RunOutcome::Done, |_| true);
    site.workers.push(late);
    site.settle();
    site.run_for(Duration::from_secs(3));
    assert_eq!(site.running("gang"), 0, "the gang was done");
}

/// Guards against resources that are released twice. Two members of a gang were
/// lost with their worker, one of them before its order was sent: that member
/// ended with the first one when the gang was given up, and again as lost. The
/// worker was then overfilled once it reported again.
#[test]
fn a_member_s_resources_are_released_once() {
    let mut site = Site::new(&[("w1", "r1"), ("w2", "r1")]);
    for worker in &mut site.workers {
        site.scheduler.apply_report(worker.report(), site.now);
    }
    site.submit(job("gang", 1, vec![step(3, 4, true)], &site));
    site.schedule();
    site.write_progress();
    // The worker with one member gets its order; the worker with two members
    // is silent for a long time.
    let progress = site.scheduler.progress("gang").expect("it is placed");
    let places: Vec<_> = progress.units.values().flat_map(|u| &u.on).collect();
    let members =
        |agent: &str| places.iter().filter(|p| &*p.agent == agent).count();
    let with_two = usize::from(members("w2") == 2);
    let silent = site.workers.remove(with_two);
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
