//! Detection of requests that are likely retries by the client (design 8.7). Clients state how long they
//! will still wait; a client that retries states only the time that its earlier attempts have left.
//! Does no I/O and reads no clock.

use std::collections::HashMap;
use std::time::Duration;

/// Length of a window. The longest deadline of a rule is kept for one to two windows.
const WINDOW: Duration = Duration::from_secs(15);
/// Maximum number of rules that are kept. Before a further one is added, all are removed.
const MAX_RULES: usize = 8192;

/// The longest deadline that clients of one rule stated, in the current window and in the previous one.
#[derive(Clone, Copy, Debug)]
struct LongestDeadline {
    current: Duration,
    previous: Duration,
    window_started_at: Duration,
}

/// The longest deadlines that clients recently stated, by the name of the rule.
#[derive(Debug, Default)]
pub struct ClientDeadlines {
    by_rule: HashMap<String, LongestDeadline>,
}

impl ClientDeadlines {
    /// Records a request of this rule whose client will wait for `time_left`. Returns whether earlier
    /// attempts of the client have probably already used up `latency_target`: the longest recent
    /// deadline of the rule exceeds `time_left` by at least that much.
    pub fn is_past_target(
        &mut self,
        now: Duration,
        rule: &str,
        time_left: Duration,
        latency_target: Option<Duration>,
    ) -> bool {
        if !self.by_rule.contains_key(rule) {
            if self.by_rule.len() >= MAX_RULES {
                self.by_rule.clear();
            }
            let longest =
                LongestDeadline { current: time_left, previous: time_left, window_started_at: now };
            self.by_rule.insert(rule.to_string(), longest);
        }
        let Some(longest) = self.by_rule.get_mut(rule) else { return false };
        if now.saturating_sub(longest.window_started_at) >= WINDOW {
            let previous = longest.current;
            *longest = LongestDeadline { current: time_left, previous, window_started_at: now };
        }
        longest.current = longest.current.max(time_left);
        let full_deadline = longest.current.max(longest.previous);
        latency_target.is_some_and(|latency_target| full_deadline - time_left >= latency_target)
    }
}

#[cfg(test)]
mod tests;
