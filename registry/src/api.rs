//! The operator's and the callers' interface: HTTP with JSON (design 7.5).

use crate::shell::{Counter, Registry};
use crate::steering::Client;
use crate::store_client::{NextAction, StoreRequest};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::header::{self, HeaderValue};
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::{node, wire};
use vanepath_store::protocol::{Change, Outcome, Request};
use vanepath_store::value::Value;

type Receipt = hyper::Response<node::Body>;

const KEY_MOST: usize = 128;

pub async fn answer(
    registry: Arc<Registry>,
    request: hyper::Request<hyper::body::Incoming>,
) -> Receipt {
    let path = request.uri().path().to_string();
    // Every daemon has its own paths under this too.
    let path = path.strip_prefix("/vanepath").unwrap_or(&path).to_string();
    let ready = registry.is_ready.load(std::sync::atomic::Ordering::Relaxed);
    let tally = &registry.tally;
    if let Some(receipt) =
        node::common_pages(&registry.daemon, &path, ready, |all| tally.write_json(all))
    {
        return receipt;
    }
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (request.method().as_str(), &parts[..]) {
        ("GET", ["v1", "steer"]) => steer(&registry, request.uri().query().unwrap_or_default()),
        ("GET", ["v1", "addresses"]) => {
            addresses(&registry, request.uri().query().unwrap_or_default())
        }
        ("GET", ["v1", "status"]) => status(&registry).await,
        ("GET", ["v1", "setup"]) => read_setup(&registry).await,
        ("GET", ["v1", "setup", revision]) => read_history(&registry, revision).await,
        ("PUT", ["v1", "setup"]) => write_setup(&registry, request).await,
        ("GET", ["v1", "zones"]) => read_zones(&registry).await,
        ("PUT", ["v1", "zones", zone, "emptied"]) => {
            let change = Change::DrainZone { zone: zone.to_string() };
            write_zone(&registry, zone, change, request.headers()).await
        }
        ("DELETE", ["v1", "zones", zone, "emptied"]) => {
            let change = Change::RestoreZone { zone: zone.to_string() };
            write_zone(&registry, zone, change, request.headers()).await
        }
        ("GET", ["v1", "submissions", key]) => read_submission(&registry, key).await,
        (
            _,
            ["v1", "steer" | "addresses" | "status" | "setup" | "zones", ..]
            | ["v1", "submissions", _],
        ) => fault(StatusCode::METHOD_NOT_ALLOWED, "not with this method"),
        _ => fault(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn fault(status: StatusCode, message: &str) -> Receipt {
    node::json_response(status, &jzon::object! { "error": message })
}

fn come_back(status: StatusCode, value: &jzon::JsonValue, after_s: u32) -> Receipt {
    let mut receipt = node::json_response(status, value);
    receipt.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(after_s));
    receipt
}

// ---- the directory ---------------------------------------------------------------------------

fn steer(registry: &Registry, query: &str) -> Receipt {
    registry.tally.increment(Counter::SteerPolls);
    let view = registry.daemon.table.load();
    let is_ready =
        registry.is_ready.load(std::sync::atomic::Ordering::Relaxed) && registry.daemon.is_awake();
    let settings = &registry.daemon.settings;
    let own = (settings.zone.as_str(), settings.region.as_str());
    let steered = crate::steering::steer(&view, is_ready, own, query, node::random());
    if steered.is_first {
        registry.tally.increment(Counter::SteerPollsFirst);
    }
    if steered.is_forged {
        registry.tally.increment(Counter::SteerEchoesBad);
    }
    match steered.receipt {
        Ok(receipt) => node::json_response(StatusCode::OK, &receipt),
        Err(why) => steers_nobody(registry, why),
    }
}

/// Why there is no order from here; another directory may have one.
fn steers_nobody(registry: &Registry, why: crate::steering::SteeringError) -> Receipt {
    registry.tally.increment(match why {
        crate::steering::SteeringError::Behind => Counter::SteerRefusedBehind,
        crate::steering::SteeringError::CutOff => Counter::SteerRefusedCutOff,
        crate::steering::SteeringError::NotReady => Counter::SteerRefusedNotReady,
    });
    let error = jzon::object! { "error": why.to_string() };
    come_back(StatusCode::SERVICE_UNAVAILABLE, &error, 1)
}

/// The order of places as plain addresses, for clients that choose among them by themselves.
fn addresses(registry: &Registry, query: &str) -> Receipt {
    registry.tally.increment(Counter::SteerPolls);
    let view = registry.daemon.table.load();
    let settings = &registry.daemon.settings;
    let own = (settings.zone.as_str(), settings.region.as_str());
    let is_ready =
        view.is_fresh && registry.daemon.is_awake() && !registry.daemon.is_shutting_down();
    match crate::steering::addresses(&view, is_ready, own, query, node::random()) {
        Ok(answer) => node::json_response(StatusCode::OK, &answer),
        Err(why) => steers_nobody(registry, why),
    }
}

// ---- the operator's word ---------------------------------------------------------------------

/// Runs a call at the stores to its end.
async fn run(registry: &Registry, question: Request) -> Outcome {
    let now = || registry.daemon.clock.now();
    let mut store_call = StoreRequest::new(question, now());
    loop {
        let stores = crate::store_client::stores(&registry.daemon.table.load());
        match store_call.next(now(), stores) {
            NextAction::Pause(pause) => tokio::time::sleep(pause).await,
            NextAction::End(outcome) => return outcome,
            NextAction::Send(card) => {
                registry.tally.increment(Counter::StoreTries);
                let question = store_call.question(now());
                let request = wire::Request::Store(wire::encode(&question).into());
                let other_zone = card.zone != registry.daemon.settings.zone;
                let links = &registry.daemon.transport;
                let limit = crate::store_client::ATTEMPT_TIMEOUT;
                let tell = match links.call(card.cluster_address, &request, limit, other_zone).await
                {
                    Ok(wire::Reply::Store(bytes)) => wire::decode(&bytes),
                    _ => None,
                };
                if let Some(outcome) = store_call.told(tell) {
                    if let Some(answered) = store_call.answered(now(), &outcome) {
                        tell_stores(registry, &answered);
                    }
                    return outcome;
                }
            }
        }
    }
}

/// Tells all stores something that needs no reply.
fn tell_stores(registry: &Registry, told: &Request) {
    let request = wire::Request::Store(wire::encode(told).into());
    for card in crate::store_client::stores(&registry.daemon.table.load()) {
        let (links, request) = (registry.daemon.transport.clone(), request.clone());
        let other_zone = card.zone != registry.daemon.settings.zone;
        tokio::spawn(async move {
            let limit = crate::store_client::ATTEMPT_TIMEOUT;
            let _ = links.call(card.cluster_address, &request, limit, other_zone).await;
        });
    }
}

async fn read(registry: &Registry, question: Request) -> Result<Outcome, Receipt> {
    registry.tally.increment(Counter::Reads);
    match run(registry, question).await {
        Outcome::NotApplied { reason: why } => {
            let value = jzon::object! { "error": why };
            Err(come_back(StatusCode::SERVICE_UNAVAILABLE, &value, 2))
        }
        outcome => Ok(outcome),
    }
}

/// The same write under the same key until its outcome is known or the time is up.
async fn write(registry: &Registry, key: &Key, change: Change, came: Duration) -> Outcome {
    let waited = registry.daemon.clock.now().saturating_sub(came);
    let unnamed_for = key.is_made.then_some(waited);
    run(registry, Request::Change { key: key.text.clone(), change, keyless_for: unnamed_for }).await
}

/// The key of a write, and whether it was made for it here.
struct Key {
    text: String,
    is_made: bool,
}

/// The operator's key of a submission, or one made for it.
fn key_of(headers: &hyper::HeaderMap) -> Result<Key, Receipt> {
    match headers.get("idempotency-key") {
        None => {
            let text = format!("{:016x}{:016x}", node::random(), node::random());
            Ok(Key { text, is_made: true })
        }
        Some(value) => match value.to_str() {
            Ok(text)
                if (1..=KEY_MOST).contains(&text.len())
                    && text
                        .bytes()
                        .all(|byte| byte.is_ascii_alphanumeric() || b"-_".contains(&byte)) =>
            {
                Ok(Key { text: text.to_string(), is_made: false })
            }
            _ => Err(fault(
                StatusCode::BAD_REQUEST,
                "idempotency-key: 1 to 128 letters, digits, '-' and '_'",
            )),
        },
    }
}

fn told(registry: &Registry, key: &str, outcome: Outcome) -> Receipt {
    let look_up = format!("/v1/submissions/{key}");
    let (status, mut value) = match outcome {
        Outcome::Accepted { revision, config_revision: setup_revision, is_repeat: repeat } => (
            StatusCode::OK,
            jzon::object! {
                "outcome": "accepted",
                "revision": revision,
                "setupRevision": setup_revision,
                "repeat": repeat,
            },
        ),
        Outcome::Conflict { revision, config_revision: setup_revision } => {
            registry.tally.increment(Counter::SetupsConflicting);
            (
                StatusCode::PRECONDITION_FAILED,
                jzon::object! {
                    "outcome": "nothing-done",
                    "why": "the setup in force is of another revision",
                    "revision": revision,
                    "setupRevision": setup_revision,
                },
            )
        }
        Outcome::KeyReused { revision } => (
            StatusCode::CONFLICT,
            jzon::object! {
                "outcome": "nothing-done",
                "why": "this key was used for another submission",
                "revision": revision,
            },
        ),
        Outcome::VersionTaken { version, highest: held } => {
            registry.tally.increment(Counter::SetupsConflicting);
            (
                StatusCode::CONFLICT,
                jzon::object! {
                    "outcome": "nothing-done",
                    "why": "a setup of another content was taken under this version",
                    "version": version,
                    "highestVersion": held,
                },
            )
        }
        Outcome::Unknown => {
            registry.tally.increment(Counter::WritesUnknown);
            (
                StatusCode::GATEWAY_TIMEOUT,
                jzon::object! { "outcome": "unknown", "lookUp": look_up.as_str() },
            )
        }
        Outcome::NotApplied { reason: why } => {
            registry.tally.increment(Counter::WritesNothingDone);
            let value = jzon::object! { "outcome": "nothing-done", "why": why };
            return come_back(StatusCode::SERVICE_UNAVAILABLE, &value, 2);
        }
        Outcome::Value { .. } | Outcome::NoSuchRevision { .. } => {
            return fault(StatusCode::INTERNAL_SERVER_ERROR, "a store replied to another question");
        }
    };
    value["submission"] = key.into();
    node::json_response(status, &value)
}

async fn write_setup(
    registry: &Registry,
    request: hyper::Request<hyper::body::Incoming>,
) -> Receipt {
    let came = registry.daemon.clock.now();
    let key = match key_of(request.headers()) {
        Ok(key) => key,
        Err(receipt) => return receipt,
    };
    let if_revision = match request.headers().get(header::IF_MATCH).map(|value| value.to_str()) {
        None => None,
        Some(Ok(text)) => match text.trim().trim_matches('"').parse::<u64>() {
            Ok(revision) => Some(revision),
            Err(_) => {
                let message = "if-match: one setup revision, as in \"12\"";
                return fault(StatusCode::BAD_REQUEST, message);
            }
        },
        Some(Err(_)) => return fault(StatusCode::BAD_REQUEST, "if-match: not readable"),
    };
    let most = vanepath_config::model::MAX_BYTES;
    let body = http_body_util::Limited::new(request.into_body(), most);
    let bytes = match body.collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            registry.tally.increment(Counter::SetupsRefusedInvalid);
            let path = vanepath_config::ValidationError {
                path: "$".to_string(),
                message: format!("larger than {most} bytes"),
            };
            return refused(StatusCode::PAYLOAD_TOO_LARGE, &[path]);
        }
        Err(_) => return fault(StatusCode::BAD_REQUEST, "the body broke off"),
    };
    let version = match registry.daemon.settings.wire_format.setup(&bytes) {
        Ok(setup) => setup.version,
        Err(faults) => {
            registry.tally.increment(Counter::SetupsRefusedInvalid);
            return refused(StatusCode::UNPROCESSABLE_ENTITY, &faults);
        }
    };
    let change = Change::ReplaceConfig { bytes: bytes.to_vec(), if_revision, version };
    let outcome = write(registry, &key, change, came).await;
    if let Outcome::Accepted { revision, is_repeat: false, .. } = outcome {
        registry.tally.increment(Counter::SetupsAccepted);
        log::info!("setup accepted as revision {revision}");
    }
    told(registry, &key.text, outcome)
}

