//! Carries one request along the chart (design 8.1). The shell round `chart`, `classes`,
//! `servers` and `budget`.

use crate::admission::{Admission as Entered, AdmissionControl, AdmissionSlot, Woken};
use crate::endpoints::{Endpoints, IdleConnection, Selection, SelectionContext};
use crate::health::Failure;
use crate::lifecycle::{AfterFailure, AttemptError, Rejection, RequestLifecycle, RequestState};
use crate::retry_budget::RetryReason;
use http_body_util::BodyExt;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use vanepath_cluster::node::{self, Body, BodyError, ClusterView, Node};
use vanepath_config::ExecutionStatus;
use vanepath_config::model::Idempotency;

vanepath_cluster::counters! {
    /// What a proxy counts.
    pub enum Counter {
        Requests,
        Done,
        CallersLeft,
        RefusedMalformed,
        RefusedUnmatched,
        RefusedHeadTooLarge,
        RefusedTooLarge,
        RefusedMisplaced,
        RefusedNotReady,
        RefusedBelowFloor,
        RefusedNoRoom,
        RefusedNoServer,
        RefusedCrowded,
        RefusedNoBudget,
        RefusedLate,
        RefusedLost,
        VerdictNotRun,
        VerdictMayHaveRun,
        Goes,
        FurtherGoes,
        GoesWithdrawn,
        GoesOtherZone,
        GoesOtherRegion,
        BytesOtherZone,
        ConnectionsOpened,
        ConnectionsFailed,
        ConnectionsReused,
        Probes,
        ProbesFailed,
        ReceiptsTruncated,
        ReceiptsAborted,
        SurplusBytes,
        DemandReportsBad,
        Borrowed,
        Queued,
    }
}

pub type Counters = vanepath_cluster::counters::Counters<Counter>;

/// Receipts of lookups up to this size are held until they are whole, so that one that breaks
/// off can still be fetched elsewhere.
const HELD_MOST: usize = 64 << 10;
/// Requests' bodies up to this size can be told a second time.
const REPLAY_MOST: usize = 64 << 10;
/// The head of a request.
const HEAD_MOST: usize = 64 << 10;
/// A filing goes only over a connection greeted so lately.
const GREETED_LATELY: Duration = Duration::from_secs(1);
/// Paths under this are the proxy's own.
pub const OWN_PREFIX: &str = "/vanepath/";

/// On a link that carries as much, a large answer holds nothing up.
const WIDE_MBPS: f64 = 100.0;

pub struct Proxy {
    pub daemon: Arc<Node>,
    pub servers: Endpoints<crate::connector::Sender>,
    pub classes: std::sync::Mutex<AdmissionControl>,
    waiting: std::sync::Mutex<
        std::collections::HashMap<u64, tokio::sync::oneshot::Sender<(AdmissionSlot, ())>>,
    >,
    pub budget: std::sync::Mutex<crate::retry_budget::RetryBudgets>,
    pub tally: Arc<Counters>,
    pub is_ready: AtomicBool,
    pub is_leaving: AtomicBool,
    /// A server's phase changed: registries hear of it soon.
    pub is_news: AtomicBool,
    pub live_proxies: std::sync::atomic::AtomicUsize,
    pub request_counts: std::sync::Mutex<crate::request_rates::RequestRates>,
    longest: std::sync::Mutex<crate::client_deadlines::ClientDeadlines>,
    /// For large answers, where the link is narrow.
    gate: Option<std::sync::Mutex<crate::bandwidth_limiter::BandwidthLimiter>>,
    /// The same for what is read of them.
    gate_in: Option<std::sync::Mutex<crate::bandwidth_limiter::BandwidthLimiter>>,
    random: AtomicU64,
}

impl Proxy {
    pub fn new(daemon: Arc<Node>) -> Proxy {
        let proves_answers = daemon.settings.wire_format.headers().request_id.is_some();
        let mut servers = Endpoints::default();
        servers.proves_answers = proves_answers;
        let retries = daemon.settings.retry_budget;
        let narrow = daemon.settings.link_megabits.filter(|mbps| *mbps < WIDE_MBPS);
        let gate = || {
            narrow.map(|mbps| {
                std::sync::Mutex::new(crate::bandwidth_limiter::BandwidthLimiter::new(mbps))
            })
        };
        Proxy {
            daemon,
            servers,
            classes: Default::default(),
            waiting: Default::default(),
            budget: std::sync::Mutex::new(crate::retry_budget::RetryBudgets::new(retries)),
            tally: Default::default(),
            is_ready: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            is_news: AtomicBool::new(false),
            live_proxies: std::sync::atomic::AtomicUsize::new(1),
            request_counts: Default::default(),
            longest: Default::default(),
            gate: gate(),
            gate_in: gate(),
            random: AtomicU64::new(node::random()),
        }
    }

    fn random(&self) -> u64 {
        let mut mixed = self.random.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn now(&self) -> Duration {
        self.daemon.clock.now()
    }

    /// Hands slots to those that `classes` woke. One whose caller left meanwhile gives it back.
    pub fn wake(&self, mut woken: Vec<Woken>) {
        while let Some(Woken { ticket: number, slot }) = woken.pop() {
            let waiting = self.waiting.lock().expect("no panic under this lock").remove(&number);
            let is_lost = waiting.is_none_or(|waiting| waiting.send((slot, ())).is_err());
            if is_lost {
                let mut classes = self.classes.lock().expect("no panic under this lock");
                woken.extend(classes.release(slot));
            }
        }
    }

    fn release(&self, slot: AdmissionSlot) {
        let woken = self.classes.lock().expect("no panic under this lock").release(slot);
        self.wake(woken);
    }

    pub fn note_bad(&self, slot: usize, id: &str, failure: Failure) {
        if let Some(phase) = self.servers.record_failure(self.now(), slot, failure) {
            self.is_news.store(true, Ordering::Relaxed);
            log::info!("server {id} is {phase}: {failure:?}");
        }
    }

    pub fn note_good(&self, slot: usize, id: &str) {
        if let Some(phase) = self.servers.record_success(self.now(), slot) {
            self.is_news.store(true, Ordering::Relaxed);
            log::info!("server {id} is {phase}");
        }
    }

    /// What to do when a connection to this server brings bytes that nobody asked for.
    pub fn untidy(self: &Arc<Self>, slot: usize, id: &str) -> impl FnOnce() + Send + 'static {
        let (proxy, id) = (self.clone(), id.to_string());
        move || {
            proxy.tally.increment(Counter::SurplusBytes);
            if proxy.servers.mark_desynchronized(slot) {
                log::info!(
                    "server {id} sent surplus bytes: one request to a connection from now on"
                );
            }
        }
    }

