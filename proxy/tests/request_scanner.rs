//! The scanner of pipelined requests: which requests it counts as read whole.

use vanepath_proxy::pipelining::RequestScanner;

const LOOKUP: &str = "GET /look/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n";
const FILING: &str =
    "POST /file/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 5\r\n\r\nhello";

/// Scans the text in pieces of this size and returns the number of whole requests.
fn whole_requests(text: &str, piece: usize) -> u64 {
    let mut scanner = RequestScanner::default();
    for bytes in text.as_bytes().chunks(piece) {
        scanner.scan(bytes);
    }
    scanner.whole_requests()
}

/// A request counts once its last byte was read, however the bytes are split.
#[test]
fn requests_count_as_whole_with_their_last_byte() {
    let text = [LOOKUP, FILING, FILING, LOOKUP].concat();
    for piece in 1..=text.len() {
        assert_eq!(whole_requests(&text, piece), 4, "pieces of {piece}");
        assert_eq!(whole_requests(&text[..text.len() - 1], piece), 3, "pieces of {piece}");
        let upto_filing = LOOKUP.len() + FILING.len();
        assert_eq!(whole_requests(&text[..upto_filing - 1], piece), 1, "pieces of {piece}");
    }
}

/// A body of declared length zero is complete with its head.
#[test]
fn an_empty_body_is_whole() {
    let text = FILING.replace("Length: 5", "Length: 0").replace("hello", "");
    assert_eq!(whole_requests(&[&text, LOOKUP].concat(), 7), 2);
}

/// Where only the HTTP library can tell the end of a body, neither its request nor any behind it counts.
#[test]
fn requests_of_unknown_length_do_not_count() {
    let chunked = FILING.replace("Content-Length: 5", "Transfer-Encoding: chunked");
    assert_eq!(whole_requests(&[LOOKUP, &chunked, LOOKUP].concat(), 11), 1);
    let invalid = FILING.replace("Length: 5", "Length: five");
    assert_eq!(whole_requests(&[LOOKUP, &invalid, LOOKUP].concat(), 11), 1);
}

/// A request that closes the connection is whole itself, and none behind it counts.
#[test]
fn nothing_counts_behind_a_request_that_closes_the_connection() {
    let closing = LOOKUP.replace("Host", "Connection: close\r\nHost");
    assert_eq!(whole_requests(&[LOOKUP, &closing, LOOKUP].concat(), 13), 2);
}
