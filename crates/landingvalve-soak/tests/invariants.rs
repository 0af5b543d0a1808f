//! The checker of the soak reports a reverted end of a job, and nothing else.

use landingvalve_soak::invariants::Checker;
use landingvalve_soak::invariants::Step;

const JOB: &str = "5c0e7a21d94b36f8";

/// Returns the violations after a job of one task has run and callers have
/// received `replies`: states, each with the last state that was known when
/// the query was sent.
fn violations(replies: &[(&str, &str)]) -> Vec<String> {
    let checker = Checker::default();
    let task = format!("{JOB}.0.0.0");
    let step = Step {
        tasks: 1,
        gang: false,
    };
    checker.record_submission(JOB, vec![step]);
    checker.record_submission_reply(JOB, Some(200));
    checker.record_cancel(JOB);
    checker.record_start(&task, 1, "life", false);
    checker.record_end(&task, "life", true);
    for (state, before) in replies {
        checker.record_state(JOB, Some(state), before);
    }
    checker.violations()
}

#[test]
fn a_reverted_end_is_a_violation() {
    for (replies, expected) in [
        (vec![("running", ""), ("succeeded", "running")], 0),
        // Two concurrent queries whose replies arrived in reverse order.
        (vec![("succeeded", ""), ("running", "")], 0),
        (vec![("succeeded", ""), ("running", "succeeded")], 1),
        (
            vec![("succeeded", ""), ("running", ""), ("cancelled", "")],
            1,
        ),
        (vec![("succeeded", ""), ("cancelled", "succeeded")], 1),
    ] {
        assert_eq!(violations(&replies).len(), expected, "{replies:?}");
    }
}
