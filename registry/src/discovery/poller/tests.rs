use super::{PollOutcome, evaluate};
use vanepath_config::endpoint_list;

#[test]
fn only_a_good_list_replaces_the_last_one() {
    let list = |revision: u64, is_empty: bool| {
        let server = r#"{"id": "s", "address": "127.0.0.1:9", "region": "a", "zone": "a1",
                         "state": "ready"}"#;
        let servers = if is_empty { "" } else { server };
        let text = format!(r#"{{"revision": {revision}, "servers": [{servers}]}}"#);
        endpoint_list::parse(text.as_bytes()).unwrap()
    };
    let last = list(5, false);
    assert_eq!(evaluate(&last, &list(6, false)), PollOutcome::Good);
    assert_eq!(evaluate(&last, &list(4, false)), PollOutcome::Older);
    assert_eq!(evaluate(&last, &list(6, true)), PollOutcome::Empty);
    // A registry without a list rejects an empty one too: other registries may have one with servers.
    assert_eq!(evaluate(&list(0, true), &list(1, true)), PollOutcome::Empty);
    assert_eq!(evaluate(&list(0, true), &list(0, false)), PollOutcome::Good);
}
