use super::{ClientDeadlines, MAX_RULES};
use std::time::Duration;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

const TARGET: Option<Duration> = Some(ms(600));

/// A request is past its latency target by the longest deadline that clients of the same rule stated.
#[test]
fn a_request_past_its_latency_target_is_recognized() {
    let mut longest = ClientDeadlines::default();
    let mut is_past_aim =
        |rule, left, target| longest.is_past_target(ms(20), rule, ms(left), target);
    assert!(!is_past_aim("r", 3000, TARGET), "nothing longer is known");
    assert!(!is_past_aim("r", 4000, TARGET) && !is_past_aim("r", 3401, TARGET));
    assert!(
        is_past_aim("r", 3400, TARGET)
            && is_past_aim("r", 3000, TARGET)
            && is_past_aim("r", 1, TARGET)
    );
    assert!(!is_past_aim("other", 3000, TARGET));
    assert!(!is_past_aim("r", 1, None), "without a target nothing is late");
}

/// Clients whose deadlines become shorter are not past the target any more after a while, and the number
/// of rules is bounded.
#[test]
fn old_deadlines_are_forgotten() {
    let mut longest = ClientDeadlines::default();
    longest.is_past_target(ms(0), "r", ms(9000), TARGET);
    let mut late = 0;
    for second in 1..60 {
        late += usize::from(longest.is_past_target(ms(second * 1000), "r", ms(2000), TARGET));
    }
    assert!((15..=30).contains(&late), "{late}");
    for number in 0..3 * MAX_RULES {
        longest.is_past_target(ms(0), &number.to_string(), ms(1), TARGET);
    }
    assert!(longest.by_rule.len() <= MAX_RULES);
}
