//! The steering routine as a pure state machine: polls on the side, drops penalised addresses,
//! takes the first place that has one left, keeps the last receipt when no directory replies.

use std::net::SocketAddr;
use std::time::Duration;
use vanepath_config::ExecutionStatus;

pub const TTL_MOST: Duration = Duration::from_secs(5);
/// After a failed poll the next directory is asked so soon.
pub const POLL_AGAIN: Duration = Duration::from_millis(200);
/// An address that owes a reply for so long, and gave none to anybody meanwhile, is doubted: what
/// comes next goes elsewhere, what it has is left with it.
pub const DOUBT: Duration = Duration::from_millis(1000);
/// An address that failed is left alone for so long.
pub const PENALTY: Duration = Duration::from_secs(3);

#[derive(Clone, Debug, PartialEq)]
pub struct RuleOrder {
    pub name: String,
    pub methods: Vec<String>,
    pub host: Option<String>,
    pub path_prefix: String,
    /// Runs at most once: only a receipt that says not-run may be followed by another go.
    pub once: bool,
    pub places: Vec<String>,
}

impl RuleOrder {
    fn matches(&self, method: &str, host: &str, path: &str) -> bool {
        (self.methods.is_empty() || self.methods.iter().any(|one| one == method))
            && self.host.as_deref().is_none_or(|own| own.eq_ignore_ascii_case(host))
            && vanepath_config::model::under_prefix(path, &self.path_prefix)
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct SteeringResponse {
    pub ttl: Duration,
    pub reload: String,
    pub revision: u64,
    pub priority: Vec<String>,
    pub places: Vec<(String, Vec<SocketAddr>)>,
    pub rules: Vec<RuleOrder>,
    /// Directories that can be asked, where the receipt names them.
    pub directories: Vec<SocketAddr>,
}

/// Reads a directory's receipt; anything that does not fit makes it no receipt.
pub fn parse(text: &str) -> Option<SteeringResponse> {
    let value = jzon::parse(text).ok()?;
    let object = value.as_object()?;
    let names = |value: Option<&jzon::JsonValue>| -> Option<Vec<String>> {
        value?.as_array()?.iter().map(|one| Some(one.as_str()?.to_string())).collect()
    };
    let ttl_s = object.get("TTL")?.as_f64().filter(|ttl| ttl.is_finite() && *ttl >= 0.0)?;
    let mut receipt = SteeringResponse {
        ttl: Duration::from_secs_f64(ttl_s.min(TTL_MOST.as_secs_f64())),
        reload: object.get("RELOAD-URI")?.as_str()?.to_string(),
        revision: object.get("REVISION")?.as_u64()?,
        priority: names(object.get("PATHWAY-PRIORITY"))?,
        ..SteeringResponse::default()
    };
    for directory in names(object.get("DIRECTORIES")).unwrap_or_default() {
        receipt.directories.push(directory.parse().ok()?);
    }
    for place in object.get("PATHWAYS")?.as_array()? {
        let addresses = names(place.as_object()?.get("ADDRESSES"))?;
        let addresses: Option<Vec<SocketAddr>> =
            addresses.iter().map(|text| text.parse().ok()).collect();
        receipt.places.push((place.as_object()?.get("ID")?.as_str()?.to_string(), addresses?));
    }
    for rule in object.get("RULES")?.as_array()? {
        let rule = rule.as_object()?;
        receipt.rules.push(RuleOrder {
            name: rule.get("NAME")?.as_str()?.to_string(),
            methods: names(rule.get("METHODS"))?,
            host: rule.get("HOST").and_then(|host| host.as_str()).map(str::to_string),
            path_prefix: rule.get("PATH-PREFIX")?.as_str()?.to_string(),
            once: rule.get("ONCE")?.as_bool()?,
            places: names(rule.get("PATHWAY-PRIORITY"))?,
        });
    }
    Some(receipt)
}

pub struct Steering {
    directories: Vec<SocketAddr>,
    first_directories: Vec<SocketAddr>,
    turn: usize,
    first: String,
    receipt: Option<SteeringResponse>,
    poll_at: Duration,
    polling: bool,
    penalties: std::collections::HashMap<SocketAddr, Duration>,
    /// Requests out at each address, and since when it owes a sign.
    owing: std::collections::HashMap<SocketAddr, (u32, Duration)>,
    /// When something last came from each address.
    signs: std::collections::HashMap<SocketAddr, Duration>,
    /// Further tries of what a proxy had in hand, that may be made now, and when that was reckoned.
    tries: (f64, Duration),
    spread: u64,
    pub polls: u64,
    pub polls_failed: u64,
    pub switches: u64,
    /// The place in use, by rule; the general order goes under no name.
    current: std::collections::HashMap<String, String>,
}

/// A sign from an address speaks for the connections to it for so long.
const SIGN_HOLDS: Duration = Duration::from_millis(300);

/// Further tries after a proxy replied that it could not serve: a part of the requests, which with the part
/// that proxies go further by (design 8.5) makes a fifth, one in ten seconds, and a few in reserve. More
/// would pile up where there is too much already.
const TRIES_PART: f64 = 0.05;
const TRIES_A_SECOND: f64 = 0.1;
const TRIES_KEPT: f64 = 2.0;

impl Steering {
    /// `first` is the path and query of the first poll.
    pub fn new(directories: Vec<SocketAddr>, first: String, spread: u64) -> Steering {
        Steering {
            turn: spread as usize,
            first_directories: directories.clone(),
            directories,
            first,
            receipt: None,
            poll_at: Duration::ZERO,
            polling: false,
            penalties: Default::default(),
            owing: Default::default(),
            signs: Default::default(),
            tries: (TRIES_KEPT, Duration::ZERO),
            spread,
            polls: 0,
            polls_failed: 0,
            switches: 0,
            current: Default::default(),
        }
    }

    pub fn receipt(&self) -> Option<&SteeringResponse> {
        self.receipt.as_ref()
    }

    pub fn poll_at(&self) -> Duration {
        self.poll_at
    }

    /// A poll that is due: which directory, and what to ask it.
    pub fn start_poll(&mut self, now: Duration) -> Option<(SocketAddr, String)> {
        if self.polling || now < self.poll_at || self.directories.is_empty() {
            return None;
        }
        self.polling = true;
        self.polls += 1;
        let uri = self.receipt.as_ref().map_or(&self.first, |receipt| &receipt.reload);
        Some((self.directories[self.turn % self.directories.len()], uri.clone()))
    }

    pub fn polled(&mut self, now: Duration, receipt: Option<SteeringResponse>) {
        self.polling = false;
        let is_older = |receipt: &SteeringResponse| {
            self.receipt.as_ref().is_some_and(|last| receipt.revision < last.revision)
        };
        match receipt {
            Some(receipt) if !is_older(&receipt) => {
                self.poll_at = now + receipt.ttl;
                // Core machines come and go at new addresses: those that the caller was started
                // with are kept, after the ones that are there now.
                let asked = self.directories[self.turn % self.directories.len()];
                let mut known = receipt.directories.clone();
                known.extend(self.first_directories.iter().copied());
                let mut seen = std::collections::HashSet::new();
                known.retain(|address| seen.insert(*address));
                self.turn = known.iter().position(|one| *one == asked).unwrap_or(0);
                self.directories = known;
                self.receipt = Some(receipt);
            }
            _ => {
                self.polls_failed += 1;
                self.turn = self.turn.wrapping_add(1);
                self.poll_at = now + POLL_AGAIN;
            }
        }
    }

    /// After a network error: the address is dropped from choice for a while, and the directory
    /// is asked anew at once, for it may know more.
    pub fn penalise(&mut self, now: Duration, address: SocketAddr) {
        self.penalties.insert(address, now + PENALTY);
        self.poll_at = self.poll_at.min(now + POLL_AGAIN);
    }

    pub fn sent(&mut self, now: Duration, address: SocketAddr) {
        let (out, since) = self.owing.entry(address).or_insert((0, now));
        if *out == 0 {
            *since = now;
        }
        *out += 1;
    }

    /// A request at that address is over. `is_sign`: because something came from there.
    pub fn heard(&mut self, now: Duration, address: SocketAddr, is_sign: bool) {
        if is_sign {
            self.signs.insert(address, now);
        } else {
            self.signs.remove(&address);
        }
        if let Some((out, since)) = self.owing.get_mut(&address) {
            *out = out.saturating_sub(1);
            if is_sign {
                *since = now;
            }
            if *out == 0 {
                self.owing.remove(&address);
            }
        }
    }

    /// Whether the receipt in force still names this address: a request that tries long goes by the
    /// order that it began with, and a zone may have been emptied since.
    pub fn is_listed(&self, address: &SocketAddr) -> bool {
        let places = self.receipt.as_ref().map(|receipt| &receipt.places);
        places.is_some_and(|all| all.iter().any(|(_, addresses)| addresses.contains(address)))
    }

    /// A proxy said that this request is out of its bounds (421), and who may carry it: those come next,
    /// and whoever else is in the order would say the same. The receipt that led there is an old one.
    /// `order` holds the addresses tried so far, `tried` of them, and then those to come.
    pub fn misplaced(
        &mut self,
        now: Duration,
        order: &mut Vec<SocketAddr>,
        tried: usize,
        named: &[SocketAddr],
    ) {
        self.poll_at = self.poll_at.min(now);
        let tried = tried.min(order.len());
        let is_new =
            |address: &&SocketAddr| self.is_listed(address) && !order[..tried].contains(address);
        let mut next: Vec<SocketAddr> = named.iter().filter(is_new).copied().collect();
        if !next.is_empty() {
            let start = self.spread as usize % next.len();
            next.rotate_left(start);
            order.truncate(tried);
            order.extend(next);
        }
    }

    /// Whether a request goes on to the next address after this answer. What no other place would answer
    /// otherwise is passed on as it is and takes no try; who is only sent elsewhere (421) takes none either.
    pub fn goes_on(&mut self, now: Duration, status: u16, verdict: ExecutionStatus) -> bool {
        let may_help = verdict != ExecutionStatus::Ran && [421, 502, 503, 504].contains(&status);
        may_help && (status == 421 || self.take_try(now))
    }

    /// Whether a lookup may leave an address that it doubts, after it knocked there with a new connection
    /// (`is_there`: somebody opened). One that is gone is left at once. One that is there may only be
    /// slow, and leaving it has the same work done twice: that takes a further try.
    pub fn may_leave(&mut self, now: Duration, address: &SocketAddr, is_there: bool) -> bool {
        self.is_doubted(now, address) && (!is_there || self.take_try(now))
    }

    /// Takes a further try, if one is left.
    fn take_try(&mut self, now: Duration) -> bool {
        let (left, at) = self.tries;
        let grown = left + TRIES_A_SECOND * now.saturating_sub(at).as_secs_f64();
        let may = grown >= 1.0;
        self.tries = (grown.min(TRIES_KEPT) - if may { 1.0 } else { 0.0 }, now);
        may
    }

    /// Whether a request may go over a connection that is open already. A machine without power
    /// and a cut say nothing of it to the other side, and what is written to them is in doubt; so a
    /// filing goes over one that gave a sign lately, or over a new one, which shows that somebody
    /// is there.
    pub fn may_use_open(&self, now: Duration, address: &SocketAddr, is_once: bool) -> bool {
        let sign = self.signs.get(address);
        !is_once || sign.is_some_and(|at| now.saturating_sub(*at) <= SIGN_HOLDS)
    }

    /// It owes a reply and has given no sign at all for a second. One that is slow and yet replies to
    /// others is waited for: leaving it would have the same work done twice.
    pub fn is_doubted(&self, now: Duration, address: &SocketAddr) -> bool {
        self.owing
            .get(address)
            .is_some_and(|(out, since)| *out > 0 && now.saturating_sub(*since) >= DOUBT)
    }

    pub fn is_once(&self, method: &str, host: &str, path: &str) -> bool {
        self.rule(method, host, path).is_none_or(|rule| rule.once)
    }

    fn rule(&self, method: &str, host: &str, path: &str) -> Option<&RuleOrder> {
        self.receipt.as_ref()?.rules.iter().find(|rule| rule.matches(method, host, path))
    }

    /// Addresses to try, in order: the places of the rule one after the other, in each the
    /// caller's own turn first; those under a penalty last, for all may be under one.
    pub fn order(
        &mut self,
        now: Duration,
        method: &str,
        host: &str,
        path: &str,
    ) -> Vec<SocketAddr> {
        self.tries.0 = (self.tries.0 + TRIES_PART).min(TRIES_KEPT);
        self.penalties.retain(|_, until| *until > now);
        let Some(receipt) = &self.receipt else {
            return Vec::new();
        };
        let rule = self.rule(method, host, path);
        let places = rule.map_or(&receipt.priority, |rule| &rule.places);
        let name = rule.map_or(String::new(), |rule| rule.name.clone());
        let mut good = Vec::new();
        let mut penalised = Vec::new();
        let mut chosen = None;
        for listed in places {
            let Some((_, addresses)) = receipt.places.iter().find(|(place, _)| place == listed)
            else {
                continue;
            };
            let start = self.spread as usize;
            for index in 0..addresses.len() {
                let address = addresses[start.wrapping_add(index) % addresses.len()];
                if self.penalties.contains_key(&address) || self.is_doubted(now, &address) {
                    penalised.push(address);
                } else {
                    chosen = chosen.or(Some(listed.clone()));
                    good.push(address);
                }
            }
        }
        if let Some(chosen) = chosen {
            let before = self.current.insert(name, chosen.clone());
            self.switches += u64::from(before.is_some_and(|before| before != chosen));
        }
        good.extend(penalised);
        good
    }
}

#[cfg(test)]
mod tests;
