//! The operator of a soak: configurations and orders to empty zones, one after the other, each sent again until
//! it is acknowledged.

use super::record::{Acknowledged, Emptied, Told};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What the operator is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Configure,
    Empty(String),
    Return(String),
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Outcome {
    pub acknowledged: Vec<Acknowledged>,
    pub emptied: Vec<Emptied>,
    pub reads: Vec<Told>,
    /// The highest revision that any acknowledgement told.
    pub revision: u64,
    pub changes: usize,
    version: u64,
}

pub struct Operator {
    pub start: Instant,
    /// Registries by name.
    pub registries: Vec<(String, SocketAddr)>,
    pub setup: String,
    pub outcome: Arc<Mutex<Outcome>>,
}

/// An order is sent again for so long.
const SENT_FOR: Duration = Duration::from_secs(20);
/// One sending is given up after so long.
const SENDING: Duration = Duration::from_secs(5);
/// Of the setup that a fleet begins with.
pub const FIRST_VERSION: u64 = 1;
const READ_EVERY: Duration = Duration::from_millis(250);

impl Operator {
    /// An operator of a fleet that goes by the first version of this setup.
    pub fn new(
        start: Instant,
        registries: Vec<(String, SocketAddr)>,
        setup: String,
        outcome: Arc<Mutex<Outcome>>,
    ) -> Operator {
        outcome.lock().expect("no panic under this lock").version = FIRST_VERSION;
        Operator { start, registries, setup, outcome }
    }

    /// Carries out orders until there are no more.
    pub async fn run(self: Arc<Self>, mut orders: tokio::sync::mpsc::UnboundedReceiver<Order>) {
        let mut turn = 0;
        while let Some(order) = orders.recv().await {
            turn += 1;
            self.carry_out(order, turn).await;
        }
    }

    fn with<R>(&self, act: impl FnOnce(&mut Outcome) -> R) -> R {
        act(&mut self.outcome.lock().expect("no panic under this lock"))
    }

    async fn carry_out(&self, order: Order, turn: usize) {
        let (method, path, body) = match &order {
            Order::Configure => {
                let version = self.with(|outcome| {
                    outcome.version += 1;
                    outcome.version
                });
                ("PUT", "/v1/setup".to_string(), versioned(&self.setup, version))
            }
            Order::Empty(zone) => ("PUT", format!("/v1/zones/{zone}/emptied"), String::new()),
            Order::Return(zone) => ("DELETE", format!("/v1/zones/{zone}/emptied"), String::new()),
        };
        let began = Instant::now();
        if let Order::Return(zone) = &order {
            let now = self.start.elapsed();
            self.with(|outcome| {
                let is_open = |one: &&mut Emptied| one.zone == *zone && one.to == Duration::MAX;
                outcome.emptied.iter_mut().filter(is_open).for_each(|one| one.to = now);
            });
        }
        // The same key with every sending: it counts once.
        let key = format!("soak-{turn}");
        let headers = [("idempotency-key", key.as_str())];
        let mut at = turn;
        while began.elapsed() < SENT_FOR {
            at += 1;
            let (_, registry) = self.registries[at % self.registries.len()];
            let call = crate::http::call(registry, method, &path, &headers, body.as_bytes());
            let reply = tokio::time::timeout(SENDING, call).await.ok().flatten();
            if let Some(reply) = reply.filter(|reply| reply.status == 200) {
                return self.note(&order, &reply.json());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn note(&self, order: &Order, receipt: &jzon::JsonValue) {
        let at = self.start.elapsed();
        let number = |key: &str| receipt[key].as_u64().unwrap_or_default();
        self.with(|outcome| {
            outcome.changes += 1;
            outcome.revision = outcome.revision.max(number("revision"));
            match order {
                Order::Configure => {
                    let revision = number("setupRevision");
                    outcome.acknowledged.push(Acknowledged { revision, at });
                }
                Order::Empty(zone) => {
                    let emptied = Emptied { zone: zone.clone(), from: at, to: Duration::MAX };
                    outcome.emptied.push(emptied);
                }
                Order::Return(_) => {}
            }
        });
    }

    /// Reads the configuration in force at each registry in turn.
    pub async fn keep_reading(self: Arc<Self>) {
        for turn in 0.. {
            tokio::time::sleep(READ_EVERY).await;
            let (daemon, registry) = &self.registries[turn % self.registries.len()];
            let asked_at = self.start.elapsed();
            let call = crate::http::call(*registry, "GET", "/v1/setup", &[], b"");
            let reply = tokio::time::timeout(SENDING, call).await.ok().flatten();
            let Some(reply) = reply.filter(|reply| reply.status == 200) else { continue };
            let revision = reply.headers.get("vanepath-setup-revision");
            let revision = revision.and_then(|value| value.to_str().ok()?.parse().ok());
            let daemon = daemon.clone();
            let told = Told { daemon, asked_at, revision: revision.unwrap_or_default() };
            self.with(|outcome| outcome.reads.push(told));
        }
    }
}

/// The setup under a version of its own.
pub fn versioned(setup: &str, version: u64) -> String {
    let mut value = jzon::parse(setup).expect("the shape's setup is a document");
    value["version"] = version.into();
    value.dump()
}
