use super::RequestRates;
use std::time::Duration;

/// The measured rate depends neither on the measuring interval nor on a change of the configuration. A
/// new service starts at zero.
#[test]
fn rates_do_not_depend_on_the_measuring_interval() {
    let mut request_rates = RequestRates::default();
    request_rates.set_services(["a", "b"].into_iter());
    assert_eq!(request_rates.measure(Duration::ZERO)["b"], 0);
    let mut now_ms = 0;
    for (step, interval_ms) in
        [2000, 200, 1800, 2000, 400, 2000, 2000, 2000, 2000, 2000].iter().enumerate()
    {
        (0..interval_ms / 50)
            .for_each(|_| request_rates.record_request(if step < 5 { 1 } else { 0 }));
        now_ms += interval_ms;
        request_rates.measure(Duration::from_millis(now_ms));
        if step == 4 {
            request_rates.set_services(["b", "c"].into_iter());
        }
    }
    let measured = request_rates.measure(Duration::from_millis(now_ms));
    assert!((19_000..=20_000).contains(&measured["b"]) && measured["c"] == 0, "{measured:?}");
    assert_eq!(measured.len(), 2);
}
