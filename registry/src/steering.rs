//! The directory: the steering design. For each caller that asks an ordered list of places and
//! how long it holds, from memory alone (design 7.1 to 7.3). Pure.

use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire::Role;
use vanepath_config::selector::{ClientLocation, Selector};

/// The TTL of a receipt before jitter, and the most that any receipt holds.
pub const TTL: std::time::Duration = std::time::Duration::from_millis(2000);
pub const TTL_MOST: std::time::Duration = std::time::Duration::from_millis(5000);
pub const BUCKETS: u64 = 10_000;

/// Who asks: where, and which sticky bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Client {
    pub zone: String,
    pub region: String,
    pub bucket: u64,
}

/// What a caller echoes in the reload address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SteeringState {
    pub revision: u64,
    pub caller: Client,
}

impl SteeringState {
    pub fn show(&self) -> String {
        let body = format!(
            "{}.{}.{}.{}",
            self.revision, self.caller.bucket, self.caller.zone, self.caller.region
        );
        format!("{body}.{:08x}", check_of(&body))
    }

    /// Anything but what `show` gives is no echo, and its bringer a first-time caller.
    pub fn parse(text: &str) -> Option<SteeringState> {
        let (body, check) = text.rsplit_once('.')?;
        if check != format!("{:08x}", check_of(body)) {
            return None;
        }
        let parts: Vec<&str> = body.split('.').collect();
        let [revision, bucket, zone, region] = parts[..] else {
            return None;
        };
        let bucket = bucket.parse().ok().filter(|bucket| *bucket < BUCKETS)?;
        if !vanepath_config::json_reader::is_name(zone)
            || !vanepath_config::json_reader::is_name(region)
        {
            return None;
        }
        let (zone, region) = (zone.to_string(), region.to_string());
        let caller = Client { zone, region, bucket };
        Some(SteeringState { revision: revision.parse().ok()?, caller })
    }
}

fn check_of(body: &str) -> u32 {
    vanepath_config::stable_hash(&["vanepath echo", body]) as u32
}

/// A place that callers can be sent to: a zone with proxies that take requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Pathway {
    pub zone: String,
    pub region: String,
    pub addresses: Vec<std::net::SocketAddr>,
    /// None of its proxies is heard of: they are dead, or this directory is cut off from them.
    pub is_lost: bool,
    labels: std::collections::BTreeMap<String, String>,
}

impl vanepath_config::selector::Labelled for Pathway {
    fn label(&self, key: &str) -> Option<&str> {
        match key {
            "zone" => Some(&self.zone),
            "region" => Some(&self.region),
            key => self.labels.get(key).map(String::as_str),
        }
    }
}

/// Zones with proxies that are ready and not leaving; emptied ones get nobody. A zone none of whose
/// proxies is heard of any more is still a place, the last to be tried: a directory cannot tell
/// their death from its own isolation.
pub fn pathways(view: &ClusterView) -> Vec<Pathway> {
    let mut places: Vec<Pathway> = Vec::new();
    let live = view.live.iter().map(|one| (one, false));
    let lost = view.unreachable.iter().map(|one| (one, true));
    for ((card, report), is_lost) in live.chain(lost) {
        let is_fit = card.role == Role::Proxy
            && report.ready
            && !report.draining
            && !view.committed.drained_zones.contains(&card.zone);
        if !is_fit {
            continue;
        }
        match places.iter_mut().find(|place| place.zone == card.zone) {
            Some(place) if place.is_lost == is_lost => place.addresses.push(card.address),
            // Others of that zone are live.
            Some(_) => {}
            None => {
                let told = view.config.zones.iter().find(|place| place.name == card.zone);
                places.push(Pathway {
                    zone: card.zone.clone(),
                    region: card.region.clone(),
                    addresses: vec![card.address],
                    is_lost,
                    labels: told.map(|place| place.labels.clone()).unwrap_or_default(),
                });
            }
        }
    }
    places.sort_by(|left, right| left.zone.cmp(&right.zone));
    for place in &mut places {
        place.addresses.sort();
    }
    places
}

/// An order with the reason why each place stands where it does.
#[derive(Clone, Debug, PartialEq)]
pub struct RankedPathway {
    pub place: usize,
    pub why: String,
}