    /// What became of a request that a server was given.
    fn note_worked(&self, slot: usize, id: &str, outcome: Result<(), AttemptError>) {
        if let Some(phase) = self.servers.record_outcome(self.now(), slot, outcome) {
            self.is_news.store(true, Ordering::Relaxed);
            match outcome {
                Ok(()) => log::info!("server {id} is {phase}"),
                Err(miss) => log::info!("server {id} is {phase}: {miss}"),
            }
        }
    }
}

/// A class's slot in use; given back when dropped, however the request ends.
struct Held {
    proxy: Arc<Proxy>,
    slot: AdmissionSlot,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.proxy.release(self.slot);
    }
}

/// One request in a server's hands.
struct InHand {
    proxy: Arc<Proxy>,
    slot: usize,
}

impl Drop for InHand {
    fn drop(&mut self) {
        self.proxy.servers.release(self.slot);
    }
}

/// Waits in a class's queue; leaves it when dropped.
struct Waiting {
    proxy: Arc<Proxy>,
    number: u64,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut waiting = self.proxy.waiting.lock().expect("no panic under this lock");
        let was_waiting = waiting.remove(&self.number).is_some();
        drop(waiting);
        if was_waiting {
            let mut classes = self.proxy.classes.lock().expect("no panic under this lock");
            classes.leave(self.number);
        }
    }
}

/// Counts a caller that left before it got anything.
struct Leave<'p> {
    proxy: &'p Proxy,
    is_answered: bool,
}

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.proxy.tally.increment(Counter::CallersLeft);
        }
    }
}

