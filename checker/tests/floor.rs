//! What the checker says of daemons below their floor (design 5.8).

use vanepath_checker::{Weight, check, fleet_from};

#[test]
fn daemons_below_their_floor_are_named() {
    let status = |behind: &str| {
        let text =
            format!(r#"{{"revision": 7, "emptied": [], {behind} "servers": [], "daemons": []}}"#);
        fleet_from(&jzon::parse(&text).unwrap(), None).unwrap()
    };
    let setup = vanepath_setup::model::parse(
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