fn refused(status: StatusCode, faults: &[vanepath_config::ValidationError]) -> Receipt {
    let value = jzon::object! {
        "outcome": "nothing-done",
        "faults": vanepath_config::json_reader::faults_as_json(faults),
    };
    node::json_response(status, &value)
}

/// Whether anything that this registry knows of stands in a zone of that name.
fn is_zone(registry: &Registry, zone: &str) -> bool {
    let view = registry.daemon.table.load_full();
    view.live.iter().any(|(card, _)| card.zone == zone)
        || view.endpoints.servers.iter().any(|server| server.zone == zone)
        || view.config.zones.iter().any(|place| place.name == zone)
        || view.committed.drained_zones.contains(zone)
        || registry.daemon.settings.zone_regions.contains_key(zone)
}

/// It has heard long enough, or is so much alone that waiting longer helps nobody.
fn is_settled(registry: &Registry) -> bool {
    let view = registry.daemon.table.load();
    let own = view.live.first().is_some_and(|(_, report)| report.synced);
    own || view.is_isolated || registry.daemon.clock.now() > SETTLES_WITHIN
}

/// A registry that was started so long ago has heard of all that there is.
const SETTLES_WITHIN: std::time::Duration = std::time::Duration::from_secs(5);

async fn write_zone(
    registry: &Registry,
    zone: &str,
    change: Change,
    headers: &hyper::HeaderMap,
) -> Receipt {
    let came = registry.daemon.clock.now();
    let key = match key_of(headers) {
        Ok(key) => key,
        Err(receipt) => return receipt,
    };
    // Just started it has heard of too little to say that there is no such zone.
    while !is_zone(registry, zone) {
        if is_settled(registry) {
            return fault(StatusCode::NOT_FOUND, "no such zone");
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    registry.tally.increment(Counter::ZoneChanges);
    let outcome = write(registry, &key, change, came).await;
    told(registry, &key.text, outcome)
}

fn setup_receipt(value: &Value) -> Receipt {
    let mut receipt = hyper::Response::new(node::body(value.document.clone()));
    let headers = receipt.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{}\"", value.config_revision)) {
        headers.insert(header::ETAG, tag);
    }
    headers.insert("vanepath-setup-revision", HeaderValue::from(value.config_revision));
    headers.insert("vanepath-revision", HeaderValue::from(value.revision));
    receipt
}