pub async fn carry(proxy: Arc<Proxy>, request: hyper::Request<Body>) -> hyper::Response<Body> {
    let tally = proxy.tally.clone();
    tally.increment(Counter::Requests);
    let guard = proxy.clone();
    let mut leave = Leave { proxy: &guard, is_answered: false };
    let mut chart = RequestLifecycle::new();
    let mut more = More::default();
    let outcome = walk(&proxy, request, &mut chart, &mut more).await;
    leave.is_answered = true;
    let mut receipt = match outcome {
        Ok(receipt) => receipt,
        Err(refusal) => {
            let verdict = chart.execution_status();
            refuse(&proxy, refusal, verdict, &more)
        }
    };
    if proxy.is_leaving.load(Ordering::Relaxed) {
        receipt.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    receipt
}

/// What a refusal tells besides its name.
#[derive(Default)]
struct More {
    places: Vec<jzon::JsonValue>,
    detail: String,
    closes: bool,
    /// What is left of its time.
    left: Duration,
}

fn refuse(
    proxy: &Proxy,
    refusal: Rejection,
    verdict: ExecutionStatus,
    more: &More,
) -> hyper::Response<Body> {
    proxy.tally.increment(match refusal {
        Rejection::Malformed => Counter::RefusedMalformed,
        Rejection::Unmatched => Counter::RefusedUnmatched,
        Rejection::HeadTooLarge => Counter::RefusedHeadTooLarge,
        Rejection::TooLarge => Counter::RefusedTooLarge,
        Rejection::Misplaced => Counter::RefusedMisplaced,
        Rejection::NotReady => Counter::RefusedNotReady,
        Rejection::BelowReadIndex => Counter::RefusedBelowFloor,
        Rejection::QueueFull => Counter::RefusedNoRoom,
        Rejection::NoServer => Counter::RefusedNoServer,
        Rejection::Crowded => Counter::RefusedCrowded,
        Rejection::NoBudget => Counter::RefusedNoBudget,
        Rejection::Late => Counter::RefusedLate,
        Rejection::Lost => Counter::RefusedLost,
    });
    proxy.tally.increment(match verdict {
        ExecutionStatus::MayHaveRun => Counter::VerdictMayHaveRun,
        _ => Counter::VerdictNotRun,
    });
    let reason: &'static str = refusal.into();
    let told: &'static str = verdict.into();
    let mut value = jzon::object! { "error": reason, "verdict": told };
    if !more.places.is_empty() {
        value["places"] = jzon::JsonValue::Array(more.places.clone());
    }
    if !more.detail.is_empty() {
        value["detail"] = more.detail.as_str().into();
    }
    let mut receipt = node::json_response(refusal.status(verdict), &value);
    let headers = receipt.headers_mut();
    if let Some(verdict) = proxy.daemon.settings.wire_format.headers().execution_status {
        headers.insert(verdict, HeaderValue::from_static(told));
    }
    if verdict == ExecutionStatus::NotRun
        && let Some(after) = refusal.retry_after(more.left, proxy.random())
        && let Ok(after) =
            HeaderValue::from_str(&proxy.daemon.settings.wire_format.retry_after(after))
    {
        headers.insert(header::RETRY_AFTER, after);
    }
    if more.closes || refusal == Rejection::Malformed {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    receipt
}

/// A request in a form in which it can be told to a server, once or several times.
struct Told {
    method: hyper::Method,
    uri: hyper::Uri,
    headers: HeaderMap,
    body: TellBody,
}

enum TellBody {
    Whole(bytes::Bytes),
    /// What was read of it, and the rest; gone after the first go that sends any of it.
    Stream(Option<(bytes::Bytes, Body, u64)>),
}

/// The way from received to done. An error is the refusal; the chart says the rest.
async fn walk(
    proxy: &Arc<Proxy>,
    request: hyper::Request<Body>,
    chart: &mut RequestLifecycle,
    more: &mut More,
) -> Result<hyper::Response<Body>, Rejection> {
    let received_at = proxy.now();
    let (mut head, incoming) = request.into_parts();
    let host = check(&mut head).inspect_err(|_| more.closes = true)?;
    await_ready(proxy, received_at).await?;

    let mut table = proxy.servers.table.load_full();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_string();
    let method = head.method.clone();
    let mut rule = matched(proxy, &table, method.as_str(), &host, &path, more)?;
    let class = table.config.classes[table.config.rules[rule].class].clone();
    chart.state = RequestState::Matched;
    chart.idempotency = class.idempotency;
    proxy
        .request_counts
        .lock()
        .expect("no panic under this lock")
        .took(table.config.rules[rule].service);
    let limit = table.config.rules[rule].deadline.unwrap_or(class.deadline);
    chart.max_sends = table.config.rules[rule].max_attempts;
    let own_limit = head
        .headers
        .get(proxy.daemon.settings.wire_format.headers().deadline)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map_or(limit, Duration::from_millis);
    let deadline = received_at + limit.min(own_limit);
    more.left = limit.min(own_limit);
    let is_past_aim = {
        let facts = &table.config.rules[rule];
        let mut longest = proxy.longest.lock().expect("no panic under this lock");
        longest.is_past_aim(received_at, &facts.name, own_limit, facts.latency_target)
    };
    let length = hyper::body::Body::size_hint(&incoming).exact();
    if length.is_some_and(|length| length > class.max_body_bytes) {
        more.closes = true;
        return Err(Rejection::TooLarge);
    }

    chart.state = RequestState::Queued;
    let held = enter(proxy, &class.name, deadline).await?;
    let drawn = table.config.rules[rule].pick_service(proxy.random());
    let drawn = table.config.services[drawn].name.clone();
    proxy.budget.lock().expect("no panic under this lock").record_request(proxy.now(), &drawn);

    let until_late = || tokio::time::Instant::now() + deadline.saturating_sub(proxy.now());
    let read_body = read_body(incoming, class.max_body_bytes);
    let body = tokio::time::timeout_at(until_late(), read_body)
        .await
        .map_err(|_| Rejection::Late)?
        .inspect_err(|_| more.closes = true)?;
    chart.is_replayable = matches!(body, TellBody::Whole(_));
    let mut told = tell(proxy, head, body);
    let mut tried: Vec<usize> = Vec::new();
    let mut held = Some(held);
    loop {
        chart.state = RequestState::Selecting;
        if chart.attempts > 0 {
            // It may have stood still since the first go.
            let ready = await_ready(proxy, proxy.now());
            tokio::time::timeout_at(until_late(), ready).await.map_err(|_| Rejection::Late)??;
        }
        let (index, service) = loop {
            let latest = proxy.servers.table.load_full();
            if !Arc::ptr_eq(&latest.config, &table.config) {
                // Another setup is in force: the request goes by it from here on.
                rule = matched(proxy, &latest, method.as_str(), &host, &path, more)?;
            }
            table = latest;
            let service = service_of(&table, rule, &drawn);
            if let Some(found) =
                choose(proxy, &table, rule, service, &tried, deadline, is_past_aim).await?
            {
                break found;
            }
        };
        let entry = &table.endpoints[index];
        tried.push(entry.slot);
        chart.attempts += 1;
        let in_hand = InHand { proxy: proxy.clone(), slot: entry.slot };
        proxy.tally.increment(Counter::Goes);
        if chart.attempts > 1 {
            proxy.tally.increment(Counter::FurtherGoes);
        }
        let is_other_zone = entry.server.zone != proxy.daemon.settings.zone;
        if is_other_zone {
            proxy.tally.increment(Counter::GoesOtherZone);
        }
        if entry.server.region != proxy.daemon.settings.region {
            proxy.tally.increment(Counter::GoesOtherRegion);
        }
        let go = Go {
            proxy,
            entry,
            service: &table.config.services[service],
            deadline,
            is_other_zone,
            table: &table,
            rule,
            drawn: &drawn,
            tried: &tried,
        };
        let outcome = go.run(chart, &mut told).await;
        let worked = outcome.as_ref().map(|_| ()).map_err(|miss| *miss);
        proxy.note_worked(entry.slot, &entry.server.id, worked);
        let miss = match outcome {
            Ok(reply) => {
                let may_repeat = chart.idempotency == Idempotency::Idempotent
                    && chart.is_replayable
                    && reply.head.status.is_server_error()
                    && chart.may_retry();
                // A server that is busy or failed did not serve the lookup; another one may.
                if may_repeat && go.has_other() && may_go(proxy, &drawn, RetryReason::Lost) {
                    chart.may_have_run = true;
                    continue;
                }
                chart.state = RequestState::Responding;
                proxy.tally.increment(Counter::Done);
                let gated = class.bulk && proxy.gate.is_some();
                return Ok(pass(proxy, reply, in_hand, held.take(), gated));
            }
            Err(miss) => miss,
        };
        drop(in_hand);
        let is_late = proxy.now() >= deadline;
        let need = proxy.servers.retry_reason_after(miss, entry.slot, chart.sent_at);
        let may_go = || may_go(proxy, &drawn, need);
        if let AfterFailure::Reject(refusal) = chart.attempt_failed(miss, is_late, may_go) {
            more.detail = format!("{miss} after {} goes", chart.attempts);
            return Err(refusal);
        }
    }
}

fn may_go(proxy: &Proxy, service: &str, need: RetryReason) -> bool {
    let live = proxy.live_proxies.load(Ordering::Relaxed);
    let mut budgets = proxy.budget.lock().expect("no panic under this lock");
    budgets.try_take(proxy.now(), service, live, need)
}

/// The drawn service in the setup in force, or what the rule has by now.
fn service_of(table: &crate::endpoints::RoutingTable, rule: usize, drawn: &str) -> usize {
    let facts = &table.config.rules[rule];
    let split = facts.weighted_services.iter().map(|one| one.0);
    let mut allowed = split.filter(|index| table.config.services[*index].name == drawn);
    allowed.next().unwrap_or(facts.service)
}

/// Begins a lookup that stands behind another request on its connection (design 8.9); what runs at
/// most once waits for its turn.
pub fn begin(
    proxy: &Arc<Proxy>,
    head: &crate::pipelining::RequestHead,
) -> Option<tokio::task::JoinHandle<hyper::Response<Body>>> {
    if head.method != "GET" && head.method != "HEAD" {
        return None;
    }
    let host = head.headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("host"))?;
    let host = std::str::from_utf8(&host.1).ok()?;
    let host = host.split(':').next().unwrap_or(host);
    let table = proxy.servers.table.load();
    let rule = table.config.rule_for(&head.method, host, &head.target)?;
    let class = &table.config.classes[table.config.rules[rule].class];
    if class.idempotency != Idempotency::Idempotent {
        return None;
    }
    let request = head.to_request()?;
    Some(tokio::spawn(carry(proxy.clone(), request)))
}

/// What the library lets through and yet could be read in two ways is refused (design 8.3).
/// Gives the host that the request is for.
fn check(head: &mut hyper::http::request::Parts) -> Result<String, Rejection> {
    if head.method == hyper::Method::CONNECT {
        return Err(Rejection::Malformed);
    }
    let fields = head.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4);
    if fields.sum::<usize>() + head.uri.path().len() > HEAD_MOST {
        return Err(Rejection::HeadTooLarge);
    }
    let hosts = head.headers.get_all(header::HOST).iter().count();
    if hosts > 1 || (hosts == 0 && head.version == hyper::Version::HTTP_11) {
        return Err(Rejection::Malformed);
    }
    let lengths = head.headers.get_all(header::CONTENT_LENGTH).iter().count();
    let codings = head.headers.get_all(header::TRANSFER_ENCODING).iter().count();
    if lengths > 1 || codings > 1 || (lengths > 0 && codings > 0) {
        return Err(Rejection::Malformed);
    }
    if let Some(coding) = head.headers.get(header::TRANSFER_ENCODING)
        && !coding.as_bytes().eq_ignore_ascii_case(b"chunked")
    {
        return Err(Rejection::Malformed);
    }
    if let Some(authority) = head.uri.authority() {
        // The absolute form: its authority is the host (the published protocol says so).
        let host = HeaderValue::from_str(authority.as_str()).map_err(|_| Rejection::Malformed)?;
        head.headers.insert(header::HOST, host);
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_string();
        head.uri = path.parse().map_err(|_| Rejection::Malformed)?;
    }
    let host = head.headers.get(header::HOST).map_or(Ok(""), |host| host.to_str());
    let host = host.map_err(|_| Rejection::Malformed)?;
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    Ok(name.to_string())
}

