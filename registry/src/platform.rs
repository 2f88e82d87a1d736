//! Polling of the platform list (design 4). Whatever goes wrong, the last good list stays.

use http_body_util::BodyExt;
use std::sync::Arc;
use std::time::Duration;
use vanepath_sibling::{daemon, news};

pub const EVERY: Duration = Duration::from_millis(500);
const LIMIT: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    NotYetRead,
    Good,
    Unreachable,
    Malformed,
    /// It lists nobody while the last good list did: not believed.
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
    } else if read.servers.is_empty() && !last.servers.is_empty() {
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
    let mut pulse = tokio::time::interval(EVERY);
    pulse.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        pulse.tick().await;
        tally.one(crate::shell::Counter::PlatformReads);
        let read = tokio::time::timeout(LIMIT, read(&mut sender, address, &path, etag.as_ref()));
        let outcome = read.await.unwrap_or(Err(()));
        let last = daemon.table.load().platform.clone();
        let now = match outcome {
            Err(()) => {
                sender = None;
                State::Unreachable
            }
            Ok(None) => State::Good,
            Ok(Some((bytes, tag))) => {
                let (verdict, list) = heard(&last, &bytes);
                if let Some(list) = list {
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

type Sender = hyper::client::conn::http1::SendRequest<daemon::Body>;
type Read = Option<(bytes::Bytes, Option<hyper::header::HeaderValue>)>;

/// A conditional GET: `None` where nothing changed.
async fn read(
    kept: &mut Option<Sender>,
    address: std::net::SocketAddr,
    path: &str,
    etag: Option<&hyper::header::HeaderValue>,
) -> Result<Read, ()> {
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
mod tests {
    use super::State;

    #[test]
    fn only_a_good_list_takes_the_last_ones_place() {
        let list = |revision: u64, is_empty: bool| {
            let server = r#"{"id": "s", "address": "127.0.0.1:9", "region": "a", "zone": "a1",
                             "state": "ready"}"#;
            let servers = if is_empty { "" } else { server };
            let text = format!(r#"{{"revision": {revision}, "servers": [{servers}]}}"#);
            vanepath_setup::platform::parse(text.as_bytes()).unwrap()
        };
        let last = list(5, false);
        assert_eq!(super::judge(&last, &list(6, false)), State::Good);
        assert_eq!(super::judge(&last, &list(4, false)), State::Older);
        assert_eq!(super::judge(&last, &list(6, true)), State::Empty);
        assert_eq!(super::judge(&list(0, true), &list(1, true)), State::Good);
    }
}
