//! Which requests have been tried before (design 8.7): callers say how long they still wait, and who comes
//! back waits no longer than what its earlier tries left of that. Pure.

use std::time::Duration;

/// What a rule's callers said counts for one to two times as long.
const HOLDS: Duration = Duration::from_secs(15);
/// Rules remembered at the most; more begin anew.
const RULES_MOST: usize = 8192;

#[derive(Clone, Copy, Debug)]
struct Said {
    most: Duration,
    before: Duration,
    since: Duration,
}

/// The longest that callers of each rule, by its name, said lately that they wait.
#[derive(Debug, Default)]
pub struct ClientDeadlines {
    by_rule: std::collections::HashMap<String, Said>,
}

impl ClientDeadlines {
    /// A request of this rule came, whose caller waits for `left` more: whether it is late already, that
    /// is, has used up its aim with earlier tries as far as is known.
    pub fn is_past_aim(
        &mut self,
        now: Duration,
        rule: &str,
        left: Duration,
        aim: Option<Duration>,
    ) -> bool {
        if !self.by_rule.contains_key(rule) {
            if self.by_rule.len() >= RULES_MOST {
                self.by_rule.clear();
            }
            let said = Said { most: left, before: left, since: now };
            self.by_rule.insert(rule.to_string(), said);
        }
        let Some(said) = self.by_rule.get_mut(rule) else { return false };
        if now.saturating_sub(said.since) >= HOLDS {
            *said = Said { most: left, before: said.most, since: now };
        }
        said.most = said.most.max(left);
        let whole = said.most.max(said.before);
        aim.is_some_and(|aim| whole - left >= aim)
    }
}

#[cfg(test)]
mod tests;
