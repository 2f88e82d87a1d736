use super::{Late, Longest, RULES_MOST};
use std::time::Duration;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn heard(longest: &mut Longest, now: Duration, rule: &str, left: Duration) -> Option<Late> {
    longest.heard(now, rule, left, now + left, AIM)
}

const AIM: Option<Duration> = Some(ms(600));

/// Who has used up its aim is late, by what the same rule's callers said at the most; each rule for itself.
#[test]
fn who_comes_back_after_its_aim_is_late() {
    let mut longest = Longest::default();
    assert_eq!(heard(&mut longest, ms(0), "r", ms(3000)), None, "nothing longer is known");
    assert_eq!(heard(&mut longest, ms(10), "r", ms(4000)), None);
    assert_eq!(heard(&mut longest, ms(20), "r", ms(3401)), None);
    let late = heard(&mut longest, ms(20), "r", ms(3000)).unwrap();
    assert_eq!(late.deadline, ms(3020));
    assert!(late.gives_way_until.abs_diff(ms(1687)) < ms(1));
    assert_eq!(heard(&mut longest, ms(20), "other", ms(3000)), None);
    assert_eq!(
        longest.heard(ms(20), "r", ms(1), ms(21), None),
        None,
        "without an aim nothing is late"
    );
}

/// One that has less than a third left gives way to nobody.
#[test]
fn it_gives_way_while_a_third_is_left() {
    let mut longest = Longest::default();
    heard(&mut longest, ms(0), "r", ms(3000));
    let until = heard(&mut longest, ms(5000), "r", ms(900)).unwrap().gives_way_until;
    assert!(until < ms(5000));
}

/// Callers that wait less long from now on are late no more after a while, and rules without end do not
/// fill the memory.
#[test]
fn what_was_said_is_forgotten() {
    let mut longest = Longest::default();
    heard(&mut longest, ms(0), "r", ms(9000));
    let mut late = 0;
    for second in 1..60 {
        late += usize::from(heard(&mut longest, ms(second * 1000), "r", ms(2000)).is_some());
    }
    assert!((15..=30).contains(&late), "{late}");
    for number in 0..3 * RULES_MOST {
        heard(&mut longest, ms(0), &number.to_string(), ms(1));
    }
    assert!(longest.by_rule.len() <= RULES_MOST);
}