/// The order of places for one rule and one caller. Within a step of the rule's preferences each
/// place draws by the caller's bucket with its share as weight: so shares hold over all callers,
/// the same caller always draws the same, and a change of shares moves no more than it must.
pub fn rank_pathways(
    view: &ClusterView,
    places: &[Pathway],
    rule: usize,
    caller: &Client,
) -> Vec<RankedPathway> {
    let facts = &view.config.rules[rule];
    let viewpoint = ClientLocation { zone: &caller.zone, region: &caller.region };
    let near = |text: &str| Selector::parse(text).expect("a fixed selector");
    let mut tiers: Vec<(String, Vec<(Selector, f64)>)> = facts
        .prefer
        .iter()
        .enumerate()
        .map(|(index, tier)| {
            let listed = tier.iter().map(|one| (one.zones.clone(), one.share)).collect();
            (format!("preference {}", index + 1), listed)
        })
        .collect();
    if tiers.is_empty() {
        tiers.push(("own zone".to_string(), vec![(near("zone = @zone"), 100.0)]));
    }
    // What the setup does not name comes after it, the nearest first: better than nothing.
    tiers.push(("own region".to_string(), vec![(near("region = @region"), 100.0)]));
    tiers.push(("elsewhere".to_string(), vec![(Selector::all(), 100.0)]));

    let mut steps: Vec<RankedPathway> = Vec::new();
    let mut listed = vec![false; places.len()];
    for (name, tier) in tiers {
        let mut drawn: Vec<(f64, usize, String)> = Vec::new();
        for (selector, share) in &tier {
            let able: Vec<usize> = (0..places.len())
                .filter(|index| {
                    !listed[*index]
                        && facts.allows_region(&places[*index].region)
                        && selector.matches(&places[*index], viewpoint)
                })
                .collect();
            let proxies: usize = able.iter().map(|index| places[*index].addresses.len()).sum();
            for index in able {
                listed[index] = true;
                let part = places[index].addresses.len() as f64 / proxies.max(1) as f64;
                let weight = share / 100.0 * part;
                let draw = draw(caller.bucket, &places[index].zone);
                // Without a share it stands behind all that have one.
                let score = if weight > 0.0 { -draw.ln() / weight } else { f64::MAX };
                drawn.push((score, index, format!("{name}, share {:.0} %", weight * 100.0)));
            }
        }
        drawn.sort_by(|left, right| {
            left.0.total_cmp(&right.0).then(places[left.1].zone.cmp(&places[right.1].zone))
        });
        steps.extend(drawn.into_iter().map(|(_, place, why)| RankedPathway { place, why }));
    }
    // What is not heard of comes last, in the same order among itself.
    steps.sort_by_key(|step| places[step.place].is_lost);
    for step in &mut steps {
        if places[step.place].is_lost {
            step.why += "; not heard of, so only if nothing else replies";
        }
    }
    move_away(view, places, rule, caller, &mut steps);
    steps
}

/// The part of an overloaded place's callers that the plan asks elsewhere goes first to the place that
/// each draws among those with room (design 7.4). Both draws are the caller's own, so that as few as
/// can be change their place when the shares change.
fn move_away(
    view: &ClusterView,
    places: &[Pathway],
    rule: usize,
    caller: &Client,
    steps: &mut [RankedPathway],
) {
    let Some(first) = steps.first() else { return };
    let zone = &places[first.place].zone;
    let service = &view.config.services[view.config.rules[rule].service].name;
    let Some(to) = view.plan.shifted.get(service).and_then(|moved| moved.get(zone)) else { return };
    let moved: u32 = to.values().sum();
    let turn = vanepath_config::stable_hash(&["move", zone, &caller.bucket.to_string()]) % 1000;
    if turn >= u64::from(moved) {
        return;
    }
    let mut best: Option<(f64, usize)> = None;
    for (index, step) in steps.iter().enumerate().skip(1) {
        let place = &places[step.place];
        let Some(share) = to.get(&place.zone).filter(|share| **share > 0 && !place.is_lost) else {
            continue;
        };
        let score = -draw(caller.bucket, &place.zone).ln() / f64::from(*share);
        if best.is_none_or(|(lowest, _)| score < lowest) {
            best = Some((score, index));
        }
    }
    let Some((_, index)) = best else { return };
    let why = format!("; {zone} is asked for too much, {:.1} % move", f64::from(moved) / 10.0);
    steps[..=index].rotate_right(1);
    steps[0].why += &why;
}

