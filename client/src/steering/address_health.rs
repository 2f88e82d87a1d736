//! A client's view of the health of each proxy address: penalties after network errors, and whether the
//! address answers its outstanding requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// An address with outstanding requests that has answered none for this long is suspect: new requests try
/// other addresses first, outstanding ones stay.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1000);

/// How long an address is tried last after a network error.
pub const PENALTY_DURATION: Duration = Duration::from_secs(3);

/// How long after an answer the open connections to its address are assumed to work.
const ANSWER_VALIDITY: Duration = Duration::from_millis(300);

/// Requests sent to an address and not yet finished.
struct Outstanding {
    count: u32,
    /// When the first of these requests started, or when the address answered last, whichever is later.
    unanswered_since: Duration,
}

/// Health of all addresses of one client.
#[derive(Default)]
pub(super) struct AddressHealth {
    /// End of the penalty by address.
    penalties: HashMap<SocketAddr, Duration>,
    outstanding: HashMap<SocketAddr, Outstanding>,
    /// When each address last answered; removed after a request that was not answered.
    last_answers: HashMap<SocketAddr, Duration>,
}

impl AddressHealth {
    pub fn penalize(&mut self, now: Duration, address: SocketAddr) {
        self.penalties.insert(address, now + PENALTY_DURATION);
    }

    pub fn expire_penalties(&mut self, now: Duration) {
        self.penalties.retain(|_, until| *until > now);
    }

    pub fn is_penalized(&self, address: &SocketAddr) -> bool {
        self.penalties.contains_key(address)
    }

    pub fn request_started(&mut self, now: Duration, address: SocketAddr) {
        let outstanding = self
            .outstanding
            .entry(address)
            .or_insert(Outstanding { count: 0, unanswered_since: now });
        if outstanding.count == 0 {
            outstanding.unanswered_since = now;
        }
        outstanding.count += 1;
    }

    pub fn request_finished(&mut self, now: Duration, address: SocketAddr, was_answered: bool) {
        if was_answered {
            self.last_answers.insert(address, now);
        } else {
            self.last_answers.remove(&address);
        }
        if let Some(outstanding) = self.outstanding.get_mut(&address) {
            outstanding.count = outstanding.count.saturating_sub(1);
            if was_answered {
                outstanding.unanswered_since = now;
            }
            if outstanding.count == 0 {
                self.outstanding.remove(&address);
            }
        }
    }

    pub fn answered_lately(&self, now: Duration, address: &SocketAddr) -> bool {
        let last_answer = self.last_answers.get(address);
        last_answer.is_some_and(|at| now.saturating_sub(*at) <= ANSWER_VALIDITY)
    }

    pub fn is_suspect(&self, now: Duration, address: &SocketAddr) -> bool {
        self.outstanding.get(address).is_some_and(|outstanding| {
            outstanding.count > 0
                && now.saturating_sub(outstanding.unanswered_since) >= SUSPICION_TIMEOUT
        })
    }
}