/// Until this daemon has what it needs: the setup, and after a freeze fresh news (design 5.5).
async fn await_ready(proxy: &Proxy, received_at: Duration) -> Result<(), Rejection> {
    let is_fit = || {
        let view = proxy.daemon.table.load();
        proxy.daemon.is_awake()
            && proxy.servers.is_ready(
                proxy.now(),
                view.is_fresh,
                crate::endpoints::revision_of(&view),
            )
    };
    while !is_fit() {
        if proxy.daemon.table.load().is_stalled {
            return Err(Rejection::BelowReadIndex);
        }
        if proxy.now().saturating_sub(received_at) >= vanepath_cluster::gossip::READINESS_TIMEOUT {
            return Err(Rejection::NotReady);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

fn places_for(view: &ClusterView, rule: &vanepath_config::model::Rule) -> Vec<jzon::JsonValue> {
    let place = |card: &vanepath_cluster::wire::NodeInfo| {
        jzon::object! {
            "zone": card.zone.as_str(),
            "region": card.region.as_str(),
            "address": card.address.to_string(),
        }
    };
    crate::endpoints::eligible_proxies(view, rule).map(place).collect()
}

async fn enter(proxy: &Arc<Proxy>, class: &str, deadline: Duration) -> Result<Held, Rejection> {
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let number = {
        let mut classes = proxy.classes.lock().expect("no panic under this lock");
        let Some(index) = classes.index(class) else {
            return Err(Rejection::NotReady);
        };
        match classes.enter(index, deadline) {
            Entered::Admitted(slot) => {
                if slot.class != slot.lender {
                    proxy.tally.increment(Counter::Borrowed);
                }
                return Ok(Held { proxy: proxy.clone(), slot });
            }
            Entered::QueueFull => return Err(Rejection::QueueFull),
            Entered::Queued(number) => {
                // Under the same lock: nobody is woken before they can be reached.
                let mut waiting = proxy.waiting.lock().expect("no panic under this lock");
                waiting.insert(number, sender);
                number
            }
        }
    };
    proxy.tally.increment(Counter::Queued);
    let waiting = Waiting { proxy: proxy.clone(), number };
    let limit = deadline.saturating_sub(proxy.now());
    let mut receiver = receiver;
    let woken = tokio::time::timeout(limit, &mut receiver).await;
    // No longer in the queue from here on; a slot that came just now is in the channel.
    drop(waiting);
    let slot = match woken {
        Ok(Ok((slot, ()))) => Some(slot),
        _ => receiver.try_recv().ok().map(|(slot, ())| slot),
    };
    slot.map(|slot| Held { proxy: proxy.clone(), slot }).ok_or(Rejection::Late)
}

async fn read_body(mut incoming: Body, most: u64) -> Result<TellBody, Rejection> {
    if hyper::body::Body::is_end_stream(&incoming) {
        return Ok(TellBody::Whole(bytes::Bytes::new()));
    }
    let mut read = bytes::BytesMut::new();
    loop {
        match incoming.frame().await {
            None => return Ok(TellBody::Whole(read.freeze())),
            // The caller broke off, or its chunks make no sense: nobody was told of it.
            Some(Err(_)) => return Err(Rejection::Malformed),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    read.extend_from_slice(&data);
                }
            }
        }
        if read.len() as u64 > most {
            return Err(Rejection::TooLarge);
        }
        if read.len() > REPLAY_MOST {
            return Ok(TellBody::Stream(Some((read.freeze(), incoming, most))));
        }
    }
}

const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

fn strip_hops(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

fn tell(proxy: &Proxy, head: hyper::http::request::Parts, body: TellBody) -> Told {
    let mut headers = head.headers;
    strip_hops(&mut headers);
    headers.remove(proxy.daemon.settings.wire_format.headers().deadline);
    if let TellBody::Whole(bytes) = &body {
        // The length is told anew from what was read.
        let had_length = headers.remove(header::CONTENT_LENGTH).is_some();
        if had_length || !bytes.is_empty() {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from(bytes.len()));
        }
    }
    Told { method: head.method, uri: head.uri, headers, body }
}

/// The rule of a request, where this proxy may carry it at all.
fn matched(
    proxy: &Proxy,
    table: &crate::endpoints::RoutingTable,
    method: &str,
    host: &str,
    path: &str,
    more: &mut More,
) -> Result<usize, Rejection> {
    let rule = table.config.rule_for(method, host, path).ok_or(Rejection::Unmatched)?;
    let facts = &table.config.rules[rule];
    if !facts.may_forward_from(&proxy.daemon.settings.region) {
        more.places = places_for(&proxy.daemon.table.load(), facts);
        return Err(Rejection::Misplaced);
    }
    Ok(rule)
}

/// A server for the next go, by its index, and the service. `None` after waiting a little for a
/// cold one's turn where only cold ones are left: look again.
async fn choose(
    proxy: &Proxy,
    table: &crate::endpoints::RoutingTable,
    rule: usize,
    service: usize,
    tried: &[usize],
    deadline: Duration,
    is_past_aim: bool,
) -> Result<Option<(usize, usize)>, Rejection> {
    let now = proxy.now();
    if now >= deadline {
        return Err(Rejection::Late);
    }
    let choice = {
        // What was emptied since the request came counts too.
        let latest = proxy.daemon.table.load();
        let want = SelectionContext {
            rule,
            service,
            drained_zones: &latest.committed.drained_zones,
            zone: &proxy.daemon.settings.zone,
            region: &proxy.daemon.settings.region,
            tried,
            only_alternative_for: None,
            is_past_target: is_past_aim,
        };
        proxy.servers.select(now, table, &want, proxy.random())
    };
    match choice {
        Selection::Server(index, service) => Ok(Some((index, service))),
        Selection::Wait(until) if until < deadline => {
            let pause = until.saturating_sub(now).max(Duration::from_millis(1));
            tokio::time::sleep(pause.min(Duration::from_millis(50))).await;
            Ok(None)
        }
        Selection::Crowded => Err(Rejection::Crowded),
        // All that are left were tried, or none is there, or none has its turn in time.
        Selection::Wait(_) | Selection::None => Err(Rejection::NoServer),
    }
}

/// A receipt whose head is in and whose body is partly or wholly so.
struct Reply {
    head: hyper::http::response::Parts,
    read: std::collections::VecDeque<hyper::body::Frame<bytes::Bytes>>,
    rest: Option<hyper::body::Incoming>,
    sender: Option<crate::connector::Sender>,
    greeted_at: Duration,
    kept_for: Duration,
    slot: usize,
    is_other_zone: bool,
}

struct Go<'g> {
    proxy: &'g Arc<Proxy>,
    entry: &'g crate::endpoints::Endpoint,
    service: &'g vanepath_config::model::Service,
    deadline: Duration,
    is_other_zone: bool,
    table: &'g crate::endpoints::RoutingTable,
    rule: usize,
    /// The service that was drawn for this request.
    drawn: &'g str,
    tried: &'g [usize],
}

