//! What the soak takes for a broken promise, and what it does not.

use landingvalve_soak::promise::Promise;

const JOB: &str = "5c0e7a21d94b36f8";

/// Returns what is broken once a job of one task has run and callers were
/// told its states, each with what had been told when they asked.
fn broken(told: &[(&str, &str)]) -> Vec<String> {
    let promise = Promise::default();
    let task = format!("{JOB}.0.0.0");
    promise.submits(JOB, vec![1]);
    promise.submitted(JOB, Some(200));
    promise.cancels(JOB);
    promise.starts(&task, "life", false);
    promise.ends(&task, "life", true);
    for (state, before) in told {
        promise.told(JOB, Some(state), before);
    }
    promise.broken()
}

#[test]
fn an_end_is_never_taken_back() {
    for (told, expected) in [
        (vec![("running", ""), ("succeeded", "running")], 0),
        // Both were under way at once, and one was answered first.
        (vec![("succeeded", ""), ("running", "")], 0),
        (vec![("succeeded", ""), ("running", "succeeded")], 1),
        (
            vec![("succeeded", ""), ("running", ""), ("cancelled", "")],
            1,
        ),
        (vec![("succeeded", ""), ("cancelled", "succeeded")], 1),
    ] {
        assert_eq!(broken(&told).len(), expected, "{told:?}");
    }
}
