//! Polling of the platform's endpoint list (design 4). After a failed read the last valid list stays in
//! use.

use crate::discovery::outcome::PollOutcome;
use crate::discovery::sequencer::{Effect, ListSequencer};
use crate::discovery::source::{EndpointListSource, FetchError, ListRead, ReadOutcome};
use crate::state::{Counter, Counters};
use hyper::header::HeaderValue;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use vanepath_cluster::gossip::Event;
use vanepath_cluster::node::{self, ClusterView, HandleEvent, ListStage, Node};
use vanepath_cluster::wire::ListReading;
use vanepath_config::endpoint_list::{self, EndpointList};
use vanepath_config::settings;

/// Interval at which every registry polls a platform whose lists carry a revision.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How often the poller checks whether a read is due.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Decides whether a list that was read may replace the last valid one.
pub fn evaluate(last: &EndpointList, read: &EndpointList) -> PollOutcome {
    if read.revision < last.revision {
        PollOutcome::Older
    } else if read.servers.is_empty() {
        PollOutcome::Empty
    } else {
        PollOutcome::Good
    }
}

/// Parses a response of the platform and evaluates it; returns the list only if the outcome is
/// [`PollOutcome::Good`].
pub fn parse_response(last: &EndpointList, bytes: &[u8]) -> (PollOutcome, Option<EndpointList>) {
    match endpoint_list::parse(bytes) {
        Err(_) => (PollOutcome::Malformed, None),
        Ok(list) => {
            let outcome = evaluate(last, &list);
            (outcome, Some(list).filter(|_| outcome == PollOutcome::Good))
        }
    }
}

/// Polls the platform's endpoint list until the process ends; stores the outcome of each read in
/// `last_outcome`.
///
/// # Panics
/// Panics if the settings contain no valid URL of the list; the validation of the settings excludes that.
pub(crate) async fn run(
    node: Arc<Node>,
    counters: Arc<Counters>,
    last_outcome: Arc<Mutex<PollOutcome>>,
) {
    let url =
        node.settings.endpoint_list_url.clone().expect("the settings require an endpoint list URL");
    let (address, path) =
        settings::split_url(&url).expect("the URL was validated with the settings");
    let mut source = EndpointListSource::new(address, path, &node.settings);
    let mut poller = EndpointPoller {
        sequencer: ListSequencer::new(&node.info.name, node::random()),
        node: &node,
        counters: &counters,
        etag: None,
        is_numbered: false,
        started_at: None,
        published_reading: None,
    };
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let view = node.current_view.load_full();
        let started_at = node.clock.now();
        if !poller.is_due(started_at, &view) {
            continue;
        }
        poller.started_at = Some(started_at);
        counters.increment(Counter::PlatformReads);
        let ReadOutcome { result, paced } = source.read(poller.etag.as_ref()).await;
        let failure = result.as_ref().err().map(|error| {
            let elapsed = node.clock.now().saturating_sub(started_at);
            format!(" ({error}, after {} ms)", elapsed.as_millis())
        });
        poller.sequencer.extend_read(paced);
        let outcome = poller.complete(started_at, result).await;
        poller.publish_reading().await;
        let mut last_outcome =
            last_outcome.lock().expect("the poll outcome lock is never poisoned");
        if *last_outcome != outcome {
            log::info!("endpoint list: {outcome}{}", failure.unwrap_or_default());
            *last_outcome = outcome;
        }
    }
}

/// The poller's state between two reads.
struct EndpointPoller<'n> {
    node: &'n Node,
    counters: &'n Counters,
    /// Decides when to read the lists of a platform that does not number them.
    sequencer: ListSequencer,
    /// The entity tag of the last valid list (RFC 9110 section 8.8.3).
    etag: Option<HeaderValue>,
    /// Whether the platform has returned a list with a revision of its own.
    is_numbered: bool,
    /// Start of the last read.
    started_at: Option<Duration>,
    /// What the other registries were last told of this registry's reads.
    published_reading: Option<ListReading>,
}

