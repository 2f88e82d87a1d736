//! Polling of the platform list (design 4). Whatever goes wrong, the last good list stays.

use crate::list_sequencer::{Effect, ListSequencer, READ_MOST};
use crate::shell::Counter;
use http_body_util::BodyExt;
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::{gossip, node};
use vanepath_config::endpoint_list::{EndpointList, Server};

/// A platform that numbers its lists is asked so often, by every registry.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How often it is looked whether the list is to be read.
const PULSE: Duration = Duration::from_millis(50);
/// Pages of one list at the most; a platform that never ends is not believed.
const PAGES_MOST: usize = 1024;

#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PollOutcome {
    NotYetRead,
    Good,
    Unreachable,
    Malformed,
    /// It lists nobody: not believed. One that knows no list yet may be new, while all others know one.
    Empty,
    /// Its revision is lower than one that was read before.
    Older,
}

/// Whether a list that was read may take the place of the last good one.
pub fn evaluate(last: &EndpointList, read: &EndpointList) -> PollOutcome {
    if read.revision < last.revision {
        PollOutcome::Older
    } else if read.servers.is_empty() {
        PollOutcome::Empty
    } else {
        PollOutcome::Good
    }
}

/// What a reply of the platform amounts to, and the list where it is good.
pub fn parse_reply(last: &EndpointList, bytes: &[u8]) -> (PollOutcome, Option<EndpointList>) {
    match vanepath_config::endpoint_list::parse(bytes) {
        Err(_) => (PollOutcome::Malformed, None),
        Ok(list) => {
            let verdict = evaluate(last, &list);
            (verdict, Some(list).filter(|_| verdict == PollOutcome::Good))
        }
    }
}

pub async fn run(
    daemon: Arc<node::Node>,
    tally: Arc<crate::shell::Counters>,
    state: Arc<std::sync::Mutex<PollOutcome>>,
) {
    let url = daemon.settings.endpoint_list_url.clone().expect("checked with the settings");
    let (address, path) = vanepath_config::settings::split_url(&url).expect("checked likewise");
    let path = path.to_string();
    let dialect = daemon.settings.wire_format;
    let mut sender = None;
    let mut etag: Option<hyper::header::HeaderValue> = None;
    let mut reader = ListSequencer::new(&daemon.info.name, node::random());
    let mut is_numbered = false;
    let mut tried_at: Option<Duration> = None;
    let mut pulse = tokio::time::interval(PULSE);
    pulse.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        pulse.tick().await;
        let view = daemon.table.load_full();
        let began_at = daemon.clock.now();
        let is_due = match is_numbered {
            true => tried_at.is_none_or(|at| began_at >= at + POLL_INTERVAL),
            false => reader.pulse(began_at, &view) == Some(Effect::Read),
        };
        if !is_due {
            continue;
        }
        tried_at = Some(began_at);
        tally.increment(Counter::PlatformReads);
        let source = Source { address, path: &path, dialect, zones: &daemon.settings.zone_regions };
        let read = tokio::time::timeout(READ_MOST, source.read(&mut sender, etag.as_ref()));
        let outcome = read.await.unwrap_or(Err(PollOutcome::Unreachable));
        let view = daemon.table.load_full();
        let (found, list) = match outcome {
            Err(found) => {
                sender = None;
                let _ = reader.read(daemon.clock.now(), &view, None);
                (found, None)
            }
            Ok(Read::Same) => (PollOutcome::Good, None),
            Ok(Read::Numbered { list, tag }) => {
                is_numbered = true;
                let found = evaluate(&view.endpoints, &list);
                etag = tag.filter(|_| found == PollOutcome::Good);
                let is_new = found == PollOutcome::Good && list.revision > view.endpoints.revision;
                (found, is_new.then(|| Arc::new(list)))
            }
            Ok(Read::Plain(servers)) => {
                let found = if servers.is_empty() { PollOutcome::Empty } else { PollOutcome::Good };
                let servers = (found == PollOutcome::Good).then_some(servers);
                let list = match reader.read(daemon.clock.now(), &view, servers) {
                    Some(Effect::Publish { list, .. }) => Some(list),
                    Some(Effect::Superseded) => {
                        tally.increment(Counter::PlatformReadsOvertaken);
                        None
                    }
                    _ => None,
                };
                (found, list)
            }
        };
        if let Some(list) = list {
            if list.revision > view.endpoints.revision {
                tally.increment(Counter::PlatformChanges);
                note(&list, daemon.clock.now().saturating_sub(began_at));
            }
            let event = gossip::Event::EndpointListRead { list, began_at };
            let _ = daemon.gossip.send(node::HandleEvent(event)).await;
        }
        if found != PollOutcome::Good {
            tally.increment(Counter::PlatformReadsBad);
            etag = None;
        }
        let mut state = state.lock().expect("no panic under this lock");
        if *state != found {
            log::info!("platform list: {found}");
            *state = found;
        }
    }
}

