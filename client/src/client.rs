//! The HTTP client: sends requests over hyper to the addresses that the steering state machine chooses.

mod attempt;
mod connection_pool;
mod outcome;
mod shared_steering;

pub use attempt::{AttemptError, SUSPICION_CHECK_INTERVAL};
pub use connection_pool::{CONNECT_TIMEOUT, ConnectError};
pub use outcome::Outcome;

use crate::steering::{Steering, SteeringResponse, SteeringResponseError, parse_response};
use attempt::Attempt;
use connection_pool::ConnectionPool;
use http_body_util::BodyExt;
use shared_steering::{OutstandingRequest, SharedSteering};
use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard};
use std::time::Duration;
use vanepath_config::ExecutionStatus;

/// Maximum number of attempts per request; enough to find the only proxy that still works.
pub const MAX_ATTEMPTS: usize = 32;
/// A request is not sent to another proxy after this many rejections (503): what prevents these proxies
/// from serving it very likely affects the others too.
pub const MAX_REJECTIONS: u32 = 3;
/// Time-out of a poll; short enough that a client which polls three unreachable registries in a row still
/// polls the fourth in time to leave a drained zone.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a request waits for the client's first steering response.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay between polls while a request waits for the first steering response.
const FIRST_RESPONSE_POLL_DELAY: Duration = Duration::from_millis(20);
/// Bounds of the interval at which the background task checks whether a poll is due.
const MIN_POLL_CHECK_INTERVAL: Duration = Duration::from_millis(5);
const MAX_POLL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why a poll gave no steering response.
#[derive(Debug, thiserror::Error)]
enum PollError {
    #[error("the registry cannot be reached")]
    Connect(#[from] ConnectError),
    #[error("the poll is not valid HTTP")]
    InvalidRequest(#[from] hyper::http::Error),
    #[error("the connection to the registry failed")]
    Interrupted(#[from] hyper::Error),
    #[error("the registry responded with status {0}")]
    Status(hyper::StatusCode),
    #[error("the steering response is not UTF-8")]
    Encoding(#[from] std::str::Utf8Error),
    #[error("the steering response is not valid")]
    Response(#[from] SteeringResponseError),
}

/// A client of the proxies: it polls the registries for steering responses and sends requests accordingly.
pub struct Client {
    steering: SharedSteering,
    pool: ConnectionPool,
    host: String,
}

impl Client {
    /// Creates a client; it has not polled a registry yet. `query` identifies and locates it, for instance
    /// `caller=clerk-7&zone=a1&region=a`; `spread` is a number that differs between clients; `host` is
    /// the `Host` header of its requests.
    pub fn new(registries: Vec<SocketAddr>, query: &str, spread: u64, host: &str) -> Arc<Client> {
        let initial_uri = format!("/v1/steer?{query}");
        Arc::new(Client {
            steering: SharedSteering::new(Steering::new(registries, initial_uri, spread)),
            pool: ConnectionPool::default(),
            host: host.to_string(),
        })
    }

    /// The steering state. The guard must not be held across an `await`.
    pub fn steering(&self) -> MutexGuard<'_, Steering> {
        self.steering.lock()
    }

    /// Polls in the background until the returned handle is aborted.
    pub fn keep_polling(self: &Arc<Client>) -> tokio::task::JoinHandle<()> {
        let client = self.clone();
        tokio::spawn(async move {
            loop {
                client.poll().await;
                let next_poll_at = client.steering().next_poll_at();
                let pause = next_poll_at
                    .saturating_sub(client.steering.now())
                    .clamp(MIN_POLL_CHECK_INTERVAL, MAX_POLL_CHECK_INTERVAL);
                tokio::time::sleep(pause).await;
            }
        })
    }

    /// Makes one poll, if one is due.
    pub async fn poll(&self) {
        let due_poll = self.steering().start_poll(self.steering.now());
        let Some((registry, uri)) = due_poll else { return };
        let fetch_result =
            tokio::time::timeout(POLL_TIMEOUT, self.fetch_steering(registry, &uri)).await;
        // After any failure the next registry is polled; the steering state counts failed polls.
        let response = fetch_result.ok().and_then(Result::ok);
        self.steering().finish_poll(self.steering.now(), response);
    }

    async fn fetch_steering(
        &self,
        registry: SocketAddr,
        uri: &str,
    ) -> Result<SteeringResponse, PollError> {
        let mut connection = self.pool.connect(registry, true).await?;
        let request = hyper::Request::get(uri)
            .header(hyper::header::HOST, registry.to_string())
            .body(Default::default())?;
        let response = connection.send_request(request).await?;
        let status = response.status();
        let bytes = response.into_body().collect().await?.to_bytes();
        self.pool.put_back(registry, connection);
        if status != hyper::StatusCode::OK {
            return Err(PollError::Status(status));
        }
        Ok(parse_response(std::str::from_utf8(&bytes)?)?)
    }

    /// Polls until the first steering response is received or [`FIRST_RESPONSE_TIMEOUT`] passes; until then
    /// there is no address to send requests to.
    async fn await_first_response(&self) {
        let deadline = self.steering.now() + FIRST_RESPONSE_TIMEOUT;
        while self.steering().response().is_none() {
            if self.steering.now() >= deadline {
                return;
            }
            self.poll().await;
            tokio::time::sleep(FIRST_RESPONSE_POLL_DELAY).await;
        }
    }

    /// Sends a request to the first address of its attempt order, and after a failure to the next ones. An
    /// at-most-once request is retried only while it is known not to have run.
    pub async fn request(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: bytes::Bytes,
    ) -> Outcome {
        self.await_first_response().await;
        let mut plan = self.attempt_plan(method, path);
        let mut outcome = Outcome::NoSteeringResponse;
        while let Some(address) = plan.next_address() {
            let Some(may_reuse_connection) = self.may_reuse_connection(&address, &plan) else {
                continue;
            };
            let outstanding = OutstandingRequest::start(&self.steering, address);
            let attempt = Attempt {
                address,
                may_reuse_connection,
                may_abandon: plan.may_abandon(),
                host: &self.host,
                method,
                path,
                headers,
                body: body.clone(),
            };
            outcome = attempt.run(&self.steering, &self.pool).await;
            match outcome {
                Outcome::Response { .. } => outstanding.answered(),
                Outcome::Failed { .. } | Outcome::NoSteeringResponse => drop(outstanding),
            }
            if !self.should_continue(&mut plan, address, &outcome) {
                break;
            }
        }
        match outcome {
            Outcome::Failed { error, .. } if plan.may_have_run => {
                Outcome::Failed { execution: ExecutionStatus::MayHaveRun, error }
            }
            outcome => outcome,
        }
    }

    fn attempt_plan(&self, method: &str, path: &str) -> AttemptPlan {
        let mut steering = self.steering();
        let addresses = steering.attempt_order(self.steering.now(), method, &self.host, path);
        let is_at_most_once = steering.is_at_most_once(method, &self.host, path);
        AttemptPlan { addresses, tried: 0, is_at_most_once, may_have_run: false, rejections: 0 }
    }

    /// Whether an open connection to that address may be used; `None` if the address is no longer listed
    /// and must be skipped.
    fn may_reuse_connection(&self, address: &SocketAddr, plan: &AttemptPlan) -> Option<bool> {
        let steering = self.steering();
        steering.is_listed(address).then(|| {
            steering.may_reuse_connection(self.steering.now(), address, plan.is_at_most_once)
        })
    }

    /// Records the outcome of an attempt and returns whether the next address is to be tried.
    fn should_continue(
        &self,
        plan: &mut AttemptPlan,
        address: SocketAddr,
        outcome: &Outcome,
    ) -> bool {
        let execution = outcome.execution_status();
        plan.may_have_run |= execution != ExecutionStatus::NotRun;
        if plan.is_at_most_once && plan.may_have_run {
            return false;
        }
        let now = self.steering.now();
        let mut steering = self.steering();
        match outcome {
            Outcome::Response { status, body, .. } => {
                plan.rejections += u32::from(*status == 503);
                let is_final = plan.rejections >= MAX_REJECTIONS
                    || !steering.should_retry(now, *status, execution);
                if !is_final && *status == 421 {
                    steering.redirect(
                        now,
                        &mut plan.addresses,
                        plan.tried,
                        &redirect_targets(body),
                    );
                }
                !is_final
            }
            Outcome::Failed { .. } => {
                steering.penalize(now, address);
                true
            }
            Outcome::NoSteeringResponse => true,
        }
    }
}

/// The addresses to try for one request, and the state of its attempts.
struct AttemptPlan {
    /// In the order in which they are tried.
    addresses: Vec<SocketAddr>,
    /// How many of the addresses were tried or skipped.
    tried: usize,
    is_at_most_once: bool,
    may_have_run: bool,
    /// Responses with status 503 so far.
    rejections: u32,
}

impl AttemptPlan {
    fn next_address(&mut self) -> Option<SocketAddr> {
        let address =
            self.addresses.get(self.tried).copied().filter(|_| self.tried < MAX_ATTEMPTS)?;
        self.tried += 1;
        Some(address)
    }

    /// Only an idempotent request may abandon a suspect address, and only while there is another to try.
    fn may_abandon(&self) -> bool {
        !self.is_at_most_once && self.tried < self.addresses.len().min(MAX_ATTEMPTS)
    }
}

/// The proxies named in the body of a response with status 421.
fn redirect_targets(body: &[u8]) -> Vec<SocketAddr> {
    let value = std::str::from_utf8(body).ok().and_then(|text| jzon::parse(text).ok());
    let value = value.unwrap_or(jzon::JsonValue::Null);
    let targets = value["places"].members();
    targets.filter_map(|target| target["address"].as_str()?.parse().ok()).collect()
}