impl Go<'_> {
    /// Asks the servers about a further go, with the budget.
    fn look<R>(
        &self,
        ask: impl FnOnce(Duration, &SelectionContext<'_>, &dyn Fn(RetryReason) -> bool) -> R,
    ) -> R {
        let proxy = self.proxy;
        let now = proxy.now();
        let latest = proxy.daemon.table.load();
        let want = SelectionContext {
            rule: self.rule,
            service: service_of(self.table, self.rule, self.drawn),
            drained_zones: &latest.committed.drained_zones,
            zone: &proxy.daemon.settings.zone,
            region: &proxy.daemon.settings.region,
            tried: self.tried,
            only_alternative_for: None,
            is_past_target: false,
        };
        let live = proxy.live_proxies.load(Ordering::Relaxed);
        let may_go = |need| {
            let mut budgets = proxy.budget.lock().expect("no panic under this lock");
            budgets.would_allow(now, self.drawn, live, need)
        };
        ask(now, &want, &may_go)
    }

    /// Whether a further go would find another server and be within the budget.
    fn has_other(&self) -> bool {
        let servers = &self.proxy.servers;
        self.look(|now, want, may_go| {
            servers.has_alternative(now, self.table, want, RetryReason::Lost)
                && may_go(RetryReason::Lost)
        })
    }

    /// Whether this lookup leaves the server, which has had it for long.
    fn leaves(&self, sent_at: Duration) -> bool {
        let servers = &self.proxy.servers;
        let had = (self.entry.slot, sent_at);
        self.look(|now, want, may_go| servers.should_switch(now, self.table, want, had, may_go))
    }

    /// Whether the server must not get the request any more, by what is known now, or may not: a connection may
    /// have taken long to come up, and this daemon may have stood still meanwhile (incident 0017).
    fn is_withdrawn(&self) -> bool {
        let latest = self.proxy.daemon.table.load();
        if !self.proxy.daemon.is_awake() || !latest.is_fresh {
            return true;
        }
        self.proxy.servers.is_withdrawn(self.table, self.entry, &latest.committed.drained_zones)
    }

    fn bad(&self, failure: Failure) {
        self.proxy.note_bad(self.entry.slot, &self.entry.server.id, failure);
    }

    async fn run(
        &self,
        chart: &mut RequestLifecycle,
        told: &mut Told,
    ) -> Result<Reply, AttemptError> {
        let left = self.deadline.saturating_sub(self.proxy.now());
        let until = tokio::time::Instant::now() + left;
        chart.state = RequestState::Connecting;
        let connected = tokio::time::timeout_at(until, self.connection(chart.idempotency)).await;
        let (mut sender, greeted_at) = connected.unwrap_or(Err(AttemptError::NotConnected))?;
        chart.state = RequestState::Verified;
        if self.is_withdrawn() {
            self.proxy.tally.increment(Counter::GoesWithdrawn);
            return Err(AttemptError::Withdrawn);
        }

        let body = match &mut told.body {
            TellBody::Whole(bytes) => node::body(bytes.clone()),
            TellBody::Stream(rest) => {
                let (read, incoming, most) = rest.take().ok_or(AttemptError::NotSent)?;
                streamed(read, incoming, most)
            }
        };
        let mut request = hyper::Request::new(body);
        *request.method_mut() = told.method.clone();
        *request.uri_mut() = told.uri.clone();
        *request.headers_mut() = told.headers.clone();
        self.address(request.headers_mut());
        chart.state = RequestState::Sent;
        chart.sends += 1;
        let sent_at = self.proxy.now();
        chart.sent_at = sent_at;
        self.proxy.servers.record_sent(sent_at, self.entry.slot);
        let lateness = self.proxy.servers.lateness(sent_at, self.entry.slot);
        let sent = {
            let sending = sender.try_send_request(request);
            tokio::pin!(sending);
            loop {
                // A lookup leaves a slow server in time for another one, as soon as there is one.
                let left = self.deadline.saturating_sub(self.proxy.now());
                let pause = chart.switch_after(left);
                let at = pause.map_or(until, |pause| tokio::time::Instant::now() + pause);
                match tokio::time::timeout_at(at, &mut sending).await {
                    Ok(sent) => break Ok(sent),
                    Err(_) if pause.is_none() || self.leaves(sent_at) => break Err(()),
                    Err(_) => {}
                }
            }
        };
        let receipt = match sent {
            Err(()) => return Err(AttemptError::Silent),
            // Given back whole: the library had not begun to write it.
            Ok(Err(mut error)) => {
                return Err(match error.take_message() {
                    Some(_) => AttemptError::NotSent,
                    None => AttemptError::LostAfterSend,
                });
            }
            Ok(Ok(receipt)) => receipt,
        };
        let (head, incoming) = receipt.into_parts();
        self.hear_demand(&head.headers);
        self.prove(&head, &told.headers)?;
        let is_bodiless = told.method == hyper::Method::HEAD;
        let may_close = self.proxy.daemon.settings.wire_format.headers().close_ends_response;
        if !is_bodiless && !may_close && !crate::connector::is_framed(&head) {
            self.proxy.tally.increment(Counter::ReceiptsTruncated);
            return Err(AttemptError::Truncated);
        }
        if head.status == hyper::StatusCode::SWITCHING_PROTOCOLS {
            return Err(AttemptError::Truncated);
        }
        if !head.status.is_server_error() {
            self.hear_time(&head.headers, told, sent_at, lateness);
        }
        let kept_for = crate::connector::keep_alive_timeout(&head.headers);
        let mut reply = Reply {
            head,
            read: Default::default(),
            rest: Some(incoming),
            sender: Some(sender),
            greeted_at,
            kept_for,
            slot: self.entry.slot,
            is_other_zone: self.is_other_zone,
        };
        // Held until whole, where that is little enough.
        let class = &self.table.config.classes[self.table.config.rules[self.rule].class];
        let hold = tokio::time::timeout_at(until, hold(self.proxy, &mut reply, class.bulk));
        match hold.await {
            Ok(Ok(())) => {}
            Ok(Err(())) => {
                self.proxy.tally.increment(Counter::ReceiptsTruncated);
                return Err(AttemptError::Truncated);
            }
            // Slow, but under way: a filing's is passed on as it comes, a lookup is given the
            // rest of its time too.
            Err(_) => {}
        }
        Ok(reply)
    }

    /// Names the server that this is for, and what is left of the time.
    fn address(&self, headers: &mut HeaderMap) {
        let names = self.proxy.daemon.settings.wire_format.headers();
        if let Some(target) = names.target
            && let Ok(id) = HeaderValue::from_str(&self.entry.server.id)
        {
            headers.insert(target, id);
        }
        if names.forwards_deadline {
            let left = self.deadline.saturating_sub(self.proxy.now()).as_millis() as u64;
            headers.insert(names.deadline, HeaderValue::from(left));
        }
    }

    /// Whether this is an answer to this request, and what it says of having run (design 8.2).
    fn prove(
        &self,
        head: &hyper::http::response::Parts,
        asked: &HeaderMap,
    ) -> Result<(), AttemptError> {
        let names = self.proxy.daemon.settings.wire_format.headers();
        let id = |headers: &HeaderMap| names.request_id.and_then(|name| headers.get(name).cloned());
        let (own, theirs) = (id(asked), id(&head.headers));
        if own.is_some() && theirs.is_some() && own != theirs {
            return Err(AttemptError::Misanswered);
        }
        let is_misdirected =
            names.target.is_some() && head.status == hyper::StatusCode::MISDIRECTED_REQUEST;
        if is_misdirected || names.not_run.is_some_and(|name| head.headers.contains_key(name)) {
            if is_misdirected {
                self.bad(Failure::Refused);
            } else if !head.headers.contains_key(names.load) {
                self.proxy.servers.observe_load(self.proxy.now(), self.entry.slot, 1000);
            }
            return Err(AttemptError::TurnedAway);
        }
        // Without its id it may be another request's, and without its seal it is no success.
        let has_seal = names.response_seal.is_none_or(|seal| head.headers.contains_key(seal));
        if (own.is_some() && theirs.is_none()) || (head.status.is_success() && !has_seal) {
            return Err(AttemptError::Misanswered);
        }
        Ok(())
    }

    /// How long the server took, for what is usual (design 8.7).
    fn hear_time(&self, headers: &HeaderMap, told: &Told, sent_at: Duration, lateness: f64) {
        let length = |headers: &HeaderMap| -> Option<f64> {
            headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
        };
        let asked = length(&told.headers).unwrap_or(0.0);
        let class = &self.table.config.classes[self.table.config.rules[self.rule].class];
        let now = self.proxy.now();
        let answered = crate::endpoints::ServedRequest {
            slot: self.entry.slot,
            class: &class.name,
            service: &self.service.name,
            is_bulk: class.bulk,
            took: now.saturating_sub(sent_at),
            lateness,
            kilobytes: length(headers).map(|length| (length + asked) / 1000.0),
        };
        self.proxy.servers.answered(now, answered);
    }

    fn hear_demand(&self, headers: &HeaderMap) {
        let dialect = self.proxy.daemon.settings.wire_format;
        let Some(value) = headers.get(dialect.headers().load) else {
            return;
        };
        match value.to_str().ok().and_then(|text| dialect.load(text)) {
            Some(demand_milli) => {
                self.proxy.servers.observe_load(self.proxy.now(), self.entry.slot, demand_milli);
            }
            None => self.proxy.tally.increment(Counter::DemandReportsBad),
        }
    }

    /// A connection that was greeted by this very server; for a filing, moments ago.
    async fn connection(
        &self,
        kind: Idempotency,
    ) -> Result<(crate::connector::Sender, Duration), AttemptError> {
        let now = self.proxy.now();
        let slot = self.entry.slot;
        let fit = |idle: &IdleConnection<crate::connector::Sender>| idle.connection.is_ready();
        let dialect = self.proxy.daemon.settings.wire_format;
        let is_greeted = dialect.headers().target.is_none();
        // What runs once takes no connection on which a late answer may be lying.
        let is_doubtful = kind == Idempotency::NonIdempotent
            && !is_greeted
            && self.proxy.servers.is_desynchronized(slot);
        while let Some(mut idle) = self.proxy.servers.take_idle(now, slot, fit) {
            if is_doubtful {
                self.proxy.servers.put_idle(slot, idle);
                break;
            }
            if kind == Idempotency::NonIdempotent && !is_greeted && !idle.is_kept_for_once(now) {
                continue;
            }
            if is_greeted
                && kind == Idempotency::NonIdempotent
                && now.saturating_sub(idle.verified_at) > GREETED_LATELY
            {
                match crate::connector::verify_identity(
                    dialect,
                    &mut idle.connection,
                    self.entry,
                    self.service,
                )
                .await
                {
                    Ok(_) => idle.verified_at = self.proxy.now(),
                    // Closed while it rested: no sign against the server.
                    Err(Failure::Broken) => continue,
                    Err(failure) => {
                        self.bad(failure);
                        return Err(AttemptError::NotConnected);
                    }
                }
            }
            self.proxy.tally.increment(Counter::ConnectionsReused);
            return Ok((idle.connection, idle.verified_at));
        }
        self.proxy.tally.increment(Counter::ConnectionsOpened);
        let untidy = self.proxy.untidy(slot, &self.entry.server.id);
        let is_far = self.entry.server.region != self.proxy.daemon.settings.region;
        let opened_at = self.proxy.now();
        let connected = match is_greeted {
            true => crate::connector::connect(dialect, self.entry, self.service, untidy).await,
            false => crate::connector::open(self.entry, is_far, self.proxy.gate.is_some(), untidy)
                .await
                .map(|sender| (sender, Default::default())),
        };
        if !is_greeted && connected.is_ok() {
            self.proxy.servers.connected(slot, self.proxy.now().saturating_sub(opened_at));
        }
        match connected {
            Ok((sender, greeted)) => {
                if is_greeted && self.proxy.servers.is_desynchronized(slot) {
                    // What the greeting may bring on top shows first.
                    tokio::time::sleep(crate::endpoints::SETTLE_TIME).await;
                    if !sender.is_ready() {
                        return Err(AttemptError::NotConnected);
                    }
                }
                if greeted.is_warming_up {
                    self.proxy.servers.update_health(slot, |liveness| {
                        if liveness.phase == crate::health::ServerPhase::Healthy {
                            liveness.restart_slow_start(now, Duration::ZERO);
                        }
                    });
                }
                Ok((sender, self.proxy.now()))
            }
            Err(failure) => {
                self.proxy.tally.increment(Counter::ConnectionsFailed);
                self.bad(failure);
                Err(AttemptError::NotConnected)
            }
        }
    }
}

