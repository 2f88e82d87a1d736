//! Which requests have been tried before (design 8.11): callers say how long they still wait, and who
//! comes back waits no longer than what its earlier tries left of that. Pure.

use std::time::Duration;

/// What a rule's callers said counts for one to two times as long.
const HOLDS: Duration = Duration::from_secs(15);
/// Rules remembered at the most; more begin anew.
const RULES_MOST: usize = 8192;
/// A request that is late already gives way until so much of its caller's time is left.
const GIVES_WAY_UNTIL: f64 = 1.0 / 3.0;

#[derive(Clone, Copy, Debug)]
struct Said {
    most: Duration,
    before: Duration,
    since: Duration,
}

/// A request that cannot be answered within its aim any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Late {
    /// It gives way to those that can until then.
    pub gives_way_until: Duration,
    pub deadline: Duration,
}

impl Late {
    pub fn gives_way(&self, now: Duration) -> bool {
        now < self.gives_way_until
    }
}

/// The longest that callers of each rule, by its name, said lately that they wait.
#[derive(Debug, Default)]
pub struct Longest {
    by_rule: std::collections::HashMap<String, Said>,
}

impl Longest {
    /// A request of this rule came, whose caller waits for `left` more; it has to be done by `deadline`.
    /// `None`: it may still be answered within its aim, as far as is known.
    pub fn heard(
        &mut self,
        now: Duration,
        rule: &str,
        left: Duration,
        deadline: Duration,
        aim: Option<Duration>,
    ) -> Option<Late> {
        if !self.by_rule.contains_key(rule) {
            if self.by_rule.len() >= RULES_MOST {
                self.by_rule.clear();
            }
            let said = Said { most: left, before: left, since: now };
            self.by_rule.insert(rule.to_string(), said);
        }
        let said = self.by_rule.get_mut(rule)?;
        if now.saturating_sub(said.since) >= HOLDS {
            *said = Said { most: left, before: said.most, since: now };
        }
        said.most = said.most.max(left);
        let whole = said.most.max(said.before);
        (whole - left >= aim?).then(|| {
            let gives_way_until = deadline.saturating_sub(whole.mul_f64(GIVES_WAY_UNTIL));
            Late { gives_way_until, deadline }
        })
    }
}

#[cfg(test)]
mod tests;
