//! Findings about daemons that went back to an older configuration revision (design 5.8).

use vanepath_config::model::parse;
use vanepath_config_check::revision_regressions::{ListedDaemons, RevisionState, compare};
use vanepath_config_check::{FleetSnapshot, Severity, check};

#[test]
fn daemons_on_an_older_revision_are_named() {
    let fleet = |regressed: &str| {
        let text = format!(
            r#"{{"revision": 7, "emptied": [], {regressed} "servers": [], "daemons": []}}"#
        );
        FleetSnapshot::from_status(&jzon::parse(&text).unwrap(), None).unwrap()
    };
    let config = parse(
        br#"{"classes": [{"name": "c", "urgency": 1, "kind": "repeatable"}],
          "services": [{"name": "s", "selector": "all", "livenessPath": "/"}],
          "rules": [{"name": "r", "class": "c", "service": "s"}]}"#,
    )
    .unwrap();
    let findings_for = |regressed: &str| {
        let findings = check(&config, &fleet(regressed));
        let of_daemons = findings.into_iter().filter(|finding| finding.path.starts_with("daemon "));
        of_daemons
            .map(|finding| (finding.path, finding.severity))
            .collect::<Vec<(String, Severity)>>()
    };
    assert_eq!(
        findings_for(r#""behindFloor": ["p1"],"#),
        [("daemon p1".to_string(), Severity::Warning)]
    );
    assert!(findings_for(r#""behindFloor": [],"#).is_empty());
    assert!(findings_for("").is_empty(), "a registry of an earlier version does not send the list");
}

/// Each daemon's own status is compared with the highest revision that any of the registries observed.
#[test]
fn revisions_are_compared_with_what_any_registry_observed() {
    let mut daemons = ListedDaemons::default();
    for (p1, p2) in [(7, 9), (9, 8)] {
        let text = format!(
            r#"{{"daemons": [
              {{"name": "p1", "role": "proxy", "address": "127.0.0.1:1", "floor": {p1}}},
              {{"name": "p2", "role": "proxy", "address": "127.0.0.1:2", "floor": {p2}}}]}}"#
        );
        daemons.add(&jzon::parse(&text).unwrap()).unwrap();
    }
    assert!(daemons.add(&jzon::parse(r#"{"name": "r"}"#).unwrap()).is_err());
    let revisions: Vec<u64> =
        daemons.by_name.values().map(|daemon| daemon.highest_revision).collect();
    assert_eq!(revisions, [9, 9]);
    let state = |status: Option<&str>| {
        let status = status.map(|text| jzon::parse(text).unwrap());
        compare("p1", &daemons.by_name["p1"], status.as_ref()).state
    };
    let status = |revision: u64, floor: u64| {
        format!(
            r#"{{"revision": {revision}, "floor":
              {{"met": true, "floor": {floor}, "by": "majority", "from": "s", "waitedMs": 3}}}}"#
        )
    };
    assert_eq!(state(Some(&status(9, 5))), RevisionState::Current);
    assert_eq!(
        state(Some(&status(8, 5))),
        RevisionState::Regressed,
        "a registry observed revision 9"
    );
    assert_eq!(
        state(Some(&status(10, 11))),
        RevisionState::Regressed,
        "below its read index at start-up"
    );
    assert_eq!(
        state(Some(r#"{"floor": {"met": false, "has": 3, "floor": 9}}"#)),
        RevisionState::Waiting
    );
    assert_eq!(state(None), RevisionState::Unreachable);
}