impl EndpointPoller<'_> {
    fn is_due(&mut self, now: Duration, view: &ClusterView) -> bool {
        match self.is_numbered {
            true => self.started_at.is_none_or(|at| now >= at + POLL_INTERVAL),
            false => self.sequencer.on_tick(now, view) == Some(Effect::Read),
        }
    }

    /// Processes the result of the read that began at `began_at`, and passes a valid list on to gossip.
    async fn complete(
        &mut self,
        began_at: Duration,
        read: Result<ListRead, FetchError>,
    ) -> PollOutcome {
        let view = self.node.current_view.load_full();
        let elapsed = self.node.clock.now().saturating_sub(began_at);
        if read.is_ok() {
            self.node.list_ages.record(ListStage::Read, elapsed);
        }
        let (outcome, list) = self.evaluate_read(&view, read);
        if let Some(list) = list {
            if list.revision > view.endpoints.revision {
                self.counters.increment(Counter::PlatformChanges);
                log_list(&list, elapsed);
            }
            let event = Event::EndpointListRead { list, began_at };
            let _ = self.node.gossip.send(HandleEvent(event)).await;
        }
        if outcome != PollOutcome::Good {
            self.counters.increment(Counter::PlatformReadsBad);
            self.etag = None;
        }
        outcome
    }

    /// Tells the other registries how well this registry reads the list, if that has changed.
    async fn publish_reading(&mut self) {
        let reading = self.sequencer.reading().filter(|_| !self.is_numbered);
        if let Some(reading) = reading.filter(|_| reading != self.published_reading) {
            self.published_reading = Some(reading);
            log::info!("endpoint list: this registry is {reading}");
            let event = Event::ListReadingChanged(reading);
            let _ = self.node.gossip.send(HandleEvent(event)).await;
        }
    }

    /// The outcome of a read, and the list to publish, if there is one.
    fn evaluate_read(
        &mut self,
        view: &ClusterView,
        read: Result<ListRead, FetchError>,
    ) -> (PollOutcome, Option<Arc<EndpointList>>) {
        match read {
            Err(FetchError::RateLimited) => {
                self.sequencer.on_rate_limited(self.node.clock.now());
                (PollOutcome::RateLimited, None)
            }
            Err(error) => {
                let _ = self.sequencer.on_read_completed(self.node.clock.now(), view, None);
                (PollOutcome::from(&error), None)
            }
            Ok(ListRead::NotModified) => (PollOutcome::Good, None),
            Ok(ListRead::Numbered { list, etag }) => {
                self.is_numbered = true;
                let outcome = evaluate(&view.endpoints, &list);
                let is_good = outcome == PollOutcome::Good;
                self.etag = etag.filter(|_| is_good);
                let is_new = is_good && list.revision > view.endpoints.revision;
                (outcome, is_new.then(|| Arc::new(list)))
            }
            Ok(ListRead::Unnumbered(servers)) => {
                let outcome =
                    if servers.is_empty() { PollOutcome::Empty } else { PollOutcome::Good };
                let now = self.node.clock.now();
                let list = match self.sequencer.on_read_completed(now, view, Some(servers)) {
                    Some(Effect::Publish { list, .. }) => Some(list),
                    Some(Effect::Superseded) => {
                        self.counters.increment(Counter::PlatformReadsOvertaken);
                        log::info!("endpoint list: a read was superseded");
                        None
                    }
                    _ => None,
                };
                (outcome, list)
            }
        }
    }
}

fn log_list(list: &EndpointList, elapsed: Duration) {
    let draining = list.servers.iter().filter(|server| server.draining).count();
    log::info!(
        "endpoint list {}: {} servers, {draining} of them draining; read in {} ms",
        list.revision,
        list.servers.len(),
        elapsed.as_millis()
    );
}

#[cfg(test)]
mod tests;
