//! Calls between nodes over narrow links.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use vanepath_cluster::transport::{Client, TransportError, serve};
use vanepath_cluster::wire::{Handshake, Reply, Request, SYSTEM};

const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// What the link forwards at a time, and the pause after it: 200 kB/s.
const CHUNK_BYTES: usize = 4_000;
const CHUNK_PAUSE: Duration = Duration::from_millis(20);
/// Four times what the link carries within the time-out of the call.
const LONG_REPLY_BYTES: usize = 320_000;

fn handshake(name: &str) -> Handshake {
    Handshake { system: SYSTEM.to_string(), fleet: "fleet".to_string(), name: name.to_string() }
}

/// Starts a node whose replies to store requests are as long as the request says.
async fn start_node() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, handshake("two"), Arc::default(), |request| async move {
        match request {
            Request::Store(_) => Reply::Store(vec![7; LONG_REPLY_BYTES].into()),
            _ => Reply::Unsupported,
        }
    }));
    address
}

/// Forwards connections to an address; what comes back is as slow as the link, and stops after `stop_after`
/// bytes.
async fn start_narrow_link(target: SocketAddr, stop_after: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let server = TcpStream::connect(target).await.unwrap();
            let (mut from_client, mut to_client) = client.into_split();
            let (mut from_server, mut to_server) = server.into_split();
            tokio::spawn(async move { tokio::io::copy(&mut from_client, &mut to_server).await });
            tokio::spawn(async move {
                let mut forwarded = 0;
                let mut chunk = [0; CHUNK_BYTES];
                while forwarded < stop_after {
                    let length = from_server.read(&mut chunk).await.unwrap_or(0);
                    if length == 0 || to_client.write_all(&chunk[..length]).await.is_err() {
                        return;
                    }
                    forwarded += length;
                    tokio::time::sleep(CHUNK_PAUSE).await;
                }
                // The link stays open and silent.
                std::future::pending::<()>().await;
            });
        }
    });
    address
}

/// Guards against a node that never learns a long state, because its link carries less than that within the
/// time-out of a call (incident 0022).
#[tokio::test]
async fn a_long_reply_on_a_narrow_link_arrives() {
    let link = start_narrow_link(start_node().await, usize::MAX).await;
    let client = Client::new(handshake("one"), Arc::default());
    let reply = client.call(link, &Request::Store(vec![1].into()), CALL_TIMEOUT, false).await;
    let Ok(Reply::Store(bytes)) = reply else { panic!("{:?}", reply.err()) };
    assert_eq!(bytes.len(), LONG_REPLY_BYTES);
}

/// A reply that stands still ends the call, however much of it has arrived.
#[tokio::test]
async fn a_reply_that_stands_still_ends_the_call() {
    let link = start_narrow_link(start_node().await, LONG_REPLY_BYTES / 8).await;
    let client = Client::new(handshake("one"), Arc::default());
    let started_at = Instant::now();
    let reply = client.call(link, &Request::Store(vec![1].into()), CALL_TIMEOUT, false).await;
    assert_eq!(reply.err(), Some(TransportError::Closed));
    assert!(started_at.elapsed() < Duration::from_secs(5), "{:?}", started_at.elapsed());
}

/// The bytes of a message with its length, as nodes send them.
fn frame(message: &impl serde::Serialize) -> Vec<u8> {
    let body = vanepath_cluster::wire::encode(message);
    [&(body.len() as u32).to_be_bytes()[..], &body].concat()
}

/// Guards against orders that are carried out seconds after their client has left (incident 0028): a node that
/// stood still finds a request in its socket, with the end of the connection behind it, and does not handle it.
#[tokio::test]
async fn a_request_whose_requester_has_left_is_not_handled() {
    let handled = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    // The node does not run yet: the kernel accepts connections and keeps what is sent on them.
    for _ in 0..50 {
        let mut requester = TcpStream::connect(address).await.unwrap();
        requester.write_all(&frame(&handshake("one"))).await.unwrap();
        requester.write_all(&frame(&Request::Store(vec![1].into()))).await.unwrap();
    }
    let count = handled.clone();
    tokio::spawn(serve(listener, handshake("two"), Arc::default(), move |_| {
        let count = count.clone();
        async move {
            count.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            Reply::Unsupported
        }
    }));
    let client = Client::new(handshake("three"), Arc::default());
    for _ in 0..3 {
        let request = Request::Store(vec![1].into());
        client.call(address, &request, CALL_TIMEOUT, false).await.expect("a reply");
    }
    let handled = handled.load(std::sync::atomic::Ordering::Relaxed);
    assert_eq!(handled, 3, "requests of others than the client that waits were handled");
}
