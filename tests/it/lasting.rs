//! Tasks that last, once they have failed.
//!
//! Guards against lasting tasks that stay away although there is room for
//! them, because that room is kept for other work.

use std::time::Duration;

use landingvalve::graph::Job;
use landingvalve::graph::RunOutcome;
use landingvalve::graph::Step;

use crate::graph::job;
use crate::graph::step;
use crate::graph::Site;

/// How long a task that lasts may be away after its run while there is room.
const MAX_AWAY: Duration = Duration::from_secs(3);
/// The interval at which the site is looked at.
const INTERVAL: Duration = Duration::from_millis(250);

/// Returns a step of one task that lasts and needs two accelerators.
fn lasting_step() -> Step {
    Step {
        lasting: true,
        ..step(1, 2, false)
    }
}

/// Returns a job of priority 2 whose tasks run for longer than any test.
fn long_job(id: &str, replicas: u32, site: &Site) -> Job {
    let long = Step {
        estimate: Duration::from_secs(600),
        ..step(replicas, 8, false)
    };
    job(id, 2, vec![long], site)
}

/// Ends the running tasks of a job as failed.
fn fail(site: &mut Site, id: &str) {
    for worker in &mut site.workers {
        worker.end(RunOutcome::Failed, |run| &*run.task.job == id);
    }
}

/// Returns how long it takes until a job's only task runs, up to `limit`.
fn away(site: &mut Site, id: &str, limit: Duration) -> Duration {
    let mut waited = Duration::ZERO;
    site.settle();
    while site.running(id) == 0 && waited < limit {
        site.advance(INTERVAL);
        site.settle();
        waited += INTERVAL;
    }
    waited
}

/// Runs an urgent job to its end, so that workers are kept for the next one.
fn run_urgent(site: &mut Site, id: &str) {
    site.submit(job(id, 0, vec![step(1, 1, false)], site));
    site.settle();
    assert_eq!(site.running(id), 1, "{id} does not begin");
    site.finish_job(id);
    site.settle();
}

const FIVE_WORKERS: &[(&str, &str)] = &[
    ("w1", "r1"),
    ("w2", "r1"),
    ("w3", "r1"),
    ("w4", "r2"),
    ("w5", "r2"),
];

/// Returns a site with four full workers and a task that lasts on the fifth,
/// on which an urgent job has run recently.
fn nearly_full_site() -> Site {
    let mut site = Site::new(FIVE_WORKERS);
    site.submit(long_job("long", 4, &site));
    site.submit(job("lasting", 2, vec![lasting_step()], &site));
    site.settle();
    assert_eq!((site.running("long"), site.running("lasting")), (4, 1));
    run_urgent(&mut site, "urgent0");
    site
}

#[test]
fn lasting_task_stays_away_while_a_worker_is_left_empty() {
    let mut site = nearly_full_site();
    site.run_for(Duration::from_secs(6));
    fail(&mut site, "lasting");
    let away = away(&mut site, "lasting", Duration::from_secs(20));
    assert!(away <= MAX_AWAY, "away for {away:?}");
}

#[test]
fn urgent_job_begins_beside_a_lasting_task_on_the_kept_worker() {
    let mut site = nearly_full_site();
    fail(&mut site, "lasting");
    site.run_for(MAX_AWAY);
    run_urgent(&mut site, "urgent1");
    assert_eq!(site.running("lasting"), 1);
}

#[test]
fn lasting_task_takes_a_kept_worker_though_others_have_room() {
    let mut site = Site::new(FIVE_WORKERS);
    site.submit(long_job("long", 3, &site));
    site.settle();
    site.submit(job("beside", 2, vec![step(1, 4, false)], &site));
    site.settle();
    run_urgent(&mut site, "urgent0");
    site.submit(job("lasting", 2, vec![lasting_step()], &site));
    site.settle();
    assert_eq!(site.running("lasting"), 1);
    let empty = site.workers.iter().filter(|w| w.running.is_empty());
    assert_eq!(empty.count(), 1, "the kept worker is used");
}

#[test]
fn lasting_task_stays_away_while_its_room_is_reserved() {
    let mut site = Site::new(&[("w1", "r1"), ("w2", "r1")]);
    site.submit(long_job("long", 1, &site));
    site.submit(job("lasting", 1, vec![lasting_step()], &site));
    site.settle();
    let gang = Step {
        same_rack: false,
        ..step(2, 8, true)
    };
    site.submit(job("gang", 1, vec![gang], &site));
    // The gang's slack is spent, so that it reserves both workers.
    site.run_for(Duration::from_secs(20));
    assert_eq!((site.running("long"), site.running("lasting")), (1, 1));
    fail(&mut site, "lasting");
    let away = away(&mut site, "lasting", Duration::from_secs(20));
    assert!(away <= MAX_AWAY, "away for {away:?}");
}