/// Reads frames until the body is whole or too much to hold, large answers through their gate. Safe to
/// drop between frames.
async fn hold(proxy: &Proxy, reply: &mut Reply, is_bulk: bool) -> Result<(), ()> {
    let mut held = 0;
    while let Some(rest) = &mut reply.rest {
        match rest.frame().await {
            None => reply.rest = None,
            Some(Err(_)) => return Err(()),
            Some(Ok(frame)) => {
                let length = frame.data_ref().map_or(0, |data| data.len());
                held += length;
                reply.read.push_back(frame);
                if held > HELD_MOST {
                    return Ok(());
                }
                if is_bulk {
                    pass_gate(proxy, &proxy.gate_in, length).await;
                }
            }
        }
    }
    Ok(())
}

/// Waits until so many bytes of large answers may go through, where there is a gate.
async fn pass_gate(
    proxy: &Proxy,
    gate: &Option<std::sync::Mutex<crate::bandwidth_limiter::BandwidthLimiter>>,
    bytes: usize,
) {
    let Some(gate) = gate else { return };
    loop {
        let now = proxy.now();
        let passed = gate.lock().expect("no panic under this lock").try_pass(now, bytes);
        match passed {
            Ok(()) => return,
            Err(throttled) => tokio::time::sleep(throttled.retry_at.saturating_sub(now)).await,
        }
    }
}

