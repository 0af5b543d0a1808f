//! The soak's gangs work, end and are excused as the users' rules say.

use std::time::Duration;

use landingvalve_soak::gang::Registry;
use landingvalve_soak::gang::Stage;
use landingvalve_soak::invariants::Checker;
use landingvalve_soak::invariants::Step;
use tokio::time::Instant;

const JOB: &str = "5c0e7a21d94b36f8";
/// The only run of the gang.
const RUN: u32 = 1;

/// What is observed before a member ends alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Nothing,
    CancelSent,
    FaultActive,
    FaultOver,
    LateStart,
}

fn member(index: u32) -> String {
    format!("{JOB}.0.0.{index}")
}

#[test]
fn an_end_alone_is_excused_as_by_the_users_rule_only() {
    for (event, expected) in [
        (Event::Nothing, 1),
        (Event::CancelSent, 0),
        (Event::FaultActive, 0),
        (Event::FaultOver, 0),
        (Event::LateStart, 0),
    ] {
        let checker = Checker::default();
        let step = Step {
            tasks: 2,
            gang: true,
        };
        checker.record_submission(JOB, vec![step]);
        checker.record_submission_reply(JOB, Some(200));
        if matches!(event, Event::FaultActive | Event::FaultOver) {
            checker.begin_fault();
        }
        if event == Event::FaultOver {
            checker.end_fault();
        }
        let is_late = event == Event::LateStart;
        checker.record_start(&member(0), RUN, "life", is_late);
        if event == Event::CancelSent {
            checker.record_cancel(JOB);
        }
        checker.record_alone(&member(0), RUN);
        let violations = checker.violations();
        assert_eq!(violations.len(), expected, "{event:?}: {violations:?}");
        let counts = checker.counts();
        assert_eq!(counts.alone, expected as u64, "{event:?}");
        assert_eq!(counts.alone_excused, 1 - counts.alone, "{event:?}");
    }
}

#[test]
fn a_gang_works_once_all_members_are_present_and_ends_together() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    for (outcome, expected) in [("done", "done"), ("failed", "broken")] {
        let gangs = Registry::default();
        gangs.join(&member(0), RUN, 2, now);
        assert_eq!(gangs.stage(&member(0), RUN), Stage::Waiting);
        gangs.join(&member(1), RUN, 2, later);
        assert_eq!(gangs.stage(&member(0), RUN), Stage::Working(later));
        gangs.leave(&member(0), RUN, Some(outcome));
        let stage = gangs.stage(&member(1), RUN);
        assert_eq!(stage, Stage::Ending(expected), "{outcome}");
    }
}

#[test]
fn members_wait_on_after_another_is_lost_before_they_were_complete() {
    let now = Instant::now();
    let gangs = Registry::default();
    gangs.join(&member(0), RUN, 3, now);
    gangs.join(&member(1), RUN, 3, now);
    gangs.leave(&member(0), RUN, None);
    assert_eq!(gangs.stage(&member(1), RUN), Stage::Waiting);
}
