const GOOD: &str = r#"{
  "places": [{"zone": "a1", "region": "a", "labels": {"cost": "low"}},
             {"zone": "b1", "region": "b"}],
  "classes": [
    {"name": "lookup", "urgency": 1, "kind": "repeatable", "room": 200},
    {"name": "filing", "urgency": 0, "kind": "once"},
    {"name": "bulk", "urgency": 5, "kind": "repeatable",
     "borrows": [{"from": "lookup", "most": 20}]}],
  "services": [
    {"name": "orders", "selector": "app = orders", "livenessPath": "/live",
     "cold": {"ratePerSecond": 5, "periodMs": 8000}},
    {"name": "papers", "selector": "app = papers", "livenessPath": "/live"}],
  "rules": [
    {"name": "file", "match": {"methods": ["POST"], "pathPrefix": "/orders"},
     "class": "filing", "service": "orders", "regions": ["a"]},
    {"name": "bulk", "match": {"pathPrefix": "/papers/"}, "class": "bulk",
     "service": "papers", "spill": ["orders"]},
    {"name": "rest", "class": "lookup", "service": "orders",
     "prefer": [[{"places": "zone = @zone", "share": 70},
                 {"places": "cost = low", "share": 30}]]}]
}"#;

fn errors(text: &str) -> String {
    match super::parse(text.as_bytes()) {
        Ok(_) => "accepted".to_string(),
        Err(errors) => errors.iter().map(|error| error.to_string()).collect::<Vec<_>>().join("\n"),
    }
}

#[test]
fn a_valid_config_is_accepted_and_routes() {
    let config = super::parse(GOOD.as_bytes()).unwrap();
    assert_eq!(config.rule_for("POST", "h", "/orders/7"), Some(0));
    assert_eq!(config.rule_for("POST", "h", "/ordersx"), Some(2));
    assert_eq!(config.rule_for("GET", "h", "/papers"), Some(1));
    assert_eq!(config.rule_for("GET", "h", "/papers/1?x=2"), Some(1));
    assert_eq!(config.rule_for("GET", "h", "/orders"), Some(2));
}

/// The example configuration of the operators' documentation is valid.
#[test]
fn the_example_of_the_docs_is_accepted() {
    let text = include_str!("../../../docs/setup.example.json");
    assert_eq!(errors(text), "accepted");
}