/// What was read of a request's body, then the rest as it comes.
fn streamed(read: bytes::Bytes, rest: Body, most: u64) -> Body {
    struct Rest {
        read: Option<bytes::Bytes>,
        rest: Body,
        left: u64,
    }
    impl hyper::body::Body for Rest {
        type Data = bytes::Bytes;
        type Error = BodyError;

        fn poll_frame(
            mut self: std::pin::Pin<&mut Self>,
            context: &mut std::task::Context<'_>,
        ) -> std::task::Poll<Option<Result<hyper::body::Frame<bytes::Bytes>, BodyError>>> {
            if let Some(read) = self.read.take() {
                return std::task::Poll::Ready(Some(Ok(hyper::body::Frame::data(read))));
            }
            let frame = std::task::ready!(std::pin::Pin::new(&mut self.rest).poll_frame(context));
            std::task::Poll::Ready(match frame {
                Some(Ok(frame)) => {
                    let length = frame.data_ref().map_or(0, |data| data.len()) as u64;
                    if length > self.left {
                        return std::task::Poll::Ready(Some(Err("body too large".into())));
                    }
                    self.left -= length;
                    Some(Ok(frame))
                }
                Some(Err(error)) => Some(Err(error)),
                None => None,
            })
        }

        fn size_hint(&self) -> hyper::body::SizeHint {
            let mut hint = hyper::body::Body::size_hint(&self.rest);
            let read = self.read.as_ref().map_or(0, |read| read.len()) as u64;
            match hint.exact() {
                Some(exact) => hyper::body::SizeHint::with_exact(exact + read),
                None => {
                    hint.set_lower(hint.lower() + read);
                    hint
                }
            }
        }
    }
    let left = most.saturating_sub(read.len() as u64);
    Rest { read: Some(read), rest, left }.boxed_unsync()
}

