//! Which requests are likely retries of the client (design 8.7): clients state how long they still
//! wait, and one that retries states no more than its earlier attempts left of that. Pure.

use std::collections::HashMap;
use std::time::Duration;

/// The longest deadline of a rule is remembered for one to two times as long.
const WINDOW: Duration = Duration::from_secs(15);
/// The number of rules remembered; beyond it all are forgotten.
const MAX_RULES: usize = 8192;

/// The longest deadline that clients of one rule stated, in this window and the one before.
#[derive(Clone, Copy, Debug)]
struct LongestDeadline {
    current: Duration,
    previous: Duration,
    window_started_at: Duration,
}

/// The longest deadlines that clients of each rule, by its name, stated lately.
#[derive(Debug, Default)]
pub struct ClientDeadlines {
    by_rule: HashMap<String, LongestDeadline>,
}

impl ClientDeadlines {
    /// Records a request of this rule whose client waits for `left` more. Returns whether, as far as
    /// is known, earlier attempts of the client have used up the latency target `aim` already.
    pub fn is_past_target(
        &mut self,
        now: Duration,
        rule: &str,
        left: Duration,
        aim: Option<Duration>,
    ) -> bool {
        if !self.by_rule.contains_key(rule) {
            if self.by_rule.len() >= MAX_RULES {
                self.by_rule.clear();
            }
            let longest = LongestDeadline { current: left, previous: left, window_started_at: now };
            self.by_rule.insert(rule.to_string(), longest);
        }
        let Some(longest) = self.by_rule.get_mut(rule) else { return false };
        if now.saturating_sub(longest.window_started_at) >= WINDOW {
            let previous = longest.current;
            *longest = LongestDeadline { current: left, previous, window_started_at: now };
        }
        longest.current = longest.current.max(left);
        let full_deadline = longest.current.max(longest.previous);
        aim.is_some_and(|aim| full_deadline - left >= aim)
    }
}

#[cfg(test)]
mod tests;
