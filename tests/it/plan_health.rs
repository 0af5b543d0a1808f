//! Telling a bad worker from a bad job.

use std::time::Duration;
use std::time::SystemTime;

use landingvalve::plan::health::Health;

const NOW: SystemTime = SystemTime::UNIX_EPOCH;

#[test]
fn one_failure_of_an_unproven_job_is_no_verdict() {
    let mut health = Health::default();
    assert!(!health.record_failure(&"a".into(), false, NOW));
    assert!(!health.record_failure(&"a".into(), false, NOW));
    assert!(health.is_in_service());
    assert!(health.record_failure(&"b".into(), false, NOW));
}

#[test]
fn quarantines_grow_and_end_with_a_run_that_lasts() {
    let mut health = Health::default();
    assert!(health.record_failure(&"a".into(), true, NOW));
    assert!(!health.is_probe_due(NOW));
    assert!(health.is_probe_due(NOW + Duration::from_secs(20)));
    health.record_failure(&"b".into(), true, NOW);
    assert!(!health.is_probe_due(NOW + Duration::from_secs(20)));
    assert!(health.is_probe_due(NOW + Duration::from_secs(40)));
    assert!(health.record_success());
    assert!(health.is_in_service());
}
