//! The operator of a soak test. It sends configurations and drains and restores zones, one order after the
//! other, and retries each until it is acknowledged. It also reads the active configuration at intervals.

use super::Focus;
use super::api_keys::tenants;
use super::record::{AcknowledgedConfig, DrainedZone, RevisionReading};
use crate::http::{Response, call};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::JoinSet;

/// How long an order is retried.
const ORDER_TIMEOUT: Duration = Duration::from_secs(20);
/// Time-out of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time-out of one request that drains or restores a zone; the order is sent again then, elsewhere.
const ZONE_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay between two attempts of an order.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval between two reads of the active configuration.
const READ_INTERVAL: Duration = Duration::from_millis(250);
/// Version of the configuration that a fleet starts with.
pub const FIRST_VERSION: u64 = 1;

/// A change that the operator requests from the registries.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Send the next version of the configuration.
    Configure,
    /// Drain a zone.
    DrainZone(String),
    /// End the draining of a zone.
    RestoreZone(String),
}

impl Order {
    /// The zone that the order is for.
    fn zone(&self) -> Option<String> {
        match self {
            Order::Configure => None,
            Order::DrainZone(zone) | Order::RestoreZone(zone) => Some(zone.clone()),
        }
    }
}

/// The changes that the operator made and the configurations that it read.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Configurations that were acknowledged.
    pub acknowledged: Vec<AcknowledgedConfig>,
    /// Zones that were drained, with the periods.
    pub drained_zones: Vec<DrainedZone>,
    /// Zones that were still drained after an order to restore them was acknowledged.
    pub zones_left_drained: Vec<String>,
    /// Revisions of the configurations that registries returned.
    pub config_reads: Vec<RevisionReading>,
    /// The highest revision in any acknowledgement.
    pub revision: u64,
    /// Number of orders that were acknowledged.
    pub changes: usize,
    /// Version of the configuration that was sent last.
    version: u64,
}

/// A daemon's name and the address of its HTTP interface.
#[derive(Clone, Debug)]
pub struct NamedAddress {
    /// The daemon's name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
}

/// How an operator deals with calls for zones.
#[derive(Clone, Copy, Debug)]
pub struct Habits {
    /// One in so many orders that drain a zone has its first answer lost.
    lost_drain_interval: usize,
    /// One in so many orders that restore a zone has its first answer lost.
    lost_restore_interval: usize,
    /// Added to the number of an order, so that other orders have lost answers with another seed.
    first_number: usize,
    /// Whether the connection of a call that is not answered in time is left open.
    leaves_silent_connections_open: bool,
}

impl Habits {
    /// The habits of a seed's operator.
    pub fn of_seed(seed: u64, focus: Focus) -> Habits {
        let (lost_drain_interval, lost_restore_interval, first_number) = match focus {
            Focus::Mixed => (1, 4, 0),
            Focus::Evacuations => (6, 9, seed as usize),
        };
        let leaves_silent_connections_open = seed % 4 != 3;
        Habits {
            lost_drain_interval,
            lost_restore_interval,
            first_number,
            leaves_silent_connections_open,
        }
    }
}

/// The operator of one fleet.
pub struct Operator {
    /// Start of the soak test.
    start: Instant,
    registries: Vec<NamedAddress>,
    /// The configuration document without a version.
    config: String,
    outcome: Arc<Mutex<Outcome>>,
    /// The newest version that was acknowledged, for the clients.
    newest_version: Arc<AtomicU64>,
    habits: Habits,
}

impl Operator {
    /// Creates the operator of a fleet whose active configuration is the first version of `config`.
    pub fn new(
        start: Instant,
        registries: Vec<NamedAddress>,
        config: String,
        outcome: Arc<Mutex<Outcome>>,
        newest_version: Arc<AtomicU64>,
        habits: Habits,
    ) -> Operator {
        outcome.lock().expect("no panic under this lock").version = FIRST_VERSION;
        Operator { start, registries, config, outcome, newest_version, habits }
    }

    /// Carries out orders until the sender of the channel is dropped: those for one zone, and the configurations, one
    /// after the other, those for several zones at the same time.
    pub async fn run(self: Arc<Self>, mut orders: UnboundedReceiver<Order>) {
        let mut number = 0;
        let mut queues: HashMap<Option<String>, UnboundedSender<(Order, usize)>> = HashMap::new();
        let mut operators = JoinSet::new();
        while let Some(order) = orders.recv().await {
            number += 1;
            let queue = queues.entry(order.zone()).or_insert_with(|| {
                let (sender, receiver) = unbounded_channel();
                operators.spawn(self.clone().carry_out_all(receiver));
                sender
            });
            let _ = queue.send((order, number));
        }
        drop(queues);
        while operators.join_next().await.is_some() {}
    }

    async fn carry_out_all(self: Arc<Self>, mut orders: UnboundedReceiver<(Order, usize)>) {
        while let Some((order, number)) = orders.recv().await {
            self.carry_out(order, number).await;
        }
    }

    fn with_outcome<R>(&self, action: impl FnOnce(&mut Outcome) -> R) -> R {
        action(&mut self.outcome.lock().expect("no panic under this lock"))
    }