/// Passes a receipt on; its body holds the slots until it is whole or given up.
fn pass(
    proxy: &Arc<Proxy>,
    reply: Reply,
    in_hand: InHand,
    held: Option<Held>,
    gated: bool,
) -> hyper::Response<Body> {
    let mut head = reply.head;
    strip_hops(&mut head.headers);
    if let Some(verdict) = proxy.daemon.settings.wire_format.headers().execution_status {
        head.headers.insert(verdict, HeaderValue::from_static(ExecutionStatus::Ran.into()));
    }
    let length = head
        .headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    let mut tail = Tail {
        proxy: proxy.clone(),
        read: reply.read,
        rest: reply.rest,
        sender: reply.sender,
        greeted_at: reply.greeted_at,
        kept_for: reply.kept_for,
        slot: reply.slot,
        is_other_zone: reply.is_other_zone,
        length,
        slots: Some((in_hand, held)),
    };
    if tail.rest.is_none() {
        // Whole already: the server and the class are free, whatever the caller's speed.
        tail.whole();
    }
    let body = match gated {
        false => tail.boxed_unsync(),
        true => {
            let proxy = proxy.clone();
            let pass = move |bytes| -> crate::throttled_body::BandwidthPermit {
                let proxy = proxy.clone();
                Box::pin(async move { pass_gate(&proxy, &proxy.gate, bytes).await })
            };
            crate::throttled_body::ThrottledBody::new(tail, pass).boxed_unsync()
        }
    };
    hyper::Response::from_parts(head, body)
}

/// The body of a receipt on its way to the caller.
struct Tail {
    proxy: Arc<Proxy>,
    read: std::collections::VecDeque<hyper::body::Frame<bytes::Bytes>>,
    rest: Option<hyper::body::Incoming>,
    sender: Option<crate::connector::Sender>,
    greeted_at: Duration,
    kept_for: Duration,
    slot: usize,
    is_other_zone: bool,
    length: Option<u64>,
    slots: Option<(InHand, Option<Held>)>,
}

impl Tail {
    fn is_over(&self) -> bool {
        self.rest.is_none() && self.read.is_empty()
    }

    /// The whole receipt is in: the connection may rest and then be used again.
    fn whole(&mut self) {
        self.rest = None;
        if let Some(connection) = self.sender.take() {
            let (greeted_at, quiet_since) = (self.greeted_at, self.proxy.now());
            let kept_for = self.kept_for;
            let idle = IdleConnection {
                connection,
                verified_at: greeted_at,
                idle_since: quiet_since,
                keep_alive: kept_for,
                is_used: true,
            };
            self.proxy.servers.put_idle(self.slot, idle);
        }
        self.slots = None;
    }
}

impl hyper::body::Body for Tail {
    type Data = bytes::Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<hyper::body::Frame<bytes::Bytes>, BodyError>>> {
        let frame = match self.read.pop_front() {
            Some(frame) => Some(Ok(frame)),
            None => match &mut self.rest {
                None => None,
                Some(rest) => {
                    let next = std::pin::Pin::new(rest).poll_frame(context);
                    match std::task::ready!(next) {
                        Some(Ok(frame)) => Some(Ok(frame)),
                        Some(Err(error)) => {
                            // Broken off: the caller must see that, so its connection breaks too.
                            self.rest = None;
                            self.sender = None;
                            self.proxy.tally.increment(Counter::ReceiptsAborted);
                            Some(Err(BodyError::from(error)))
                        }
                        None => {
                            self.whole();
                            None
                        }
                    }
                }
            },
        };
        if let Some(Ok(frame)) = &frame
            && self.is_other_zone
        {
            let length = frame.data_ref().map_or(0, |data| data.len()) as u64;
            self.proxy.tally.add(Counter::BytesOtherZone, length);
        }
        std::task::Poll::Ready(frame)
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        if self.rest.is_none() {
            let read = self.read.iter().filter_map(|frame| frame.data_ref());
            return hyper::body::SizeHint::with_exact(read.map(|data| data.len() as u64).sum());
        }
        match self.length {
            Some(length) => hyper::body::SizeHint::with_exact(length),
            None => hyper::body::SizeHint::default(),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.is_over()
    }
}