/// Introduces one error of each kind at a time into the valid configuration.
#[test]
fn each_validation_error_names_its_path() {
    let mut output = String::new();
    for (from, to) in [
        (r#""urgency": 1"#, r#""urgency": 1, "colour": 2"#),
        (r#""urgency": 1"#, r#""urgency": 1, "\u0075rgency": 2"#),
        (r#""urgency": 1"#, r#""urgency": 1.5"#),
        (r#""urgency": 1"#, r#""urgency": 1e999"#),
        (r#""urgency": 1"#, r#""urgency": NaN"#),
        (r#""urgency": 1"#, r#""urgency": "1""#),
        (r#""urgency": 0"#, r#""urgency": -1"#),
        (r#""kind": "once""#, r#""kind": "twice""#),
        (r#""share": 70"#, r#""share": 60"#),
        (r#""share": 70"#, r#""share": 1e-400"#),
        (r#""from": "lookup""#, r#""from": "bulk""#),
        (r#""from": "lookup""#, r#""from": "nobody""#),
        (r#""selector": "app = orders""#, r#""selector": "app = (""#),
        (r#""selector": "app = orders""#, r#""selector": "zone = @zone""#),
        (r#""places": "cost = low""#, r#""places": "cost = high""#),
        (r#""service": "papers""#, r#""service": "paper""#),
        (r#""spill": ["orders"]"#, r#""spill": ["papers"]"#),
        (r#""regions": ["a"]"#, r#""regions": ["c"]"#),
        (r#""regions": ["a"]"#, r#""regions": []"#),
        (r#""methods": ["POST"]"#, r#""methods": []"#),
        (r#"{"pathPrefix": "/papers/"}"#, r#"{"methods": ["POST"], "pathPrefix": "/orders/x"}"#),
        (r#""name": "papers""#, r#""name": "orders""#),
        (r#""name": "bulk", "match""#, r#""name": "file", "match""#),
        (r#""livenessPath": "/live"}],"#, r#""livenessPath": "live"}],"#),
        (r#""zone": "b1""#, r#""zone": "a1""#),
        (r#""periodMs": 8000"#, r#""periodMs": true"#),
    ] {
        assert!(GOOD.contains(from), "{from}");
        output +=
            &format!("{to}\n    {}\n", errors(&GOOD.replace(from, to)).replace('\n', "\n    "));
    }
    for text in ["", "[]", "{}", "{\"classes\": {}}", "{\"a\":1}}"] {
        output += &format!("{text}\n    {}\n", errors(text).replace('\n', "\n    "));
    }
    output += &errors(&" ".repeat(super::MAX_BYTES + 1));
    assert!(super::parse("[".repeat(100_000).as_bytes()).is_err());
    expect_test::expect![[r#"
        "urgency": 1, "colour": 2
            $.classes[0].colour: unknown key
        "urgency": 1, "\u0075rgency": 2
            $.classes[0].urgency: duplicate key
        "urgency": 1.5
            $.classes[0].urgency: must be a whole number
        "urgency": 1e999
            $.classes[0].urgency: must be from 0 to 100
        "urgency": NaN
            $: not JSON: Unexpected character: N at (5:35)
        "urgency": "1"
            $.classes[0].urgency: must be a number
        "urgency": -1
            $.classes[1].urgency: must be from 0 to 100
        "kind": "twice"
            $.classes[1].kind: must be repeatable or once
        "share": 60
            $.rules[2].prefer[0]: the shares add up to 90, not 100
        "share": 1e-400
            $.rules[2].prefer[0]: the shares add up to 30, not 100
        "from": "bulk"
            $.classes[2].borrows: the borrowing comes back to this class
        "from": "nobody"
            $.classes[2].borrows[0].from: there is no 'nobody'
        "selector": "app = ("
            $.services[0].selector: selector: expected a value where '(' stands
        "selector": "zone = @zone"
            $.services[0].selector: @zone and @region have no meaning here
        "places": "cost = high"
            $.rules[2].prefer[0][1].places: matches no place
        "service": "paper"
            $.rules[1].service: there is no 'paper'
        "spill": ["papers"]
            $.rules[1].spill[0]: named twice
        "regions": ["c"]
            $.rules[0].regions[0]: no place lies in region 'c'
        "regions": []
            $.rules[0].regions: an empty bound lets nothing be served
        "methods": []
            $.rules[0].match.methods: can never match: no method
        {"methods": ["POST"], "pathPrefix": "/orders/x"}
            $.rules[1].match: can never match: rule 'file' above takes all of it
        "name": "orders"
            $.services[1].name: 'orders' is named twice
            $.rules[1].service: there is no 'papers'
        "name": "file", "match"
            $.rules[1].name: 'file' is named twice
        "livenessPath": "live"}],
            $.services[1].livenessPath: must start with '/' and be plain URL characters
        "zone": "a1"
            $.places[1].zone: 'a1' is named twice
        "periodMs": true
            $.services[0].cold.periodMs: must be a number

            $: not JSON: Unexpected end of JSON
        []
            $: must be an object
        {}
            $.classes: must have at least one entry
            $.services: must have at least one entry
            $.rules: must have at least one entry
        {"classes": {}}
            $.services: must have at least one entry
            $.rules: must have at least one entry
            $.classes: must be an array
        {"a":1}}
            $: not JSON: Unexpected character: } at (1:8)
        $: larger than 8388608 bytes"#]]
    .assert_eq(&output);
}

fn weighted_rule(weights: &[f64]) -> super::Rule {
    let text = r#"{"classes": [{"name": "c", "urgency": 1, "kind": "once"}],
        "services": [{"name": "s", "selector": "all", "livenessPath": "/"}],
        "rules": [{"name": "r", "class": "c", "service": "s"}]}"#;
    let mut rule = super::parse(text.as_bytes()).unwrap().rules.remove(0);
    rule.service = 7;
    let weighted = weights.iter().copied().enumerate();
    rule.weighted_services =
        weighted.map(|(service, weight)| super::WeightedService { service, weight }).collect();
    rule
}

/// Services are chosen in proportion to their weights, whatever the sum of the weights; a service of weight 0
/// is never chosen.
#[test]
fn services_are_chosen_in_proportion_to_their_weights() {
    let mut output = String::new();
    for weights in [&[90.0, 10.0][..], &[0.5, 0.25, 0.25], &[0.0, 3.0, 0.0, 1.0], &[1e-9, 1e9]] {
        let rule = weighted_rule(weights);
        let mut counts = vec![0; weights.len()];
        let mut random = 1_u64;
        for _ in 0..10_000 {
            random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            counts[rule.pick_service(random)] += 1;
        }
        output += &format!("{weights:?}: {counts:?}\n");
    }
    expect_test::expect![[r#"
        [90.0, 10.0]: [9018, 982]
        [0.5, 0.25, 0.25]: [4981, 2505, 2514]
        [0.0, 3.0, 0.0, 1.0]: [0, 7486, 0, 2514]
        [1e-9, 1000000000.0]: [0, 10000]
    "#]]
    .assert_eq(&output);
}

/// The smallest and largest random values also choose a service whose weight is above 0. Without such a
/// service, the rule's own service is chosen.
#[test]
fn extreme_random_values_choose_a_service_with_weight() {
    assert_eq!(
        weighted_rule(&[]).pick_service(5),
        7,
        "without weighted services, the rule's own service"
    );
    for weights in [&[0.0, 2.0, 0.0][..], &[0.0, 1e-300, 0.0], &[0.0, 0.1, 0.0]] {
        for random in [0, 1, u64::MAX / 2, u64::MAX] {
            assert_eq!(weighted_rule(weights).pick_service(random), 1, "{weights:?} at {random}");
        }
    }
    assert_eq!(weighted_rule(&[0.0, 0.0]).pick_service(9), 7, "no service has a weight above 0");
    assert_eq!(
        [
            weighted_rule(&[1.0, 1.0]).pick_service(0),
            weighted_rule(&[1.0, 1.0]).pick_service(u64::MAX)
        ],
        [0, 1]
    );
}