#[test]
fn lasting_tasks_stay_away_from_the_worker_on_which_they_fail_by_turns() {
    let mut site = Site::new(&[("w1", "r1")]);
    for id in ["first", "second"] {
        site.submit(job(id, 1, vec![lasting_step()], &site));
    }
    site.settle();
    for round in 0..6 {
        for id in ["first", "second"] {
            site.run_for(Duration::from_secs(2));
            fail(&mut site, id);
            let away = away(&mut site, id, Duration::from_secs(60));
            assert!(away <= MAX_AWAY, "{id}, round {round}: {away:?}");
        }
    }
}

#[test]
fn lasting_tasks_put_the_only_worker_of_other_jobs_in_quarantine() {
    let mut site = Site::new(&[("w1", "r1")]);
    for id in ["first", "second"] {
        site.submit(job(id, 1, vec![lasting_step()], &site));
    }
    site.settle();
    for id in ["first", "second", "first", "second"] {
        site.run_for(Duration::from_secs(20));
        fail(&mut site, id);
        site.run_for(Duration::from_secs(1));
    }
    site.submit(job("other", 1, vec![step(1, 1, false)], &site));
    let away = away(&mut site, "other", Duration::from_secs(60));
    assert!(away <= MAX_AWAY, "away for {away:?}");
}

#[test]
fn lasting_task_stays_away_from_the_only_worker_with_room_as_it_failed_there()
{
    let mut site = Site::new(FIVE_WORKERS);
    site.submit(long_job("long", 4, &site));
    site.submit(job("lasting", 2, vec![lasting_step()], &site));
    site.settle();
    site.run_for(Duration::from_secs(6));
    fail(&mut site, "lasting");
    let away = away(&mut site, "lasting", Duration::from_secs(20));
    assert!(away <= MAX_AWAY, "away for {away:?}");
}

#[test]
fn lasting_task_waits_for_the_worker_that_its_sibling_must_not_share() {
    let mut site = Site::new(FIVE_WORKERS);
    site.submit(long_job("long", 3, &site));
    site.settle();
    let pair = Step {
        replicas: 2,
        per_worker: Some(1),
        ..lasting_step()
    };
    site.submit(job("pair", 2, vec![pair], &site));
    site.settle();
    assert_eq!(site.running("pair"), 2);
    run_urgent(&mut site, "urgent0");
    site.run_for(Duration::from_secs(6));
    let last = site.workers.iter_mut().rfind(|w| !w.running.is_empty());
    let last = last.expect("a worker runs a task");
    last.end(RunOutcome::Failed, |run| &*run.task.job == "pair");
    site.settle();
    assert_eq!(site.running("pair"), 1, "none has failed");
    site.run_for(MAX_AWAY);
    assert_eq!(site.running("pair"), 2);
}

#[test]
fn lasting_gang_waits_for_a_rack_of_its_own_beside_free_workers() {
    let mut site = Site::new(&[
        ("w1", "r1"),
        ("w2", "r1"),
        ("w3", "r1"),
        ("w4", "r2"),
        ("w5", "r2"),
        ("w6", "r2"),
    ]);
    // Two workers of each rack are left, with five accelerators each.
    for rack in ["r1", "r2"] {
        let on_rack = |replicas, accelerators| Step {
            label: Some(rack.into()),
            per_worker: Some(1),
            ..step(replicas, accelerators, false)
        };
        let full = format!("full-{rack}");
        site.submit(job(&full, 1, vec![on_rack(1, 8)], &site));
        site.settle();
        let beside = format!("beside-{rack}");
        site.submit(job(&beside, 1, vec![on_rack(2, 3)], &site));
        site.settle();
    }
    let gang = Step {
        lasting: true,
        estimate: Duration::from_secs(60),
        per_worker: Some(1),
        ..step(3, 2, true)
    };
    site.submit(job("gang", 1, vec![gang], &site));
    let away = away(&mut site, "gang", Duration::from_secs(60));
    assert!(away <= MAX_AWAY, "away for {away:?}");
}

#[test]
fn lasting_task_takes_the_room_of_runs_that_are_stopped_for_an_urgent_job() {
    let mut site = Site::new(&[("w1", "r1")]);
    site.submit(job("low", 1, vec![step(8, 1, false)], &site));
    site.settle();
    site.submit(job("lasting", 1, vec![lasting_step()], &site));
    site.run_for(MAX_AWAY);
    site.submit(job("urgent", 0, vec![step(1, 8, false)], &site));
    site.settle();
    assert_eq!((site.running("urgent"), site.running("lasting")), (1, 0));
}
