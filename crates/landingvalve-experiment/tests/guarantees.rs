//! Urgent jobs had not begun 3.4 s after they were accepted, although all
//! urgent work of their account was within what it is guaranteed. It takes no
//! fault: more work than there is room for, and accounts that go over their
//! guarantee and come back within it. Borrowers held the room, and were not
//! stopped. Where they were, some jobs still began late: their account's
//! earlier work had ended less than a stop before their bound. One of them
//! asked for 16 accelerators with `owed_in_ms=3400 account_needs=20
//! guaranteed=19`, was given room 0.4 s before its bound and placed with
//! `owed_in_ms=-160`. So room is made for what may be within its guarantee by
//! then.

use std::path::Path;

use landingvalve_experiment::compare;
use landingvalve_experiment::load::Load;
use landingvalve_experiment::policy;

/// Days enough for several jobs that had not begun in time.
const DAYS: usize = 200;

#[test]
fn urgent_work_within_a_guarantee_begins_in_time() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"));
    let path = path.join("loads/guarantees-small.ini");
    let load = Load::read(&path).expect("it is one of ours");
    let standing = policy::parse("").expect("it is empty");
    let days = compare::scores(&load, &[standing], 1, DAYS, 4);
    let mut owed = 0;
    let mut broken = Vec::new();
    for (seed, scores) in (1..).zip(&days) {
        owed += scores[0].owed;
        broken.extend(scores[0].broken.iter().map(|job| (seed, job)));
    }
    assert!(owed > 1000, "only {owed} jobs were within a guarantee");
    assert!(broken.is_empty(), "of {owed}, by seed: {broken:?}");
}
