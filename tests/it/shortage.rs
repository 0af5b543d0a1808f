//! The reported shortages of units that find no room.

use landingvalve::graph::Decision;
use landingvalve::graph::Shortage;
use landingvalve::graph::ShortageKind;
use landingvalve::graph::Step;

use crate::graph::job;
use crate::graph::resources;
use crate::graph::step;
use crate::graph::Site;

const FOUR_WORKERS: &[(&str, &str)] =
    &[("w1", "r1"), ("w2", "r1"), ("w3", "r2"), ("w4", "r2")];

/// Returns a step whose tasks each need a number of cores and accelerators.
fn step_of(replicas: u32, cores: i64, accelerators: i64, gang: bool) -> Step {
    Step {
        resources: resources(cores * 1000, accelerators),
        same_rack: false,
        ..step(replicas, accelerators, gang)
    }
}

/// Submits jobs one after the other; returns the shortage of the last one.
fn last_shortage(priority: u32, steps: Vec<Step>) -> Shortage {
    let mut site = Site::new(FOUR_WORKERS);
    for (index, step) in steps.into_iter().enumerate() {
        site.scheduler.take_decisions();
        let name = format!("j{index}");
        site.submit(job(&name, priority, vec![step], &site));
        site.settle();
    }
    let decisions = site.scheduler.take_decisions().into_iter().rev();
    let shortage = decisions.filter_map(|decision| match decision {
        Decision::Waiting { shortage, .. } => shortage,
        _ => None,
    });
    shortage.last().expect("the last job waits")
}

#[test]
fn the_kind_of_a_shortage_is_reported() {
    let whole = || step_of(1, 1, 8, true);
    let cases = [
        // Too few accelerators are free.
        (
            ShortageKind::Accelerators,
            vec![whole(), whole(), step_of(3, 1, 8, true)],
        ),
        // Half of each worker is in use, so that no whole worker is free.
        (
            ShortageKind::Fragmented,
            vec![step_of(4, 33, 4, false), step_of(2, 1, 8, true)],
        ),
        // Nearly all cores are in use, so that free accelerators are stranded.
        (
            ShortageKind::Cores,
            vec![step_of(4, 60, 1, false), step_of(2, 8, 4, true)],
        ),
        // One worker of each rack is free.
        (
            ShortageKind::Rack,
            vec![
                whole(),
                Step {
                    data_rack: Some("r2".into()),
                    ..whole()
                },
                Step {
                    same_rack: true,
                    ..step_of(2, 1, 8, true)
                },
            ],
        ),
    ];
    for (kind, steps) in cases {
        let shortage = last_shortage(1, steps);
        assert_eq!(shortage.kind, kind, "{shortage:?}");
    }
}

#[test]
fn a_shortage_includes_figures() {
    let whole = |replicas| step_of(replicas, 1, 8, true);
    let shortage = last_shortage(1, vec![whole(1), whole(2), whole(3)]);
    assert_eq!((shortage.needed, shortage.free, shortage.fits), (24, 8, 1));
    assert_eq!(shortage.preemption_cost, None, "preemption is not possible");
}