/// Says which list this registry tells from now on.
fn note(list: &EndpointList, took: Duration) {
    let leaving = list.servers.iter().filter(|server| server.draining).count();
    log::info!(
        "platform list {}: {} servers, {leaving} of them leaving; read in {} ms",
        list.revision,
        list.servers.len(),
        took.as_millis()
    );
}

type Sender = hyper::client::conn::http1::SendRequest<node::Body>;
type Tag = Option<hyper::header::HeaderValue>;

/// What a read of the platform's list found.
enum Read {
    /// Nothing changed since the tagged list.
    Same,
    /// A list with the platform's own number.
    Numbered { list: EndpointList, tag: Tag },
    /// The servers of a list that has no number.
    Plain(Vec<Server>),
}

struct Source<'s> {
    address: std::net::SocketAddr,
    path: &'s str,
    dialect: vanepath_config::wire_format::SelectedFormat,
    zones: &'s std::collections::BTreeMap<String, String>,
}

impl Source<'_> {
    /// The whole list, page by page.
    async fn read(
        &self,
        kept: &mut Option<Sender>,
        etag: Option<&hyper::header::HeaderValue>,
    ) -> Result<Read, PollOutcome> {
        let mut servers = Vec::new();
        let mut revision = None;
        let mut tag = None;
        let mut next = Some(self.path.to_string());
        let mut pages = 0;
        while let Some(path) = next {
            pages += 1;
            if pages > PAGES_MOST {
                return Err(PollOutcome::Malformed);
            }
            let got = get(kept, self.address, &path, etag.filter(|_| pages == 1)).await;
            let Some((bytes, its_tag)) = got.map_err(|()| PollOutcome::Unreachable)? else {
                return Ok(Read::Same);
            };
            let page = self.dialect.page(&bytes, self.path, self.zones);
            let page = page.map_err(|_| PollOutcome::Malformed)?;
            revision = page.revision;
            servers.extend(page.servers);
            next = page.next;
            if pages == 1 {
                tag = its_tag;
            }
        }
        Ok(match revision {
            Some(revision) => Read::Numbered { list: EndpointList { revision, servers }, tag },
            None => Read::Plain(servers),
        })
    }
}

/// A conditional GET: `None` where nothing changed.
async fn get(
    kept: &mut Option<Sender>,
    address: std::net::SocketAddr,
    path: &str,
    etag: Option<&hyper::header::HeaderValue>,
) -> Result<Option<(bytes::Bytes, Tag)>, ()> {
    if kept.as_ref().is_none_or(|sender| !sender.is_ready()) {
        let stream = tokio::net::TcpStream::connect(address).await.map_err(|_| ())?;
        let io = hyper_util::rt::TokioIo::new(stream);
        let (sender, connection) =
            hyper::client::conn::http1::handshake(io).await.map_err(|_| ())?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        *kept = Some(sender);
    }
    let sender = kept.as_mut().ok_or(())?;
    let mut request = hyper::Request::get(path)
        .header(hyper::header::HOST, address.to_string())
        .header(hyper::header::ACCEPT, "application/json");
    if let Some(etag) = etag {
        request = request.header(hyper::header::IF_NONE_MATCH, etag);
    }
    let request = request.body(node::body(bytes::Bytes::new())).map_err(|_| ())?;
    let receipt = sender.send_request(request).await.map_err(|_| ())?;
    let (head, body) = receipt.into_parts();
    let body = http_body_util::Limited::new(body, vanepath_config::endpoint_list::MAX_BYTES);
    let bytes = body.collect().await.map_err(|_| ())?.to_bytes();
    match head.status {
        hyper::StatusCode::NOT_MODIFIED => Ok(None),
        hyper::StatusCode::OK => Ok(Some((bytes, head.headers.get(hyper::header::ETAG).cloned()))),
        _ => Err(()),
    }
}

#[cfg(test)]
mod tests;
