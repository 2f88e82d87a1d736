use super::PollOutcome;

#[test]
fn only_a_good_list_takes_the_last_ones_place() {
    let list = |revision: u64, is_empty: bool| {
        let server = r#"{"id": "s", "address": "127.0.0.1:9", "region": "a", "zone": "a1",
                         "state": "ready"}"#;
        let servers = if is_empty { "" } else { server };
        let text = format!(r#"{{"revision": {revision}, "servers": [{servers}]}}"#);
        vanepath_config::endpoint_list::parse(text.as_bytes()).unwrap()
    };
    let last = list(5, false);
    assert_eq!(super::evaluate(&last, &list(6, false)), PollOutcome::Good);
    assert_eq!(super::evaluate(&last, &list(4, false)), PollOutcome::Older);
    assert_eq!(super::evaluate(&last, &list(6, true)), PollOutcome::Empty);
    // Whoever knows none yet may be the only one: the others' list has servers.
    assert_eq!(super::evaluate(&list(0, true), &list(1, true)), PollOutcome::Empty);
    assert_eq!(super::evaluate(&list(0, true), &list(0, false)), PollOutcome::Good);
}
