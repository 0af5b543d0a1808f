//! The stored form of jobs' progress.

use std::collections::BTreeMap;

use arbtest::arbtest;
use landingvalve::cell::record::encode;
use landingvalve::cell::record::Encoded;
use landingvalve::cell::record::Head;
use landingvalve::cell::record::Part;
use landingvalve::cell::record::PartId;
use landingvalve::cell::record::PART_UNITS;
use landingvalve::graph::Life;
use landingvalve::graph::Loss;
use landingvalve::graph::Outcome;
use landingvalve::graph::Place;
use landingvalve::graph::Progress;
use landingvalve::graph::UnitKey;
use landingvalve::graph::UnitProgress;

/// The most bytes of a value that the platform's store takes.
const STORE_VALUE_BYTES: usize = 1_048_576;
/// The most bytes of one part: a small share of what the store takes.
const PART_BYTES: usize = STORE_VALUE_BYTES / 32;

/// Returns a unit that was lost with a worker and runs again, with
/// checkpoints.
fn unit(run: u32) -> UnitProgress {
    let place = Place {
        agent: "side-reykjavik-a-1".into(),
        life: Life::new("i-7f3a91c2", 1_768_183_507_960),
    };
    let loss = Loss {
        lost: 1,
        run: 1,
        ..Loss::default()
    };
    UnitProgress {
        run,
        saved: "00000bb87a21d94b".to_owned(),
        from: "00000bb87a21d94b".to_owned(),
        lost: BTreeMap::from([(0, loss)]),
        on: vec![place],
        ..UnitProgress::default()
    }
}

fn key(index: u32) -> UnitKey {
    UnitKey {
        time: 0,
        step: 0,
        index: Some(index),
    }
}

fn progress(units: u32) -> Progress {
    Progress {
        units: (0..units).map(|index| (key(index), unit(1))).collect(),
        ..Progress::default()
    }
}

fn in_parts(encoded: Encoded) -> (Vec<u8>, BTreeMap<PartId, Vec<u8>>) {
    match encoded {
        Encoded::InParts(head, parts) => (head, parts),
        Encoded::Whole(_) => panic!("is stored whole"),
    }
}

fn join(head: &[u8], parts: &BTreeMap<PartId, Vec<u8>>) -> Progress {
    let head: Head = serde_json::from_slice(head).expect("is a head");
    let decode = |value: &Vec<u8>| -> Part {
        serde_json::from_slice(value).expect("is a part")
    };
    head.join(parts.values().map(decode))
}

/// Guards against values that outgrow the store, and against ends of single
/// tasks that each cost as much as the whole job.
#[test]
fn an_end_costs_the_same_however_many_tasks_a_job_has() {
    for units in [1_000, 10_000] {
        let before = progress(units);
        let all = encode(&before, None).expect("is encoded");
        let (head, parts) = in_parts(all);
        assert_eq!(parts.len(), units.div_ceil(PART_UNITS) as usize);
        let largest = parts.values().map(Vec::len).max();
        assert!(largest < Some(PART_BYTES), "{largest:?}");
        assert_eq!(join(&head, &parts), before);
        let mut after = before.clone();
        let ended = after.units.get_mut(&key(units / 2)).expect("exists");
        ended.done = true;
        ended.on.clear();
        let change = encode(&after, Some(&before)).expect("is encoded");
        let (head, change) = in_parts(change);
        assert_eq!(change.len(), 1, "of {units} tasks");
        let mut parts = parts;
        parts.extend(change);
        assert_eq!(join(&head, &parts), after);
    }
}

#[test]
fn a_small_job_is_stored_whole_as_by_earlier_versions() {
    let small = progress(100);
    let Ok(Encoded::Whole(value)) = encode(&small, None) else {
        panic!("is not stored whole");
    };
    let read: Progress = serde_json::from_slice(&value).expect("is progress");
    assert_eq!(read, small);
    assert_eq!(join(&value, &BTreeMap::new()), small);
}

/// Guards against tasks that start twice: a version that knows no parts must
/// not take a job in parts for one that has not begun.
#[test]
fn an_earlier_version_cannot_decode_the_head_of_a_job_in_parts() {
    let encoded = encode(&progress(5_000), None).expect("is encoded");
    let (head, _) = in_parts(encoded);
    serde_json::from_slice::<Progress>(&head).expect_err("is no progress");
}

/// A planner may end between the transactions of a change. Whichever parts it
/// has written, each unit is as before the change or as after it.
#[test]
fn any_parts_that_are_left_behind_are_a_true_state() {
    arbtest(|u| {
        let before = progress(u.int_in_range(600..=900)?);
        let mut after = before.clone();
        for unit in after.units.values_mut() {
            if u.ratio(1, 40)? {
                unit.run += 1;
            }
        }
        let with_outcome = u.arbitrary()?;
        after.outcome = Some(Outcome::Failed).filter(|_| with_outcome);
        let all = encode(&before, None).expect("is encoded");
        let (old_head, mut parts) = in_parts(all);
        let change = encode(&after, Some(&before)).expect("is encoded");
        let (new_head, change) = in_parts(change);
        for (id, value) in change {
            if u.arbitrary()? {
                parts.insert(id, value);
            }
        }
        let is_head_written = u.arbitrary()?;
        let head = if is_head_written { new_head } else { old_head };
        let read = join(&head, &parts);
        assert_eq!(read.units.len(), before.units.len());
        for (key, unit) in &read.units {
            let known = [&before.units[key], &after.units[key]];
            assert!(known.contains(&unit), "{key}");
        }
        let expected = after.outcome.filter(|_| is_head_written);
        assert_eq!(read.outcome, expected);
        Ok(())
    });
}

/// Units of a head that was written before the parts are replaced by them: the
/// planner has ended while it moved a job's units into parts.
#[test]
fn parts_overrule_the_head_that_holds_all_units() {
    let before = progress(400);
    let head = serde_json::to_vec(&before).expect("is encoded");
    let mut after = before.clone();
    after.units.values_mut().for_each(|unit| unit.run = 2);
    let nothing = Progress::default();
    let encoded = encode(&after, Some(&nothing)).expect("is encoded");
    let (_, mut parts) = in_parts(encoded);
    let written = parts.pop_first().expect("has parts");
    let read = join(&head, &BTreeMap::from([written]));
    assert_eq!(read.units[&key(0)].run, 2);
    assert_eq!(read.units[&key(PART_UNITS)].run, 1);
}
