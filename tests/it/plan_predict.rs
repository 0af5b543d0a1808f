//! The prediction of run times from a template's history.

use std::time::Duration;
use std::time::SystemTime;

use landingvalve::job;
use landingvalve::plan::predict::History;
use landingvalve::site::Shape;
use landingvalve::site::Within;

fn spec(declared: u64) -> job::Spec {
    job::Spec {
        id: "j".into(),
        account: "a".into(),
        template: "t".into(),
        shape: Shape {
            accelerators: 1,
            within: Within::Worker,
        },
        declared: Duration::from_secs(declared),
        repeatable: true,
        checkpoint: false,
        urgent: false,
        submitted: SystemTime::UNIX_EPOCH,
        due: None,
    }
}

#[test]
fn predicts_the_declared_time_without_history() {
    let history = History::default();
    assert_eq!(history.predict(&spec(60)), Duration::from_secs(60));
}

#[test]
fn predicts_a_constant_factor_and_a_constant_run_time() {
    let mut proportional = History::default();
    let mut constant = History::default();
    for declared in [10, 100, 1000] {
        let ran = Duration::from_secs(3 * declared);
        proportional.record_completion(&spec(declared), ran);
        let ran = Duration::from_secs(42);
        constant.record_completion(&spec(declared), ran);
    }
    let seconds = |d: Duration| d.as_secs_f64().round();
    assert_eq!(seconds(proportional.predict(&spec(50))), 150.0);
    assert_eq!(seconds(constant.predict(&spec(50))), 42.0);
}
