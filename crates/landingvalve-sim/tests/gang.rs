//! The check GANG excuses what the users' rule excuses, and nothing else.

use std::time::Duration;

use landingvalve::graph::Task;
use landingvalve_sim::gang::Excuse;
use landingvalve_sim::gang::Gangs;
use landingvalve_sim::gang::CONTACT;
use landingvalve_sim::invariants::Key;
use landingvalve_sim::invariants::When;
use tokio::time::Instant;

/// Time from the start of the first member to the first end alone.
const WAIT: Duration = Duration::from_millis(3000);

/// An observation, each at a time in ms after the beginning.
#[derive(Clone, Copy, Debug)]
enum Event {
    CancelSent,
    FaultBegins,
    FaultEnds,
    /// A member begins.
    Start(u32, When),
}

/// Returns the key of a member's first run.
fn member(index: u32) -> Key {
    let task = Task {
        job: "job".into(),
        time: 0,
        step: 0,
        index,
    };
    (task, 1)
}

/// Returns why member 1 may end alone at a time in ms after these events.
fn excuse(events: &[(u64, Event)], end_ms: u64) -> Option<Excuse> {
    let begin = Instant::now();
    let mut gangs = Gangs::default();
    let at = |ms| begin + Duration::from_millis(ms);
    for (ms, event) in events {
        match event {
            Event::CancelSent => {
                gangs.record_cancel_sent(&"job".into(), at(*ms));
            }
            Event::FaultBegins => gangs.begin_fault(at(*ms)),
            Event::FaultEnds => gangs.end_fault(at(*ms)),
            Event::Start(index, when) => {
                gangs.record_start(&member(*index), *when, at(*ms));
            }
        }
    }
    gangs.record_alone(&member(1), at(end_ms))
}

#[test]
fn an_end_alone_is_excused_as_by_the_users_rule_only() {
    let contact = CONTACT.as_millis() as u64;
    let wait = WAIT.as_millis() as u64;
    let starts = [
        (10_000, Event::Start(0, When::Now)),
        (11_000, Event::Start(1, When::Now)),
    ];
    let end = 11_000 + wait;
    // The first member's start counts, so a fault before it is near for as
    // long as machines are out of touch.
    let last_fault_end = 10_000 - contact;
    for (events, expected) in [
        (vec![], None),
        (vec![(5000, Event::CancelSent)], Some(Excuse::Cancelled)),
        (vec![(end, Event::CancelSent)], Some(Excuse::Cancelled)),
        (
            vec![
                (1000, Event::FaultBegins),
                (last_fault_end, Event::FaultEnds),
            ],
            Some(Excuse::Fault),
        ),
        (
            vec![
                (1000, Event::FaultBegins),
                (last_fault_end - 1, Event::FaultEnds),
            ],
            None,
        ),
        (vec![(end, Event::FaultBegins)], Some(Excuse::Fault)),
        // One of two overlapping faults is over.
        (
            vec![
                (1000, Event::FaultBegins),
                (2000, Event::FaultBegins),
                (3000, Event::FaultEnds),
            ],
            Some(Excuse::Fault),
        ),
    ] {
        let events: Vec<(u64, Event)> =
            events.into_iter().chain(starts).collect();
        assert_eq!(excuse(&events, end), expected, "{events:?}");
    }
}

#[test]
fn an_order_that_is_carried_out_late_excuses_its_own_run_only() {
    for (late, expected) in [(0, None), (1, Some(Excuse::LateStart))] {
        let when = |index| match index == late {
            true => When::Late,
            false => When::Now,
        };
        let events =
            [0, 1].map(|index| (1000, Event::Start(index, when(index))));
        assert_eq!(excuse(&events, 4000), expected, "late: {late}");
    }
}

#[test]
fn ends_alone_are_counted_by_whether_they_are_excused() {
    let now = Instant::now();
    let mut gangs = Gangs::default();
    gangs.record_start(&member(0), When::Now, now);
    gangs.record_alone(&member(0), now + WAIT);
    gangs.record_cancel_sent(&"job".into(), now + WAIT);
    gangs.record_alone(&member(0), now + WAIT);
    gangs.record_alone(&member(0), now + WAIT);
    let counts = gangs.counts();
    assert_eq!((counts.excused, counts.violations), (2, 1));
}