async fn read_setup(registry: &Registry) -> Receipt {
    match read(registry, Request::Read).await {
        Ok(Outcome::Value { value }) if value.config_revision > 0 => setup_receipt(&value),
        Ok(Outcome::Value { .. }) => fault(StatusCode::NOT_FOUND, "no setup was accepted yet"),
        Ok(_) => fault(StatusCode::INTERNAL_SERVER_ERROR, "a store replied to another question"),
        Err(receipt) => receipt,
    }
}

/// The setup as it was in force at a revision, byte for byte.
async fn read_history(registry: &Registry, revision: &str) -> Receipt {
    let Ok(revision) = revision.parse::<u64>() else {
        return fault(StatusCode::BAD_REQUEST, "a revision is a whole number");
    };
    match read(registry, Request::History { revision }).await {
        Ok(Outcome::Value { value }) if value.config_revision > 0 => setup_receipt(&value),
        Ok(Outcome::NoSuchRevision { latest }) => {
            let value = jzon::object! { "error": "no such revision", "latest": latest };
            node::json_response(StatusCode::NOT_FOUND, &value)
        }
        Ok(_) => fault(StatusCode::NOT_FOUND, "no setup was in force at that revision"),
        Err(receipt) => receipt,
    }
}

/// So many orders to empty each zone stand.
fn orders_as_json(
    emptied: &std::collections::BTreeSet<String>,
    further: &std::collections::BTreeMap<String, u32>,
) -> jzon::JsonValue {
    let mut orders = jzon::JsonValue::new_object();
    for zone in emptied {
        let further = further.get(zone).copied().unwrap_or(0);
        orders[zone.as_str()] = further.saturating_add(1).into();
    }
    orders
}

