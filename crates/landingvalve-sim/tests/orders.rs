//! Faults bound to events.

use landingvalve_sim::orders;
use landingvalve_sim::orders::Order;
use landingvalve_sim::orders::Table;

/// Guards against orders of outage and call that break a promise, such as an
/// outage between two reads of a new planner whose claim goes on.
#[test]
fn no_order_of_a_fault_and_a_call_breaks_a_promise() {
    let played = orders::play_all(&Order::all(), |_| {});
    let broken = played.iter().filter(|p| !p.report.violations.is_empty());
    let broken: Vec<String> = broken
        .map(|p| format!("{}: {:?}", p.order, p.report.violations))
        .collect();
    println!("{}", Table::new(&played));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
    let cells = Table::new(&played).unmet();
    assert!(cells.is_empty(), "not reached: {cells:?}");
}

/// Guards against orders that cannot be played again.
#[test]
fn an_order_determines_a_day() {
    for order in Order::all().into_iter().step_by(331) {
        let [first, second] = [(); 2].map(|()| orders::play(order));
        assert_eq!(first.report.timeline, second.report.timeline, "{order}");
        assert_eq!(first.is_met, second.is_met, "{order}");
    }
}

#[test]
fn an_order_is_found_by_its_id() {
    for order in Order::all() {
        assert_eq!(order.to_string().parse(), Ok(order));
    }
}

#[test]
fn an_unknown_order_is_refused_with_what_is_expected() {
    for (id, part) in [
        ("", "order"),
        ("third-claim-1-late", "planner"),
        ("next-vote-1-late", "milestone"),
        ("next-claim-0-late", "call"),
        ("next-write-13-late", "call"),
        ("next-claim-1-down-17", "fault"),
    ] {
        let error = id.parse::<Order>().expect_err("is unknown");
        let text = error.to_string();
        assert!(text.starts_with(part), "{id}: {text}");
        assert!(text.contains("expected"), "{id}: {text}");
    }
}
