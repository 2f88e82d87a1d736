#[test]
fn valid_reports_are_parsed_and_invalid_ones_ignored() {
    for (text, expected) in [
        ("TEXT cpu_utilization=0.3,mem_utilization=0.8", Some(300)),
        ("TEXT cpu_utilization=0.3, application_utilization=1.25", Some(1250)),
        ("JSON {\"cpu_utilization\": 0.5}", Some(500)),
        ("JSON {\"application_utilization\": \"x\", \"cpu_utilization\": 0.5}", None),
        ("TEXT cpu_utilization=nan", None),
        ("TEXT cpu_utilization=-1", None),
        ("TEXT cpu_utilization=inf", None),
        ("TEXT cpu_utilization", None),
        ("TEXT mem_utilization=0.8", None),
        ("BIN abcd", None),
        ("", None),
    ] {
        assert_eq!(super::parse(text), expected, "{text}");
    }
}
