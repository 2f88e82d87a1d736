//! Polling of the platform list (design 4). Whatever goes wrong, the last good list stays.

use http_body_util::BodyExt;
use std::sync::Arc;
use std::time::Duration;
use vanepath_sibling::{daemon, news};

pub const EVERY: Duration = Duration::from_millis(500);
/// A platform whose lists have no number is asked by one registry so often, and by the others
/// seldom, in case that one is not what it seems (design 4).
const DUTY_EVERY: Duration = Duration::from_millis(600);
const OTHERS_EVERY: Duration = Duration::from_millis(2000);
/// Pages of one list at the most; a platform that never ends is not believed.
const PAGES_MOST: usize = 1024;
const LIMIT: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
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
pub fn judge(
    last: &vanepath_setup::platform::PlatformList,
    read: &vanepath_setup::platform::PlatformList,
) -> State {
    if read.revision < last.revision {
        State::Older
    } else if read.servers.is_empty() {
        State::Empty
    } else {
        State::Good
    }
}

/// What a reply of the platform amounts to, and the list where it is good.
pub fn heard(
    last: &vanepath_setup::platform::PlatformList,
    bytes: &[u8],
) -> (State, Option<vanepath_setup::platform::PlatformList>) {
    match vanepath_setup::platform::parse(bytes) {
        Err(_) => (State::Malformed, None),
        Ok(list) => {
            let verdict = judge(last, &list);
            (verdict, Some(list).filter(|_| verdict == State::Good))
        }
    }
}

/// A list that was read whole, page by page. Where the platform does not number its lists, one that
/// differs from the last is the next one (design 4).
pub fn numbered(
    last: &vanepath_setup::platform::PlatformList,
    revision: Option<u64>,
    mut servers: Vec<vanepath_setup::platform::Server>,
) -> vanepath_setup::platform::PlatformList {
    if revision.is_none() {
        servers.sort_by(|left, right| left.id.cmp(&right.id));
        servers.dedup_by(|left, right| left.id == right.id);
    }
    let revision = revision.unwrap_or(match servers == last.servers {
        true => last.revision,
        false => last.revision + 1,
    });
    vanepath_setup::platform::PlatformList { revision, servers }
}

pub async fn run(
    daemon: Arc<daemon::Daemon>,
    tally: Arc<crate::shell::Tally>,
    state: Arc<std::sync::Mutex<State>>,
) {
    let url = daemon.settings.platform.clone().expect("checked with the settings");
    let (address, path) = vanepath_setup::settings::split_url(&url).expect("checked likewise");
    let path = path.to_string();
    let mut sender = None;
    let mut etag: Option<hyper::header::HeaderValue> = None;
    let dialect = daemon.settings.dialect;
    let mut is_numbered = false;
    let mut read_at = None;
    let mut pulse = tokio::time::interval(EVERY / 2);
    pulse.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        pulse.tick().await;
        let view = daemon.table.load_full();
        if !is_numbered && !is_turn(&view, &daemon.card.name, daemon.clock.now(), read_at) {
            continue;
        }
        read_at = Some(daemon.clock.now());
        tally.one(crate::shell::Counter::PlatformReads);
        let source = Source { address, path: &path, dialect, zones: &daemon.settings.zones };
        let read = tokio::time::timeout(LIMIT, source.read(&mut sender, etag.as_ref()));
        let outcome = read.await.unwrap_or(Err(State::Unreachable));
        let last = daemon.table.load().platform.clone();
        let now = match outcome {
            Err(state) => {
                sender = None;
                state
            }
            Ok(None) => State::Good,
            Ok(Some((revision, servers, tag))) => {
                is_numbered = revision.is_some();
                let list = numbered(&last, revision, servers);
                let verdict = judge(&last, &list);
                if let Some(list) = Some(list).filter(|_| verdict == State::Good) {
                    etag = tag;
                    if list.revision > last.revision {
                        tally.one(crate::shell::Counter::PlatformChanges);
                        let event = news::Event::Platform(Arc::new(list));
                        let _ = daemon.news.send(daemon::Tell(event)).await;
                    }
                }
                verdict
            }
        };
        if now != State::Good {
            tally.one(crate::shell::Counter::PlatformReadsBad);
            etag = None;
        }
        let mut state = state.lock().expect("no panic under this lock");
        if *state != now {
            log::info!("platform list: {now}");
            *state = now;
        }
    }
}

/// Whether this registry reads the list now: the first live one that can be reached has that duty.
pub fn is_turn(view: &daemon::View, own: &str, now: Duration, read_at: Option<Duration>) -> bool {
    let registries = view.live.iter().filter(|(card, report)| {
        card.role == vanepath_sibling::wire::Role::Registry && !report.leaving
    });
    let names: Vec<&str> = registries.map(|(card, _)| card.name.as_str()).collect();
    let first = names.iter().min();
    let is_first = first.is_none_or(|first| *first == own) && !view.is_alone;
    let others = names.len().saturating_sub(1).max(1) as u32;
    let every = if is_first { DUTY_EVERY } else { OTHERS_EVERY * others };
    read_at.is_none_or(|at| now >= at + every)
}

type Sender = hyper::client::conn::http1::SendRequest<daemon::Body>;
type Tag = Option<hyper::header::HeaderValue>;
type Read = Option<(Option<u64>, Vec<vanepath_setup::platform::Server>, Tag)>;

struct Source<'s> {
    address: std::net::SocketAddr,
    path: &'s str,
    dialect: vanepath_setup::dialect::Spoken,
    zones: &'s std::collections::BTreeMap<String, String>,
}

impl Source<'_> {
    /// The whole list, page by page; `None` where nothing changed since the tagged one.
    async fn read(
        &self,
        kept: &mut Option<Sender>,
        etag: Option<&hyper::header::HeaderValue>,
    ) -> Result<Read, State> {
        let mut servers = Vec::new();
        let mut revision = None;
        let mut tag = None;
        let mut next = Some(self.path.to_string());
        let mut pages = 0;
        while let Some(path) = next {
            pages += 1;
            if pages > PAGES_MOST {
                return Err(State::Malformed);
            }
            let got = get(kept, self.address, &path, etag.filter(|_| pages == 1)).await;
            let Some((bytes, its_tag)) = got.map_err(|()| State::Unreachable)? else {
                return Ok(None);
            };
            let page = self.dialect.page(&bytes, self.path, self.zones);
            let page = page.map_err(|_| State::Malformed)?;
            revision = page.revision;
            servers.extend(page.servers);
            next = page.next;
            if pages == 1 {
                tag = its_tag;
            }
        }
        Ok(Some((revision, servers, tag)))
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
    let request = request.body(daemon::body(bytes::Bytes::new())).map_err(|_| ())?;
    let receipt = sender.send_request(request).await.map_err(|_| ())?;
    let (head, body) = receipt.into_parts();
    let body = http_body_util::Limited::new(body, vanepath_setup::platform::BYTES_MOST);
    let bytes = body.collect().await.map_err(|_| ())?.to_bytes();
    match head.status {
        hyper::StatusCode::NOT_MODIFIED => Ok(None),
        hyper::StatusCode::OK => Ok(Some((bytes, head.headers.get(hyper::header::ETAG).cloned()))),
        _ => Err(()),
    }
}

#[cfg(test)]
mod tests;
