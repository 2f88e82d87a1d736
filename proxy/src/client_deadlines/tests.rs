use super::{ClientDeadlines, MAX_RULES};
use std::time::Duration;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

const TARGET: Option<Duration> = Some(ms(600));

/// Whether a request is past its latency target follows from the longest deadline that clients of the
/// same rule stated.
#[test]
fn a_request_past_its_latency_target_is_recognized() {
    let mut deadlines = ClientDeadlines::default();
    let mut is_past_target =
        |rule, time_left, target| deadlines.is_past_target(ms(20), rule, ms(time_left), target);
    assert!(!is_past_target("r", 3000, TARGET), "no longer deadline is known");
    assert!(!is_past_target("r", 4000, TARGET) && !is_past_target("r", 3401, TARGET));
    assert!(
        is_past_target("r", 3400, TARGET)
            && is_past_target("r", 3000, TARGET)
            && is_past_target("r", 1, TARGET)
    );
    assert!(!is_past_target("other", 3000, TARGET));
    assert!(!is_past_target("r", 1, None), "without a target no request is late");
}

/// When the deadlines of a rule's clients become shorter, their requests stop counting as past the
/// target after a while. The number of rules is bounded.
#[test]
fn old_deadlines_are_forgotten() {
    let mut deadlines = ClientDeadlines::default();
    deadlines.is_past_target(ms(0), "r", ms(9000), TARGET);
    let mut past_target_count = 0;
    for second in 1..60 {
        past_target_count +=
            usize::from(deadlines.is_past_target(ms(second * 1000), "r", ms(2000), TARGET));
    }
    assert!((15..=30).contains(&past_target_count), "{past_target_count}");
    for rule in 0..3 * MAX_RULES {
        deadlines.is_past_target(ms(0), &rule.to_string(), ms(1), TARGET);
    }
    assert!(deadlines.by_rule.len() <= MAX_RULES);
}