async fn read_zones(registry: &Registry) -> Receipt {
    match read(registry, Request::Read).await {
        Ok(Outcome::Value { value }) => {
            let emptied: Vec<jzon::JsonValue> =
                value.drained_zones.iter().map(|zone| zone.as_str().into()).collect();
            let value = jzon::object! {
                "emptied": emptied,
                "orders": orders_as_json(&value.drained_zones, &value.extra_drain_orders),
                "revision": value.revision,
            };
            node::json_response(StatusCode::OK, &value)
        }
        Ok(_) => fault(StatusCode::INTERNAL_SERVER_ERROR, "a store replied to another question"),
        Err(receipt) => receipt,
    }
}

async fn read_submission(registry: &Registry, key: &str) -> Receipt {
    match read(registry, Request::Read).await {
        Ok(Outcome::Value { value }) => match value.known_write(key) {
            Some(known) => told(
                registry,
                key,
                Outcome::Accepted {
                    revision: known.revision,
                    config_revision: known.config_revision,
                    is_repeat: true,
                },
            ),
            None => {
                let value = jzon::object! {
                    "outcome": "not-found",
                    "why": "no write under this key is among the last ones in force",
                    "revision": value.revision,
                };
                node::json_response(StatusCode::NOT_FOUND, &value)
            }
        },
        Ok(_) => fault(StatusCode::INTERNAL_SERVER_ERROR, "a store replied to another question"),
        Err(receipt) => receipt,
    }
}

