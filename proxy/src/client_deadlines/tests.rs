use super::{ClientDeadlines, RULES_MOST};
use std::time::Duration;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

const AIM: Option<Duration> = Some(ms(600));

/// Who has used up its aim is late, by what the same rule's callers said at the most; each rule for itself.
#[test]
fn who_comes_back_after_its_aim_is_late() {
    let mut longest = ClientDeadlines::default();
    let mut is_past_aim = |rule, left, aim| longest.is_past_aim(ms(20), rule, ms(left), aim);
    assert!(!is_past_aim("r", 3000, AIM), "nothing longer is known");
    assert!(!is_past_aim("r", 4000, AIM) && !is_past_aim("r", 3401, AIM));
    assert!(is_past_aim("r", 3400, AIM) && is_past_aim("r", 3000, AIM) && is_past_aim("r", 1, AIM));
    assert!(!is_past_aim("other", 3000, AIM));
    assert!(!is_past_aim("r", 1, None), "without an aim nothing is late");
}

/// Callers that wait less long from now on are late no more after a while, and rules without end do not
/// fill the memory.
#[test]
fn what_was_said_is_forgotten() {
    let mut longest = ClientDeadlines::default();
    longest.is_past_aim(ms(0), "r", ms(9000), AIM);
    let mut late = 0;
    for second in 1..60 {
        late += usize::from(longest.is_past_aim(ms(second * 1000), "r", ms(2000), AIM));
    }
    assert!((15..=30).contains(&late), "{late}");
    for number in 0..3 * RULES_MOST {
        longest.is_past_aim(ms(0), &number.to_string(), ms(1), AIM);
    }
    assert!(longest.by_rule.len() <= RULES_MOST);
}
