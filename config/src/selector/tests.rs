#[test]
fn selectors_are_parsed_and_evaluated_as_written() {
    let labels: std::collections::BTreeMap<String, String> =
        [("app", "orders"), ("zone", "a1"), ("region", "a")]
            .map(|(key, value)| (key.to_string(), value.to_string()))
            .into();
    let location = super::ClientLocation { zone: "a1", region: "b" };
    let mut output = String::new();
    for text in [
        "app = orders",
        "app != orders or zone in (a1, a2)",
        "not has app and all",
        "zone = @zone and not region = @region",
        "not (app = orders and region = b)",
        "",
        "app = ",
        "app = orders and",
        "zone in a1",
        "app ! orders",
        "a = b c",
        "app = 'x'",
    ] {
        let outcome = match super::Selector::parse(text) {
            Ok(selector) => selector.matches(&labels, location).to_string(),
            Err(error) => error.to_string(),
        };
        output += &format!("{text:40} {outcome}\n");
    }
    assert!(super::Selector::parse(&"(".repeat(500)).is_err());
    assert!(super::Selector::parse(&"not ".repeat(200)).is_err());
    expect_test::expect![[r#"
        app = orders                             true
        app != orders or zone in (a1, a2)        true
        not has app and all                      false
        zone = @zone and not region = @region    true
        not (app = orders and region = b)        true
                                                 expected a label's key at the end
        app =                                    expected a value at the end
        app = orders and                         expected a label's key at the end
        zone in a1                               expected '(' where 'a1' stands
        app ! orders                             '!' must be followed by '='
        a = b c                                  unexpected 'c'
        app = 'x'                                unexpected character '\''
    "#]]
    .assert_eq(&output);
}
