use super::{Classes, Entry};
use std::time::Duration;

fn classes() -> Classes {
    let setup = vanepath_setup::model::parse(
        br#"{"classes": [
            {"name": "lookup", "urgency": 1, "kind": "repeatable", "room": 16, "queue": 2},
            {"name": "bulk", "urgency": 5, "kind": "repeatable", "room": 1, "queue": 9,
             "borrows": [{"from": "lookup", "most": 3}]}],
          "services": [{"name": "s", "selector": "all", "livenessPath": "/"}],
          "rules": [{"name": "r", "class": "lookup", "service": "s"}]}"#,
    );
    let mut classes = Classes::default();
    classes.adopt(&setup.unwrap());
    classes
}

#[test]
fn bulk_borrows_spare_room_and_never_the_last() {
    let mut classes = classes();
    let soon = Duration::from_secs(1);
    let taken: Vec<Entry> = (0..5).map(|_| classes.enter(1, soon)).collect();
    let lenders: Vec<Option<usize>> = taken
        .iter()
        .map(|entry| match entry {
            Entry::Taken(slot) => Some(slot.lender),
            _ => None,
        })
        .collect();
    assert_eq!(lenders, [Some(1), Some(0), Some(0), Some(0), None]);
    let lookups = (0..20).filter(|_| matches!(classes.enter(0, soon), Entry::Taken(_)));
    assert_eq!(lookups.count(), 13);
}

#[test]
fn the_urgent_go_first_then_the_soonest_deadline() {
    let mut classes = classes();
    let second = Duration::from_secs;
    let mut slots = Vec::new();
    for _ in 0..16 {
        match classes.enter(0, second(1)) {
            Entry::Taken(slot) => slots.push(slot),
            other => panic!("{other:?}"),
        }
    }
    let Entry::Taken(bulk) = classes.enter(1, second(1)) else { panic!() };
    let Entry::Waits(bulk_waits) = classes.enter(1, second(1)) else { panic!() };
    let Entry::Waits(late) = classes.enter(0, second(9)) else { panic!() };
    let Entry::Waits(early) = classes.enter(0, second(5)) else { panic!() };
    assert_eq!(classes.enter(0, second(5)), Entry::Dropped);
    let first = classes.release(slots[0]);
    assert_eq!(first.iter().map(|one| one.0).collect::<Vec<_>>(), [early]);
    // Who left is never woken.
    classes.leave(late);
    assert_eq!(classes.release(slots[1]), []);
    let last = classes.release(bulk);
    assert_eq!(last.iter().map(|one| one.0).collect::<Vec<_>>(), [bulk_waits]);
}
