use super::{NATIVE_FORMAT, SelectedFormat, WireFormat};
use std::time::Duration;

/// The published protocol uses whole seconds, and at least one.
#[test]
fn retry_after_is_in_whole_seconds() {
    let retry_after = |ms| NATIVE_FORMAT.retry_after(Duration::from_millis(ms));
    let values: Vec<String> = [0, 1, 100, 999, 1000, 1001, 61_500].map(retry_after).into();
    assert_eq!(values, ["1", "1", "1", "1", "1", "2", "62"]);
}

/// The default is the product's own format, which uses none of the headers that platforms require.
#[test]
fn the_native_format_requires_no_platform_header() {
    let selected = SelectedFormat::default();
    let headers = selected.headers();
    let platform_headers =
        [headers.request_id, headers.target, headers.not_run, headers.response_seal];
    assert_eq!(platform_headers, [None; 4]);
    assert!(!headers.forwards_deadline);
    assert_eq!(selected, SelectedFormat(&NATIVE_FORMAT));
}

#[test]
fn a_native_list_is_one_page_with_a_revision() {
    let text = r#"{"revision": 5, "servers": [{"id": "s", "address": "127.0.0.1:9",
        "region": "a", "zone": "a1", "state": "leaving"}]}"#;
    let page = NATIVE_FORMAT.parse_page(text.as_bytes(), "/servers", &Default::default()).unwrap();
    assert_eq!((page.revision, page.next), (Some(5), None));
    assert!(page.servers[0].draining);
    assert!(NATIVE_FORMAT.parse_page(b"{}", "/servers", &Default::default()).is_err());
}
