//! The keys of operators' settings files (design 2.2): each is accepted by the roles that have it and by no
//! other.

use vanepath_config::settings::{Invocation, Role, parse_arguments};

/// Each key with a valid value, and the roles that accept it in addition to the required keys.
const KEYS: [(&str, &str, &[Role]); 15] = [
    ("advertise", r#""127.0.0.1:8000""#, &[Role::Proxy, Role::Registry, Role::Store]),
    ("siblingAdvertise", r#""127.0.0.1:8001""#, &[Role::Proxy, Role::Registry, Role::Store]),
    ("fleet", r#""vanepath""#, &[Role::Proxy, Role::Registry, Role::Store]),
    ("seedPort", "7001", &[Role::Proxy, Role::Registry, Role::Store]),
    ("graceMs", "10000", &[Role::Proxy, Role::Registry, Role::Store]),
    ("pagesListen", r#""127.0.0.1:8002""#, &[Role::Proxy, Role::Registry, Role::Store]),
    ("zones", r#"{"north-1": "north"}"#, &[Role::Proxy, Role::Registry, Role::Store]),
    ("stores", "5", &[Role::Store]),
    ("storeLosses", "2", &[Role::Store]),
    ("firstStart", "false", &[Role::Store]),
    ("directoryListen", r#""127.0.0.1:8003""#, &[Role::Registry]),
    ("linkMegabits", "100", &[Role::Proxy]),
    ("retries", r#"{"ratio": 0.2, "windowMs": 10000, "extra": 32}"#, &[Role::Proxy]),
    ("dataFolder", r#""/tmp/data""#, &[Role::Store]),
    ("platform", r#""http://127.0.0.1:9000/servers""#, &[Role::Registry]),
];

fn check(role: Role, key: &str, value: &str) -> Result<(), String> {
    let mut fields = vec![
        r#""name": "one""#.to_string(),
        r#""region": "north""#.to_string(),
        r#""zone": "north-1""#.to_string(),
        r#""listen": "127.0.0.1:7000""#.to_string(),
        r#""siblingListen": "127.0.0.1:7001""#.to_string(),
        r#""seeds": ["127.0.0.1:7101"]"#.to_string(),
    ];
    for (required, required_value, required_role) in [
        ("dataFolder", r#""/tmp/data""#, Role::Store),
        ("platform", r#""http://127.0.0.1:9000/servers""#, Role::Registry),
    ] {
        if role == required_role && key != required {
            fields.push(format!(r#""{required}": {required_value}"#));
        }
    }
    fields.push(format!(r#""{key}": {value}"#));
    let name = format!("vanepath-settings-{role}-{key}-{}.json", std::process::id());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, format!("{{{}}}", fields.join(", "))).unwrap();
    let arguments =
        ["--settings".to_string(), file.to_string_lossy().to_string(), "--check".to_string()];
    let outcome = parse_arguments(role, &arguments);
    std::fs::remove_file(&file).unwrap();
    match outcome {
        Ok(Invocation::Print(_)) => Ok(()),
        Ok(Invocation::Run(_)) => panic!("--check must not run the program"),
        Err(error) => Err(error.to_string()),
    }
}

#[test]
fn each_key_is_accepted_by_its_roles_alone() {
    for (key, value, roles) in KEYS {
        for role in [Role::Proxy, Role::Registry, Role::Store] {
            let outcome = check(role, key, value);
            if roles.contains(&role) {
                assert_eq!(outcome, Ok(()), "{role} {key}");
            } else {
                let message = outcome.expect_err(key);
                assert!(message.contains(&format!("$.{key}")), "{role} {key}: {message}");
            }
        }
    }
}

#[test]
fn an_unknown_key_is_named() {
    for role in [Role::Proxy, Role::Registry, Role::Store] {
        let message = check(role, "nothing", "1").expect_err("no such key");
        assert!(message.contains("$.nothing"), "{message}");
    }
}
