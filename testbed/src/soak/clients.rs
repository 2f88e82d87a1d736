//! Clients of a soak: each keeps using its connection until that is gone, whatever happens to the process
//! behind it, and then takes another proxy.

use super::invariants::DEADLINE;
use super::record::{End, Kind, Request};
use crate::sim::Random;
use http_body_util::BodyExt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// How a client uses its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// One request after the other, lookups and filings.
    Steady,
    /// The same with long pauses, in which the connection rests.
    Resting,
    /// Several lookups one behind the other.
    Pipelined,
    /// Long bodies that come piece by piece.
    Uploading,
    /// Large answers that are read slowly.
    ReadingSlowly,
}

const HABITS: [Habit; 8] = [
    Habit::Steady,
    Habit::Steady,
    Habit::Steady,
    Habit::Resting,
    Habit::Pipelined,
    Habit::Pipelined,
    Habit::Uploading,
    Habit::ReadingSlowly,
];

impl Habit {
    /// Of the client with this number.
    pub fn of(number: usize) -> Habit {
        HABITS[number % HABITS.len()]
    }
}

/// What all clients of a soak share.
pub struct Shared {
    pub start: Instant,
    pub proxies: Vec<SocketAddr>,
    pub requests: Mutex<Vec<Request>>,
    pub is_over: std::sync::atomic::AtomicBool,
    next: std::sync::atomic::AtomicU64,
}

/// Longer than a client gives a request: what is silent until then stays so.
const PATIENCE: Duration = Duration::from_secs(8);
const DOWNLOAD_BYTES: usize = 150_000;
const UPLOAD_PIECES: usize = 12;
const UPLOAD_PIECE: usize = 16 << 10;
const PIPELINED: usize = 4;

type Body = http_body_util::combinators::BoxBody<bytes::Bytes, std::convert::Infallible>;
type Sender = hyper::client::conn::http1::SendRequest<Body>;

