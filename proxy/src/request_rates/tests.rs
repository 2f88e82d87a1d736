use super::RequestRates;
use std::time::Duration;

/// The same pace shows the same, however seldom or often it is told, and through a change of the
/// setup; a service that is new begins with nothing.
#[test]
fn the_pace_is_told_whatever_the_span() {
    let mut request_counts = RequestRates::default();
    request_counts.set_services(["a", "b"].into_iter());
    assert_eq!(request_counts.measure(Duration::ZERO)["b"], 0);
    let mut now_ms = 0;
    for (turn, span_ms) in
        [2000, 200, 1800, 2000, 400, 2000, 2000, 2000, 2000, 2000].iter().enumerate()
    {
        (0..span_ms / 50).for_each(|_| request_counts.record_request(if turn < 5 { 1 } else { 0 }));
        now_ms += span_ms;
        request_counts.measure(Duration::from_millis(now_ms));
        if turn == 4 {
            request_counts.set_services(["b", "c"].into_iter());
        }
    }
    let told = request_counts.measure(Duration::from_millis(now_ms));
    assert!((19_000..=20_000).contains(&told["b"]) && told["c"] == 0, "{told:?}");
    assert_eq!(told.len(), 2);
}
