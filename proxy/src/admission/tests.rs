use super::{Admission, AdmissionControl, AdmissionSlot};
use std::time::Duration;
use vanepath_config::model::{Config, parse};

fn classes() -> AdmissionControl {
    let config = parse(
        br#"{"classes": [
            {"name": "lookup", "urgency": 1, "kind": "repeatable", "room": 16, "queue": 2},
            {"name": "bulk", "urgency": 5, "kind": "repeatable", "room": 1, "queue": 9,
             "borrows": [{"from": "lookup", "most": 3}]}],
          "services": [{"name": "s", "selector": "all", "livenessPath": "/"}],
          "rules": [{"name": "r", "class": "lookup", "service": "s"}]}"#,
    );
    let mut classes = AdmissionControl::default();
    classes.apply_config(&config.unwrap());
    classes
}

#[test]
fn bulk_borrows_spare_slots_and_never_the_reserved_ones() {
    let mut classes = classes();
    let soon = Duration::from_secs(1);
    let answers: Vec<Admission> = (0..5).map(|_| classes.request_slot(1, soon)).collect();
    let lenders: Vec<Option<usize>> = answers
        .iter()
        .map(|answer| match answer {
            Admission::Admitted(slot) => Some(slot.lender),
            _ => None,
        })
        .collect();
    assert_eq!(lenders, [Some(1), Some(0), Some(0), Some(0), None]);
    let lookups =
        (0..20).filter(|_| matches!(classes.request_slot(0, soon), Admission::Admitted(_)));
    assert_eq!(lookups.count(), 13);
}

#[test]
fn the_highest_priority_is_admitted_first_then_the_earliest_deadline() {
    let mut classes = classes();
    let second = Duration::from_secs;
    let mut slots = Vec::new();
    for _ in 0..16 {
        match classes.request_slot(0, second(1)) {
            Admission::Admitted(slot) => slots.push(slot),
            other => panic!("{other:?}"),
        }
    }
    let Admission::Admitted(bulk) = classes.request_slot(1, second(1)) else { panic!() };
    let Admission::Queued(bulk_queued) = classes.request_slot(1, second(1)) else { panic!() };
    let Admission::Queued(late) = classes.request_slot(0, second(9)) else { panic!() };
    let Admission::Queued(early) = classes.request_slot(0, second(5)) else { panic!() };
    assert_eq!(classes.request_slot(0, second(5)), Admission::QueueFull);
    let first = classes.release(slots[0]);
    assert_eq!(first.iter().map(|woken| woken.ticket).collect::<Vec<_>>(), [early]);
    // A request that left the queue is never woken.
    classes.remove_queued(late);
    assert_eq!(classes.release(slots[1]), []);
    let last = classes.release(bulk);
    assert_eq!(last.iter().map(|woken| woken.ticket).collect::<Vec<_>>(), [bulk_queued]);
}

fn config_of(names: &[&str]) -> Config {
    let class = |name: &&str| {
        format!(
            r#"{{"name": "{name}", "urgency": 1, "kind": "repeatable", "room": 2, "queue": 9}}"#
        )
    };
    let classes: Vec<String> = names.iter().map(class).collect();
    let config = format!(
        r#"{{"classes": [{}],
          "services": [{{"name": "s", "selector": "all", "livenessPath": "/"}}],
          "rules": [{{"name": "r", "class": "{}", "service": "s"}}]}}"#,
        classes.join(","),
        names[0],
    );
    parse(config.as_bytes()).unwrap()
}

fn admitted(classes: &mut AdmissionControl, name: &str) -> Option<AdmissionSlot> {
    let index = classes.index(name)?;
    match classes.request_slot(index, Duration::from_secs(1)) {
        Admission::Admitted(slot) => Some(slot),
        Admission::Queued(ticket) => {
            classes.remove_queued(ticket);
            None
        }
        Admission::QueueFull => None,
    }
}

/// Incident 0010: slots referred to classes by their index in the config, so that after a change of
/// the order a slot was released to another class.
#[test]
fn a_slot_returns_to_its_own_class_after_the_config_order_changes() {
    let mut classes = AdmissionControl::default();
    classes.apply_config(&config_of(&["lookup", "filing"]));
    let lookup = admitted(&mut classes, "lookup").unwrap();
    let filing = admitted(&mut classes, "filing").unwrap();
    classes.apply_config(&config_of(&["added", "filing", "lookup"]));
    classes.release(lookup);
    classes.release(filing);
    for name in ["added", "filing", "lookup"] {
        let slots = [admitted(&mut classes, name), admitted(&mut classes, name)];
        assert!(slots.iter().all(Option::is_some), "{name} has its whole limit");
        assert_eq!(admitted(&mut classes, name), None, "{name} has no more than that");
    }
}

#[test]
fn usage_is_listed_in_the_order_of_the_config() {
    let mut classes = AdmissionControl::default();
    classes.apply_config(&config_of(&["lookup", "filing"]));
    let _slot = admitted(&mut classes, "filing").unwrap();
    classes.apply_config(&config_of(&["filing", "added"]));
    let usage = classes.usage();
    let in_flight: Vec<(&str, u64)> =
        usage.iter().map(|class| (class.name.as_str(), class.in_flight)).collect();
    assert_eq!(in_flight, [("filing", 1), ("added", 0)]);
}

/// Random sequences, by seed, of occupied slots, config changes and released slots: once all slots are
/// released, every class has its whole limit.
#[test]
fn no_slot_is_lost_over_many_config_changes() {
    let names = ["a", "b", "c", "d", "e"];
    for seed in 0..200u64 {
        let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut draw = |bound: u64| {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            state % bound
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
                    classes.apply_config(&config_of(&order.collect::<Vec<_>>()));
                }
                1 => slots.extend(admitted(&mut classes, names[draw(5) as usize])),
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
        classes.apply_config(&config_of(&names));
        for name in names {
            let count = (0..3).filter(|_| admitted(&mut classes, name).is_some()).count();
            assert_eq!(count, 2, "seed {seed}: {name}");
        }
        assert!(classes.classes.len() <= names.len(), "indices of removed classes are reused");
    }
}
