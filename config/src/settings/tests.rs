fn outcome_of(role: super::Role, arguments: &[&str]) -> String {
    let arguments: Vec<String> = arguments.iter().map(|argument| argument.to_string()).collect();
    match super::parse_arguments(role, &arguments) {
        Ok(super::Invocation::Run(_)) => "runs".to_string(),
        Ok(super::Invocation::Print(text)) => text,
        Err(error) => error.to_string(),
    }
}

#[test]
fn flags_alone_are_enough_and_errors_name_the_key() {
    let valid = [
        "--name=p1",
        "--region=a",
        "--zone=a1",
        "--listen=127.0.0.1:8080",
        "--sibling-listen=127.0.0.1:8081",
        "--seed=127.0.0.1:9001",
    ];
    assert_eq!(outcome_of(super::Role::Proxy, &valid), "runs");
    assert!(outcome_of(super::Role::Store, &valid).contains("$.dataFolder: missing"));
    let mut output = String::new();
    for (index, changed) in [
        (0, "--name=P 1"),
        (3, "--listen=localhost:80"),
        (3, "--listen=127.0.0.1:0"),
        (3, "--listen=0.0.0.0:8080"),
        (4, "--sibling-listen=127.0.0.1:8080"),
        (5, "--seed=127.0.0.1"),
        (5, "--colour=red"),
        (5, "--check"),
    ] {
        let mut arguments = valid;
        arguments[index] = changed;
        output += &format!("{changed}\n{}\n", outcome_of(super::Role::Proxy, &arguments));
    }
    expect_test::expect![[r#"
        --name=P 1
        the settings cannot be used
          $.name: must be 1 to 63 of a-z, 0-9, '-' and '_'
        --listen=localhost:80
        the settings cannot be used
          $.listen: 'localhost:80' is not an IP number and a port
        --listen=127.0.0.1:0
        the settings cannot be used
          $.listen: port 0 cannot be used
        --listen=0.0.0.0:8080
        the settings cannot be used
          $.advertise: others cannot reach an unspecified address
        --sibling-listen=127.0.0.1:8080
        the settings cannot be used
          $.siblingListen: the same as listen
        --seed=127.0.0.1
        the settings cannot be used
          $.seeds[0]: '127.0.0.1' is not an IP number and a port
        --colour=red
        Unrecognized option: 'colour'; see --help
        --check
        the settings cannot be used
          $.seeds: missing
    "#]]
    .assert_eq(&output);
}
