fn har(entries: &str) -> String {
    format!(
        r#"{{"log": {{"version": "1.2", "creator": {{"name": "c", "version": "1"}},
            "entries": [{entries}]}}}}"#
    )
}

pub fn entry(time: &str, method: &str, url: &str) -> String {
    format!(
        r#"{{"startedDateTime": "{time}", "time": 1,
        "request": {{"method": "{method}", "url": "{url}", "httpVersion": "HTTP/1.1",
          "cookies": [], "queryString": [], "headersSize": -1, "bodySize": -1,
          "headers": [{{"name": "Host", "value": "old"}}, {{"name": "x-request", "value": "7"}}]}},
        "response": {{"status": 200, "statusText": "", "httpVersion": "HTTP/1.1",
          "cookies": [], "headers": [], "redirectURL": "", "headersSize": -1, "bodySize": -1,
          "content": {{"size": 0, "mimeType": ""}}}},
        "cache": {{}}, "timings": {{"send": 0, "wait": 1, "receive": 0}}}}"#
    )
}

/// The requests are ordered by time and have no headers of the recorded connection. The error for entries
/// that cannot be sent names them.
#[test]
fn entries_are_read_in_order_of_time_and_invalid_entries_are_reported() {
    let later = entry("2026-01-02T03:04:06.500+01:00", "GET", "http://shop.example/stock/1?a=b");
    let first = entry("2026-01-02T02:04:05Z", "POST", "https://shop.example:8443/orders");
    let requests = super::read(har(&format!("{later}, {first}")).as_bytes()).unwrap();
    assert_eq!((requests[0].method.as_str(), requests[0].target.as_str()), ("POST", "/orders"));
    assert_eq!((requests[1].at.as_millis(), requests[1].target.as_str()), (1500, "/stock/1?a=b"));
    assert_eq!((requests[1].host.as_str(), requests[1].headers.len()), ("shop.example", 1));
    for (text, expected) in [
        ("[]".to_string(), "no HAR file"),
        ("{\"log\": {\"version\": \"9\"}}".to_string(), "no HAR file"),
        (har(&entry("yesterday", "GET", "http://h/")), "entries[0]: startedDateTime"),
        (har(&entry("2026-01-02T02:04:05Z", "GE T", "http://h/")), "entries[0]: method"),
        (har(&entry("2026-01-02T02:04:05Z", "GET", "ftp://h/")), "neither http nor https"),
    ] {
        let error = super::read(text.as_bytes()).unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
    }
}
