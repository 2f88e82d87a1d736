use super::{Admission, AdmissionControl};
use std::time::Duration;

fn classes() -> AdmissionControl {
    let setup = vanepath_config::model::parse(
        br#"{"classes": [
            {"name": "lookup", "urgency": 1, "kind": "repeatable", "room": 16, "queue": 2},
            {"name": "bulk", "urgency": 5, "kind": "repeatable", "room": 1, "queue": 9,
             "borrows": [{"from": "lookup", "most": 3}]}],
          "services": [{"name": "s", "selector": "all", "livenessPath": "/"}],
          "rules": [{"name": "r", "class": "lookup", "service": "s"}]}"#,
    );
    let mut classes = AdmissionControl::default();
    classes.adopt(&setup.unwrap());
    classes
}

#[test]
fn bulk_borrows_spare_room_and_never_the_last() {
    let mut classes = classes();
    let soon = Duration::from_secs(1);
    let taken: Vec<Admission> = (0..5).map(|_| classes.enter(1, soon)).collect();
    let lenders: Vec<Option<usize>> = taken
        .iter()
        .map(|entry| match entry {
            Admission::Taken(slot) => Some(slot.lender),
            _ => None,
        })
        .collect();
    assert_eq!(lenders, [Some(1), Some(0), Some(0), Some(0), None]);
    let lookups = (0..20).filter(|_| matches!(classes.enter(0, soon), Admission::Taken(_)));
    assert_eq!(lookups.count(), 13);
}

#[test]
fn the_urgent_go_first_then_the_soonest_deadline() {
    let mut classes = classes();
    let second = Duration::from_secs;
    let mut slots = Vec::new();
    for _ in 0..16 {
        match classes.enter(0, second(1)) {
            Admission::Taken(slot) => slots.push(slot),
            other => panic!("{other:?}"),
        }
    }
    let Admission::Taken(bulk) = classes.enter(1, second(1)) else { panic!() };
    let Admission::Waits(bulk_waits) = classes.enter(1, second(1)) else { panic!() };
    let Admission::Waits(late) = classes.enter(0, second(9)) else { panic!() };
    let Admission::Waits(early) = classes.enter(0, second(5)) else { panic!() };
    assert_eq!(classes.enter(0, second(5)), Admission::Dropped);
    let first = classes.release(slots[0]);
    assert_eq!(first.iter().map(|one| one.0).collect::<Vec<_>>(), [early]);
    // Who left is never woken.
    classes.leave(late);
    assert_eq!(classes.release(slots[1]), []);
    let last = classes.release(bulk);
    assert_eq!(last.iter().map(|one| one.0).collect::<Vec<_>>(), [bulk_waits]);
}

fn of_order(names: &[&str]) -> vanepath_config::model::Config {
    let class = |name: &&str| {
        format!(
            r#"{{"name": "{name}", "urgency": 1, "kind": "repeatable", "room": 2, "queue": 9}}"#
        )
    };
    let classes: Vec<String> = names.iter().map(class).collect();
    let setup = format!(
        r#"{{"classes": [{}],
          "services": [{{"name": "s", "selector": "all", "livenessPath": "/"}}],
          "rules": [{{"name": "r", "class": "{}", "service": "s"}}]}}"#,
        classes.join(","),
        names[0],
    );
    vanepath_config::model::parse(setup.as_bytes()).unwrap()
}

fn taken(classes: &mut AdmissionControl, name: &str) -> Option<super::AdmissionSlot> {
    let index = classes.index(name)?;
    match classes.enter(index, Duration::from_secs(1)) {
        Admission::Taken(slot) => Some(slot),
        Admission::Waits(number) => {
            classes.leave(number);
            None
        }
        Admission::Dropped => None,
    }
}

/// Incident 0010: a slot was given back to whichever class stood at its place by then.
#[test]
fn a_slot_goes_back_to_its_own_class_whatever_the_order_by_then() {
    let mut classes = AdmissionControl::default();
    classes.adopt(&of_order(&["lookup", "filing"]));
    let lookup = taken(&mut classes, "lookup").unwrap();
    let filing = taken(&mut classes, "filing").unwrap();
    classes.adopt(&of_order(&["added", "filing", "lookup"]));
    classes.release(lookup);
    classes.release(filing);
    for name in ["added", "filing", "lookup"] {
        let slots = [taken(&mut classes, name), taken(&mut classes, name)];
        assert!(slots.iter().all(Option::is_some), "{name} has its whole room");
        assert_eq!(taken(&mut classes, name), None, "{name} has no more than that");
    }
}

#[test]
fn counts_stand_in_the_order_of_the_setup() {
    let mut classes = AdmissionControl::default();
    classes.adopt(&of_order(&["lookup", "filing"]));
    let _slot = taken(&mut classes, "filing").unwrap();
    classes.adopt(&of_order(&["filing", "added"]));
    let counts = classes.counts();
    let told: Vec<(&str, u64)> = counts.iter().map(|one| (one.0.as_str(), one.2)).collect();
    assert_eq!(told, [("filing", 1), ("added", 0)]);
}

/// Every order in which slots may be taken, setups change and slots come back, by seeds: what is
/// in hand is what was taken and not given back, and with all back every class has its whole room.
#[test]
fn nothing_is_lost_of_any_room_over_many_changes() {
    let names = ["a", "b", "c", "d", "e"];
    for seed in 0..200u64 {
        let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut draw = |most: u64| {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            state % most
        };
        let mut classes = AdmissionControl::default();
        let mut slots = Vec::new();
        for _ in 0..60 {
            match draw(3) {
                0 => {
                    let first = draw(5) as usize;
                    let count = 1 + draw(4) as usize;
                    let step = if draw(2) == 0 { 1 } else { 2 };
                    let order = (0..count).map(|at| names[(first + at * step) % 5]);
                    classes.adopt(&of_order(&order.collect::<Vec<_>>()));
                }
                1 => slots.extend(taken(&mut classes, names[draw(5) as usize])),
                _ if slots.is_empty() => {}
                _ => {
                    let slot = slots.swap_remove(draw(slots.len() as u64) as usize);
                    classes.release(slot);
                }
            }
        }
        for slot in slots {
            classes.release(slot);
        }
        classes.adopt(&of_order(&names));
        for name in names {
            let took = (0..3).filter(|_| taken(&mut classes, name).is_some()).count();
            assert_eq!(took, 2, "seed {seed}: {name}");
        }
        assert!(classes.rooms.len() <= names.len(), "places of classes that are gone serve again");
    }
}
