//! What a unit that finds no room is told to lack.

use landingvalve::graph::Decision;
use landingvalve::graph::Shortage;
use landingvalve::graph::ShortageKind;
use landingvalve::graph::Step;

use crate::graph::job;
use crate::graph::resources;
use crate::graph::step;
use crate::graph::Site;

const FOUR: &[(&str, &str)] =
    &[("w1", "r1"), ("w2", "r1"), ("w3", "r2"), ("w4", "r2")];

/// A step of tasks that take so many cores and accelerators.
fn takes(replicas: u32, cores: i64, accelerators: i64, gang: bool) -> Step {
    Step {
        resources: resources(cores * 1000, accelerators),
        same_rack: false,
        ..step(replicas, accelerators, gang)
    }
}

/// Hands in jobs one after the other; returns what the last one lacks.
fn lacks(priority: u32, steps: Vec<Step>) -> Shortage {
    let mut site = Site::new(FOUR);
    for (at, step) in steps.into_iter().enumerate() {
        site.scheduler.take_decisions();
        let name = format!("j{at}");
        site.submit(job(&name, priority, vec![step], &site));
        site.settle();
    }
    let told = site.scheduler.take_decisions().into_iter().rev();
    let shortage = told.filter_map(|decision| match decision {
        Decision::Waiting { shortage, .. } => shortage,
        _ => None,
    });
    shortage.last().expect("it waits")
}

#[test]
fn a_unit_is_told_what_it_lacks() {
    let whole = || takes(1, 1, 8, true);
    let cases = [
        // All are in use.
        (
            ShortageKind::Accelerators,
            vec![whole(), whole(), takes(3, 1, 8, true)],
        ),
        // Half of each worker is: what is left holds no whole one.
        (
            ShortageKind::Fragmented,
            vec![takes(4, 33, 4, false), takes(2, 1, 8, true)],
        ),
        // Cores are: the accelerators beside them are stranded.
        (
            ShortageKind::Cores,
            vec![takes(4, 60, 1, false), takes(2, 8, 4, true)],
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
                    ..takes(2, 1, 8, true)
                },
            ],
        ),
    ];
    for (lack, steps) in cases {
        let told = lacks(1, steps);
        assert_eq!(told.kind, lack, "{told:?}");
    }
}

#[test]
fn a_shortage_has_figures() {
    let whole = |replicas| takes(replicas, 1, 8, true);
    let told = lacks(1, vec![whole(1), whole(2), whole(3)]);
    assert_eq!((told.needed, told.free, told.fits), (24, 8, 1));
    assert_eq!(told.preemption_cost, None, "nothing is stopped for it");
}
