//! What the checker says of daemons below their floor (design 5.8).

use vanepath_config_check::floors::{Fleet, State, row};
use vanepath_config_check::{Weight, check, fleet_from};

#[test]
fn daemons_below_their_floor_are_named() {
    let status = |behind: &str| {
        let text =
            format!(r#"{{"revision": 7, "emptied": [], {behind} "servers": [], "daemons": []}}"#);
        fleet_from(&jzon::parse(&text).unwrap(), None).unwrap()
    };
    let setup = vanepath_config::model::parse(
        br#"{"classes": [{"name": "c", "urgency": 1, "kind": "repeatable"}],
          "services": [{"name": "s", "selector": "all", "livenessPath": "/"}],
          "rules": [{"name": "r", "class": "c", "service": "s"}]}"#,
    )
    .unwrap();
    let warned = |behind: &str| {
        let findings = check(&setup, &status(behind));
        let of = findings.into_iter().filter(|one| one.path.starts_with("daemon "));
        of.map(|one| (one.path, one.weight)).collect::<Vec<(String, Weight)>>()
    };
    assert_eq!(warned(r#""behindFloor": ["p1"],"#), [("daemon p1".to_string(), Weight::Warning)]);
    assert!(warned(r#""behindFloor": [],"#).is_empty());
    assert!(warned("").is_empty(), "an earlier version of a registry does not say");
}

/// What one registry never heard another one did; each daemon is then judged by what it says itself.
#[test]
fn the_whole_fleet_is_judged_by_what_any_registry_heard() {
    let mut fleet = Fleet::default();
    for (p1, p2) in [(7, 9), (9, 8)] {
        let text = format!(
            r#"{{"daemons": [
              {{"name": "p1", "role": "proxy", "address": "127.0.0.1:1", "floor": {p1}}},
              {{"name": "p2", "role": "proxy", "address": "127.0.0.1:2", "floor": {p2}}}]}}"#
        );
        fleet.add(&jzon::parse(&text).unwrap()).unwrap();
    }
    assert!(fleet.add(&jzon::parse(r#"{"name": "r"}"#).unwrap()).is_none());
    let floors: Vec<u64> = fleet.listed.values().map(|one| one.floor).collect();
    assert_eq!(floors, [9, 9]);
    let judged = |status: Option<&str>| {
        let status = status.map(|text| jzon::parse(text).unwrap());
        row("p1", &fleet.listed["p1"], status.as_ref()).state
    };
    let met = |revision: u64, floor: u64| {
        format!(
            r#"{{"revision": {revision}, "floor":
              {{"met": true, "floor": {floor}, "by": "majority", "from": "s", "waitedMs": 3}}}}"#
        )
    };
    assert_eq!(judged(Some(&met(9, 5))), State::Good);
    assert_eq!(judged(Some(&met(8, 5))), State::Behind, "a registry heard it tell 9");
    assert_eq!(judged(Some(&met(10, 11))), State::Behind, "below what it began with");
    assert_eq!(judged(Some(r#"{"floor": {"met": false, "has": 3, "floor": 9}}"#)), State::Waits);
    assert_eq!(judged(None), State::Unheard);
}
