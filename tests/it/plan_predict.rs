//! Predicting run times from history.

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
fn trusts_the_declaration_until_there_is_history() {
    let history = History::default();
    assert_eq!(history.predict(&spec(60)), Duration::from_secs(60));
}

#[test]
fn learns_a_constant_factor_and_a_constant_run() {
    let mut factor = History::default();
    let mut constant = History::default();
    for declared in [10, 100, 1000] {
        let ran = Duration::from_secs(3 * declared);
        factor.record_completion(&spec(declared), ran);
        let ran = Duration::from_secs(42);
        constant.record_completion(&spec(declared), ran);
    }
    let seconds = |d: Duration| d.as_secs_f64().round();
    assert_eq!(seconds(factor.predict(&spec(50))), 150.0);
    assert_eq!(seconds(constant.predict(&spec(50))), 42.0);
}
