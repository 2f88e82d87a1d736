use super::{NATIVE_FORMAT, SelectedFormat, WireFormat};
use std::time::Duration;

/// The published protocol has whole seconds, and never none.
#[test]
fn pauses_are_told_in_whole_seconds() {
    let told = |ms| NATIVE_FORMAT.retry_after(Duration::from_millis(ms));
    let all: Vec<String> = [0, 1, 100, 999, 1000, 1001, 61_500].map(told).into();
    assert_eq!(all, ["1", "1", "1", "1", "1", "2", "62"]);
}

/// Without another one a program speaks the product's own: no header of a platform's is asked for.
#[test]
fn the_own_dialect_asks_for_no_proof() {
    let spoken = SelectedFormat::default();
    let headers = spoken.headers();
    let needed = [headers.request_id, headers.target, headers.not_run, headers.response_seal];
    assert_eq!(needed, [None; 4]);
    assert!(!headers.forwards_deadline);
    assert_eq!(spoken, SelectedFormat(&NATIVE_FORMAT));
}

#[test]
fn an_own_list_is_one_page_with_a_number() {
    let text = r#"{"revision": 5, "servers": [{"id": "s", "address": "127.0.0.1:9",
        "region": "a", "zone": "a1", "state": "leaving"}]}"#;
    let page = NATIVE_FORMAT.page(text.as_bytes(), "/servers", &Default::default()).unwrap();
    assert_eq!((page.revision, page.next), (Some(5), None));
    assert!(page.servers[0].draining);
    assert!(NATIVE_FORMAT.page(b"{}", "/servers", &Default::default()).is_err());
}