// ---- status ----------------------------------------------------------------------------------

/// Heard by the registries that need it for the plan; another one asks for it first, for as long as it
/// takes.
const DETAILS_LIMIT: std::time::Duration = std::time::Duration::from_millis(2500);

/// What is known, with what proxies see of servers.
async fn with_details(registry: &Registry) -> std::sync::Arc<node::ClusterView> {
    let daemon = &registry.daemon;
    let _ = daemon
        .gossip
        .send(node::Deliver(vanepath_cluster::gossip::Event::ObservationsWanted))
        .await;
    let until = daemon.clock.now() + DETAILS_LIMIT;
    loop {
        let view = daemon.table.load_full();
        if view.has_observations || daemon.clock.now() >= until {
            return view;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}

async fn status(registry: &Registry) -> Receipt {
    let daemon = &registry.daemon;
    let view = with_details(registry).await;
    let sources = daemon.gossip.send(node::ListPeers).await.unwrap_or_default();
    let daemons: Vec<jzon::JsonValue> = view
        .live
        .iter()
        .map(|(card, report)| {
            // What it ever told as in force there, in any of its lives (design 5.8).
            let is_own = card.name == daemon.info.name;
            let own = is_own.then(|| view.active_revision());
            let floor = own.or(view.highest_active_revisions.get(&card.name).copied()).unwrap_or(0);
            jzon::object! {
                "floor": floor,
                "behind": report.revision < floor,
                "name": card.name.as_str(),
                "role": card.role.to_string(),
                "region": card.region.as_str(),
                "zone": card.zone.as_str(),
                "address": card.address.to_string(),
                "ready": report.ready,
                "leaving": report.draining,
                "revision": report.revision,
                "seat": report.disk.and_then(|disk| disk.slot),
            }
        })
        .collect();
    let lost: Vec<jzon::JsonValue> = sources
        .iter()
        .filter(|source| !view.live.iter().any(|(card, _)| card.name == source.info.name))
        .map(|source| source.info.name.as_str().into())
        .collect();
    let caller = Client {
        zone: daemon.settings.zone.clone(),
        region: daemon.settings.region.clone(),
        bucket: 0,
    };
    let places = crate::steering::pathways(&view);
    let rules: Vec<jzon::JsonValue> = (0..view.config.rules.len())
        .map(|rule| {
            let steps = crate::steering::rank_pathways(&view, &places, rule, &caller);
            let order: Vec<jzon::JsonValue> = steps
                .iter()
                .map(|step| {
                    jzon::object! {
                        "place": places[step.place].zone.as_str(),
                        "why": step.why.as_str(),
                    }
                })
                .collect();
            jzon::object! { "rule": view.config.rules[rule].name.as_str(), "order": order }
        })
        .collect();
    let servers: Vec<jzon::JsonValue> = view
        .endpoints
        .servers
        .iter()
        .map(|server| server_status(&view, &sources, server))
        .collect();
    let emptied: Vec<jzon::JsonValue> =
        view.committed.drained_zones.iter().map(|zone| zone.as_str().into()).collect();
    let in_force = view
        .live
        .iter()
        .filter(|(card, report)| {
            card.role != wire::Role::Proxy || report.revision >= view.committed.revision
        })
        .count();
    let is_behind = |card: &wire::NodeInfo, now: u64| {
        view.highest_active_revisions.get(&card.name).is_some_and(|one| now < *one)
    };
    let behind: Vec<jzon::JsonValue> = view
        .live
        .iter()
        .filter(|(card, report)| is_behind(card, report.revision))
        .map(|(card, _)| card.name.as_str().into())
        .collect();
    let platform = registry.platform.lock().expect("no panic under this lock").to_string();
    let value = jzon::object! {
        "name": daemon.settings.name.as_str(),
        "revision": view.committed.revision,
        "setupRevision": view.committed.config_revision,
        "inForceEverywhere": in_force == view.live.len(),
        "behindFloor": behind,
        "floor": view.read_index_json(),
        "emptied": emptied,
        "orders": orders_as_json(&view.committed.drained_zones, &view.committed.extra_drain_orders),
        "epoch": view.plan.epoch,
        "holder": view.plan.leader.as_str(),
        "platform": jzon::object! { "revision": view.endpoints.revision, "state": platform },
        "daemons": daemons,
        "lost": lost,
        "ordersFromHere": rules,
        "servers": servers,
    };
    node::json_response(StatusCode::OK, &value)
}

/// A server with the reason why it is or isn't given work, as all proxies together see it.
fn server_status(
    view: &node::ClusterView,
    sources: &[vanepath_cluster::gossip::Peer],
    server: &vanepath_config::endpoint_list::Server,
) -> jzon::JsonValue {
    let viewpoint = vanepath_config::selector::ClientLocation::default();
    let services: Vec<&str> = view
        .config
        .services
        .iter()
        .filter(|service| service.selector.matches(server, viewpoint))
        .map(|service| service.name.as_str())
        .collect();
    let mut phases: std::collections::BTreeMap<&str, u32> = Default::default();
    let mut demand_milli = 0;
    let is_live = |source: &&vanepath_cluster::gossip::Peer| {
        view.live.iter().any(|(card, _)| card.name == source.info.name)
    };
    for source in sources.iter().filter(is_live) {
        for sight in source.observations.servers.iter().filter(|sight| sight.server == server.id) {
            *phases.entry(sight.phase.into()).or_default() += 1;
            demand_milli = demand_milli.max(sight.load_milli);
        }
    }
    let why = if server.draining {
        "no work: the platform says that it is leaving".to_string()
    } else if view.committed.drained_zones.contains(&server.zone) {
        "no work: its zone is emptied".to_string()
    } else if services.is_empty() {
        "no work: no service selects it".to_string()
    } else if phases.is_empty() {
        "not yet heard of by any proxy".to_string()
    } else {
        let seen: Vec<String> =
            phases.iter().map(|(phase, count)| format!("{phase} for {count} proxies")).collect();
        seen.join(", ")
    };
    // Live: whoever is in touch with it finds it well.
    let is_live = ["live", "ramping", "cold"].iter().any(|phase| phases.contains_key(phase));
    jzon::object! {
        "id": server.id.as_str(),
        "address": server.address.to_string(),
        "region": server.region.as_str(),
        "zone": server.zone.as_str(),
        "labels": vanepath_config::endpoint_list::labels_as_json(&server.labels),
        "leaving": server.draining,
        "live": is_live,
        "services": services,
        "demand": f64::from(demand_milli) / 1000.0,
        "why": why,
    }
}