/// A number in (0, 1) that is this bucket's own for this zone.
fn draw(bucket: u64, zone: &str) -> f64 {
    let hash = vanepath_config::stable_hash(&["draw", zone, &bucket.to_string()]);
    ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
}

/// The receipt, with the source's field names where they fit. `random` jitters the TTL.
pub fn steering_response(
    view: &ClusterView,
    caller: &Client,
    random: u64,
    shows: bool,
) -> jzon::JsonValue {
    let places = pathways(view);
    let jitter = (random % 1001) as f64 / 1000.0;
    let ttl_s = (TTL.as_secs_f64() * (0.75 + 0.5 * jitter)).min(TTL_MOST.as_secs_f64());
    let echo = SteeringState { revision: view.committed.revision, caller: caller.clone() };
    let zones = |steps: &[RankedPathway]| -> jzon::JsonValue {
        let zones = steps.iter().map(|step| places[step.place].zone.as_str().into());
        jzon::JsonValue::Array(zones.collect())
    };
    let mut rules = jzon::JsonValue::new_array();
    let mut general: Option<Vec<RankedPathway>> = None;
    for (index, rule) in view.config.rules.iter().enumerate() {
        let steps = rank_pathways(view, &places, index, caller);
        let kind = view.config.classes[rule.class].idempotency;
        let mut entry = jzon::object! {
            "NAME": rule.name.as_str(),
            "METHODS": rule.methods.iter().map(|one| one.as_str().into()).collect::<Vec<jzon::JsonValue>>(),
            "PATH-PREFIX": rule.path_prefix.as_str(),
            "ONCE": kind == vanepath_config::model::Idempotency::NonIdempotent,
            "PATHWAY-PRIORITY": zones(&steps),
        };
        if let Some(host) = &rule.host {
            entry["HOST"] = host.as_str().into();
        }
        if shows {
            let whys: Vec<jzon::JsonValue> = steps
                .iter()
                .map(|step| format!("{}: {}", places[step.place].zone, step.why).into())
                .collect();
            entry["WHY"] = whys.into();
        }
        let _ = rules.push(entry);
        // The general order is that of the last rule, which by custom takes the rest.
        general = Some(steps);
    }
    let pathways: Vec<jzon::JsonValue> = places
        .iter()
        .map(|place| {
            let addresses: Vec<jzon::JsonValue> =
                place.addresses.iter().map(|one| one.to_string().into()).collect();
            jzon::object! {
                "ID": place.zone.as_str(),
                "REGION": place.region.as_str(),
                "ADDRESSES": addresses,
            }
        })
        .collect();
    let directories: Vec<jzon::JsonValue> = view
        .live
        .iter()
        .filter(|(card, report)| card.role == Role::Registry && report.ready && !report.draining)
        .map(|(card, _)| card.address.to_string().into())
        .collect();
    jzon::object! {
        "VERSION": 1,
        "TTL": (ttl_s * 10.0).round() / 10.0,
        "RELOAD-URI": format!("/v1/steer?state={}", echo.show()),
        "PATHWAY-PRIORITY": zones(&general.unwrap_or_default()),
        "PATHWAYS": pathways,
        "RULES": rules,
        "DIRECTORIES": directories,
        "REVISION": view.committed.revision,
        "EPOCH": view.plan.epoch,
    }
}

/// Why a directory sends no order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum SteeringError {
    #[strum(serialize = "this directory is behind what you have")]
    Behind,
    #[strum(serialize = "this directory is cut off, and what you have may be newer")]
    CutOff,
    #[strum(serialize = "this directory knows no setup or no place yet")]
    NotReady,
}

/// What became of one poll.
pub struct SteeringOutcome {
    pub receipt: Result<jzon::JsonValue, SteeringError>,
    pub is_first: bool,
    pub is_forged: bool,
}

