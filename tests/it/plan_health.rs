//! A failure counts against the worker if the job's template has succeeded
//! before or two different jobs fail there; repeated failures of one unproven
//! job do not.

use std::time::Duration;
use std::time::SystemTime;

use landingvalve::plan::health::Health;

const NOW: SystemTime = SystemTime::UNIX_EPOCH;

#[test]
fn failures_of_one_unproven_job_do_not_quarantine_a_worker() {
    let mut health = Health::default();
    assert!(!health.record_failure(&"a".into(), false, NOW));
    assert!(!health.record_failure(&"a".into(), false, NOW));
    assert!(health.is_in_service());
    assert!(health.record_failure(&"b".into(), false, NOW));
}

#[test]
fn quarantines_double_and_end_after_a_success() {
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