    async fn carry_out(&self, order: Order, number: usize) {
        let (method, path, body) = self.request(&order);
        let start = Instant::now();
        if let Order::RestoreZone(zone) = &order {
            self.end_drain(zone);
        }
        // All attempts to configure carry the same idempotency key, so that the order is applied only once.
        // Orders for zones have no key, as on the users' platform.
        let key = format!("soak-{number}");
        let is_configuration = order == Order::Configure;
        let request_timeout = if is_configuration { REQUEST_TIMEOUT } else { ZONE_REQUEST_TIMEOUT };
        let habits = &self.habits;
        let lost_number = number + habits.first_number;
        let mut loses_answer = match &order {
            Order::Configure => false,
            Order::DrainZone(_) => lost_number.is_multiple_of(habits.lost_drain_interval),
            Order::RestoreZone(_) => lost_number.is_multiple_of(habits.lost_restore_interval),
        };
        let mut attempt = number;
        while start.elapsed() < ORDER_TIMEOUT {
            attempt += 1;
            let registry = &self.registries[attempt % self.registries.len()];
            let (address, path, body) = (registry.address, path.clone(), body.clone());
            let key = is_configuration.then(|| key.clone());
            let sending = async move {
                let headers: Vec<_> =
                    key.iter().map(|key| ("idempotency-key", key.as_str())).collect();
                call(address, method, &path, &headers, body.as_bytes()).await
            };
            let response = if self.habits.leaves_silent_connections_open && !is_configuration {
                // The task keeps the connection when nobody waits for it any more.
                let sending = tokio::spawn(sending);
                successful(async { sending.await.ok().flatten() }, request_timeout).await
            } else {
                successful(sending, request_timeout).await
            };
            if response.is_some() && std::mem::take(&mut loses_answer) {
                tokio::time::sleep(ZONE_REQUEST_TIMEOUT).await;
                continue;
            }
            if let Some(response) = response {
                self.record(&order, &response.json());
                return self.check_restored(&order, attempt).await;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Records a zone that is still drained after its restoration was acknowledged; no other operator gives
    /// orders. Asks the registry of this attempt first, which responds.
    async fn check_restored(&self, order: &Order, attempt: usize) {
        if let Order::RestoreZone(zone) = order
            && self.read_drained_zones(attempt).await.is_some_and(|zones| zones.contains(zone))
        {
            self.with_outcome(|outcome| outcome.zones_left_drained.push(zone.clone()));
        }
    }

    /// The zones that are drained, as the stores say; `None` if no registry knows.
    async fn read_drained_zones(&self, first: usize) -> Option<Vec<String>> {
        let count = self.registries.len();
        for registry in self.registries.iter().cycle().skip(first % count).take(count) {
            let call = call(registry.address, "GET", "/v1/zones", &[], b"");
            let Some(response) = successful(call, REQUEST_TIMEOUT).await else { continue };
            let page = response.json();
            let zones = page["emptied"].members();
            return Some(zones.filter_map(|zone| zone.as_str().map(str::to_string)).collect());
        }
        None
    }

    fn request(&self, order: &Order) -> (&'static str, String, String) {
        match order {
            Order::Configure => {
                let version = self.with_outcome(|outcome| {
                    outcome.version += 1;
                    outcome.version
                });
                ("PUT", "/v1/setup".to_string(), versioned(&self.config, version))
            }
            Order::DrainZone(zone) => ("PUT", format!("/v1/zones/{zone}/emptied"), String::new()),
            Order::RestoreZone(zone) => {
                ("DELETE", format!("/v1/zones/{zone}/emptied"), String::new())
            }
        }
    }

    /// Records the end of a drain. A zone may receive requests as soon as its restoration is first
    /// requested, since an unacknowledged request may take effect.
    fn end_drain(&self, zone: &str) {
        let now = self.start.elapsed();
        self.with_outcome(|outcome| {
            let is_open =
                |drain: &&mut DrainedZone| drain.zone == zone && drain.to == Duration::MAX;
            outcome.drained_zones.iter_mut().filter(is_open).for_each(|drain| drain.to = now);
        });
    }

    fn record(&self, order: &Order, acknowledgement: &jzon::JsonValue) {
        let at = self.start.elapsed();
        let member = |key: &str| acknowledgement[key].as_u64().unwrap_or_default();
        self.with_outcome(|outcome| {
            outcome.changes += 1;
            outcome.revision = outcome.revision.max(member("revision"));
            match order {
                Order::Configure => {
                    let (revision, version) = (member("setupRevision"), outcome.version);
                    outcome.acknowledged.push(AcknowledgedConfig { revision, version, at });
                    self.newest_version.store(version, Ordering::Relaxed);
                }
                Order::DrainZone(zone) => {
                    let drain = DrainedZone { zone: zone.clone(), from: at, to: Duration::MAX };
                    outcome.drained_zones.push(drain);
                }
                Order::RestoreZone(_) => {}
            }
        });
    }

    /// Reads the active configuration from each registry in turn until the task is aborted.
    pub async fn keep_reading(self: Arc<Self>) {
        for number in 0.. {
            tokio::time::sleep(READ_INTERVAL).await;
            let registry = &self.registries[number % self.registries.len()];
            let requested_at = self.start.elapsed();
            let call = call(registry.address, "GET", "/v1/setup", &[], b"");
            let Some(response) = successful(call, REQUEST_TIMEOUT).await else { continue };
            let revision = response.headers.get("vanepath-setup-revision");
            let revision = revision.and_then(|value| value.to_str().ok()?.parse().ok());
            let reading = RevisionReading {
                daemon: registry.name.clone(),
                requested_at,
                revision: revision.unwrap_or_default(),
            };
            self.with_outcome(|outcome| outcome.config_reads.push(reading));
        }
    }
}

/// The response to a request if it arrives in time and has status 200.
async fn successful(
    call: impl Future<Output = Option<Response>>,
    request_timeout: Duration,
) -> Option<Response> {
    let response = tokio::time::timeout(request_timeout, call).await.ok().flatten();
    response.filter(|response| response.status == 200)
}

/// Returns the configuration document with this version and the tenants of this version.
pub fn versioned(config: &str, version: u64) -> String {
    let mut value = jzon::parse(config).expect("the topology's configuration is valid JSON");
    value["version"] = version.into();
    value["tenants"] = tenants(version);
    value.dump()
}