/// Answers one poll from memory. `own` is the directory's zone and region, for callers that do
/// not say theirs.
pub fn steer(
    view: &ClusterView,
    is_ready: bool,
    own: (&str, &str),
    query: &str,
    random: u64,
) -> SteeringOutcome {
    let none = |why| SteeringOutcome { receipt: Err(why), is_first: false, is_forged: false };
    if !is_ready || view.config.rules.is_empty() || pathways(view).is_empty() {
        // Without any place to name it says nothing, and callers keep what they have.
        return none(SteeringError::NotReady);
    }
    let get = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    };
    let echo = get("state").and_then(SteeringState::parse);
    let is_forged = get("state").is_some() && echo.is_none();
    let is_first = echo.is_none();
    let caller = match echo {
        // The caller has a newer order: it must not get an older one from here.
        Some(echo) if echo.revision > view.committed.revision => {
            return none(SteeringError::Behind);
        }
        // Cut off from most registries it would hold its callers to what was so before. Another may
        // know more, and if there is none the caller keeps what it has; who has nothing gets this.
        Some(_) if view.is_isolated || view.is_partitioned => return none(SteeringError::CutOff),
        Some(echo) => echo.caller,
        None => {
            let name =
                |key: &str| get(key).filter(|name| vanepath_config::json_reader::is_name(name));
            let zone = name("zone").unwrap_or(own.0);
            // The region of a zone that is known here; what a caller says of others is taken.
            let known = view.live.iter().find(|(card, _)| card.zone == zone);
            let region =
                known.map(|(card, _)| card.region.as_str()).or(name("region")).unwrap_or(own.1);
            let bucket = match get("caller") {
                Some(id) => vanepath_config::stable_hash(&["caller", id]) % BUCKETS,
                None => random % BUCKETS,
            };
            Client { zone: zone.to_string(), region: region.to_string(), bucket }
        }
    };
    let receipt = steering_response(view, &caller, random >> 20, get("why").is_some());
    SteeringOutcome { receipt: Ok(receipt), is_first, is_forged }
}

/// So many addresses stand in a plain answer at the least, where so many are live at all: a client
/// that finds one of them dead has another.
const ADDRESSES_LEAST: usize = 2;
/// And so many at the most.
pub const ADDRESSES_MOST: usize = 64;

/// The plain form of an order (design 7.3): the proxies' addresses of the first places, enough of
/// them that the loss of one leaves others, and for how long (s) that holds.
///
/// # Errors
/// Where this directory knows too little to say; another one may know more.
pub fn addresses(
    view: &ClusterView,
    is_ready: bool,
    own: (&str, &str),
    query: &str,
    random: u64,
) -> Result<jzon::JsonValue, SteeringError> {
    let places = pathways(view);
    if !is_ready || places.iter().all(|place| place.is_lost) {
        return Err(SteeringError::NotReady);
    }
    if view.is_isolated {
        return Err(SteeringError::CutOff);
    }
    let get = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    };
    let zone = get("zone").unwrap_or(own.0);
    let region = get("region").unwrap_or(own.1);
    // The region as one place: its zones' proxies share its clients between them.
    let is_near = |place: &&Pathway| place.region == region;
    let is_far = |place: &&Pathway| place.region != region;
    let live = || places.iter().filter(|place| !place.is_lost);
    let mut found: Vec<std::net::SocketAddr> =
        live().filter(is_near).flat_map(|place| place.addresses.iter().copied()).collect();
    // Whoever has work that is bound to regions takes it to the addresses named here like any other.
    let is_any_bound = view.config.rules.iter().any(|rule| !rule.regions.is_empty());
    let least = if is_any_bound { 1 } else { ADDRESSES_LEAST };
    if found.len() < least {
        // Not enough there: the other regions' in the order of this zone's own draw.
        let mut others: Vec<&Pathway> = live().filter(is_far).collect();
        others.sort_by_key(|place| vanepath_config::stable_hash(&["far", zone, &place.zone]));
        for place in others {
            found.extend(&place.addresses);
            if found.len() >= least {
                break;
            }
        }
    }
    if found.len() > ADDRESSES_MOST {
        // Another part of them for each who asks.
        let turn = random as usize % found.len();
        found.rotate_left(turn);
        found.truncate(ADDRESSES_MOST);
    }
    let addresses: Vec<jzon::JsonValue> =
        found.iter().map(|address| address.to_string().into()).collect();
    Ok(jzon::object! { "addresses": addresses, "ttlS": TTL.as_secs() })
}

#[cfg(test)]
mod tests;