impl Shared {
    pub fn new(start: Instant, proxies: Vec<SocketAddr>) -> Arc<Shared> {
        Arc::new(Shared {
            start,
            proxies,
            requests: Mutex::default(),
            is_over: std::sync::atomic::AtomicBool::new(false),
            next: std::sync::atomic::AtomicU64::new(0),
        })
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn is_over(&self) -> bool {
        self.is_over.load(std::sync::atomic::Ordering::Relaxed)
    }

    fn number(&self) -> String {
        format!("n{}", self.next.fetch_add(1, std::sync::atomic::Ordering::Relaxed))
    }

    fn note(&self, asked: Asked, end: End) {
        let ended_at = self.now();
        let Asked { number, kind, proxy, sent_at } = asked;
        let request = Request { number, kind, proxy, sent_at, ended_at, end };
        self.requests.lock().expect("no panic under this lock").push(request);
    }
}

/// A request that is under way.
#[derive(Clone)]
struct Asked {
    number: String,
    kind: Kind,
    proxy: usize,
    sent_at: Duration,
}

/// Runs one client until the soak is over.
pub async fn run(shared: Arc<Shared>, habit: Habit, seed: u64) {
    let mut random = Random::new(seed);
    while !shared.is_over() {
        let proxy = random.below(shared.proxies.len());
        let connecting = tokio::net::TcpStream::connect(shared.proxies[proxy]);
        let stream = match tokio::time::timeout(Duration::from_secs(1), connecting).await {
            Ok(Ok(stream)) => stream,
            _ => {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        if habit == Habit::Pipelined {
            pipeline(&shared, stream, proxy, &mut random).await;
        } else {
            keep_using(&shared, stream, proxy, habit, &mut random).await;
        }
    }
}

fn pause(habit: Habit, random: &mut Random) -> Duration {
    let (low, high) = match habit {
        Habit::Resting => (300, 4000),
        Habit::Steady => (10, 60),
        _ => (20, 200),
    };
    random.between(Duration::from_millis(low), Duration::from_millis(high))
}

/// One request after the other, until the connection ends.
async fn keep_using(
    shared: &Shared,
    stream: tokio::net::TcpStream,
    proxy: usize,
    habit: Habit,
    random: &mut Random,
) {
    let io = hyper_util::rt::TokioIo::new(stream);
    let Ok((mut sender, connection)) = hyper::client::conn::http1::handshake::<_, Body>(io).await
    else {
        return;
    };
    tokio::spawn(async move {
        let _ = connection.await;
    });
    while !shared.is_over() {
        if sender.ready().await.is_err() {
            return;
        }
        let kind = match habit {
            Habit::Uploading => Kind::Upload,
            Habit::ReadingSlowly => Kind::Download,
            _ if random.chance(0.3) => Kind::Filing,
            _ => Kind::Lookup,
        };
        let asked = Asked { number: shared.number(), kind, proxy, sent_at: shared.now() };
        let end = match tokio::time::timeout(PATIENCE, ask(&mut sender, &asked)).await {
            Ok(end) => end,
            Err(_) => End::Silence,
        };
        let goes_on = matches!(end, End::Answered { .. });
        shared.note(asked, end);
        if !goes_on {
            return;
        }
        tokio::time::sleep(pause(habit, random)).await;
    }
}

async fn ask(sender: &mut Sender, asked: &Asked) -> End {
    let number = &asked.number;
    let (method, target, body) = match asked.kind {
        Kind::Lookup => ("GET", format!("/stock/{number}"), whole(bytes::Bytes::new())),
        Kind::Filing => ("POST", "/orders".to_string(), whole(number.clone())),
        Kind::Upload => ("POST", "/orders".to_string(), pieces()),
        Kind::Download => (
            "GET",
            format!("/documents/{number}?size={DOWNLOAD_BYTES}"),
            whole(bytes::Bytes::new()),
        ),
    };
    let request = hyper::Request::builder()
        .method(method)
        .uri(target)
        .header("host", "shop.example")
        .header("x-request", number)
        .header("vanepath-deadline-ms", DEADLINE.as_millis().to_string())
        .body(body)
        .expect("a good request");
    let Ok(answer) = sender.send_request(request).await else { return End::Cut };
    let (head, mut body) = answer.into_parts();
    let verdict = head.headers.get(vanepath_config::execution_status::HEADER);
    let verdict = verdict.and_then(|value| value.to_str().ok()).unwrap_or("").to_string();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return End::Cut };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
        if asked.kind == Kind::Download {
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    }
    let status = head.status.as_u16();
    End::Answered { status, verdict, is_right: is_right(asked, &bytes) }
}

/// Whether a success is the answer to this request, and whole.
fn is_right(asked: &Asked, bytes: &[u8]) -> bool {
    if asked.kind == Kind::Download {
        return bytes == crate::stub::pattern(&asked.number, DOWNLOAD_BYTES);
    }
    let Ok(value) = jzon::parse(&String::from_utf8_lossy(bytes)) else { return false };
    let sent = match asked.kind {
        Kind::Upload => UPLOAD_PIECES * UPLOAD_PIECE,
        Kind::Filing => asked.number.len(),
        _ => 0,
    };
    value["request"].as_str() == Some(&asked.number) && value["bodyBytes"].as_usize() == Some(sent)
}

fn whole(bytes: impl Into<bytes::Bytes>) -> Body {
    http_body_util::Full::new(bytes.into()).boxed()
}

/// A long body that takes a second to come.
fn pieces() -> Body {
    struct Pieces {
        left: usize,
        pulse: tokio::time::Interval,
    }
    impl hyper::body::Body for Pieces {
        type Data = bytes::Bytes;
        type Error = std::convert::Infallible;

        fn poll_frame(
            mut self: std::pin::Pin<&mut Self>,
            context: &mut std::task::Context<'_>,
        ) -> std::task::Poll<Option<Result<hyper::body::Frame<bytes::Bytes>, Self::Error>>>
        {
            if self.left == 0 {
                return std::task::Poll::Ready(None);
            }
            std::task::ready!(self.pulse.poll_tick(context));
            self.left -= 1;
            let piece = bytes::Bytes::from(vec![b'x'; UPLOAD_PIECE]);
            std::task::Poll::Ready(Some(Ok(hyper::body::Frame::data(piece))))
        }
    }
    let pulse = tokio::time::interval(Duration::from_millis(80));
    Pieces { left: UPLOAD_PIECES, pulse }.boxed()
}

/// Several lookups at once, then their answers in that order, until the connection ends.
async fn pipeline(
    shared: &Shared,
    mut stream: tokio::net::TcpStream,
    proxy: usize,
    random: &mut Random,
) {
    let mut kept = Vec::new();
    while !shared.is_over() {
        let mut text = String::new();
        let mut all = Vec::new();
        for _ in 0..PIPELINED {
            let number = shared.number();
            let sent_at = shared.now();
            text += &format!(
                "GET /stock/{number} HTTP/1.1\r\nhost: shop.example\r\nx-request: {number}\r\n\
                 vanepath-deadline-ms: {}\r\n\r\n",
                DEADLINE.as_millis()
            );
            all.push(Asked { number, kind: Kind::Lookup, proxy, sent_at });
        }
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        for asked in all {
            let limit = PATIENCE * PIPELINED as u32;
            let (end, is_last) =
                match tokio::time::timeout(limit, answer(&mut stream, &mut kept, &asked)).await {
                    Ok(answered) => answered,
                    Err(_) => (End::Silence, true),
                };
            shared.note(asked, end);
            if is_last {
                // What was behind it was never read, or its end is not known: nothing is said of it.
                return;
            }
        }
        tokio::time::sleep(pause(Habit::Pipelined, random)).await;
    }
}

/// The next answer on a connection, and whether it is the last one there.
async fn answer(
    stream: &mut tokio::net::TcpStream,
    kept: &mut Vec<u8>,
    asked: &Asked,
) -> (End, bool) {
    loop {
        if let Some(answer) = parsed(kept, asked) {
            return answer;
        }
        let mut buffer = [0; 16 << 10];
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => kept.extend_from_slice(&buffer[..count]),
            _ => return (End::Cut, true),
        }
    }
}

/// The first answer of what was read, once it is whole.
fn parsed(kept: &mut Vec<u8>, asked: &Asked) -> Option<(End, bool)> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let begin = match head.parse(kept) {
        Ok(httparse::Status::Complete(begin)) => begin,
        Ok(httparse::Status::Partial) => return None,
        Err(_) => {
            let end = End::Answered { status: 200, verdict: String::new(), is_right: false };
            return Some((end, true));
        }
    };
    let get = |name: &str| {
        let found = head.headers.iter().find(|one| one.name.eq_ignore_ascii_case(name));
        found.and_then(|one| std::str::from_utf8(one.value).ok()).unwrap_or("").to_string()
    };
    let length: usize = get("content-length").parse().unwrap_or(0);
    let status = head.code.unwrap_or(0);
    let verdict = get(vanepath_config::execution_status::HEADER);
    let is_last = get("connection").eq_ignore_ascii_case("close");
    let body = kept.get(begin..begin + length)?.to_vec();
    kept.drain(..begin + length);
    let is_right = is_right(asked, &body);
    Some((End::Answered { status, verdict, is_right }, is_last))
}
