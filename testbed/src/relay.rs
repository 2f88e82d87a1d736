//! A TCP relay between the address that a daemon advertises and the address at which it listens. It simulates
//! network partitions, blocked directions, delays and connection resets.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Size of the buffer for each direction of a connection.
const BUFFER_BYTES: usize = 64 << 10;

/// State of the link to a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Link {
    /// No data passes in either direction. Connections stay open.
    pub is_partitioned: bool,
    /// No data passes from the daemon to its peers. Data from the peers still passes.
    pub is_outbound_blocked: bool,
    /// Delay of all data that passes.
    pub delay: Duration,
    /// Number of resets so far; a change closes all connections over the link.
    pub resets: u64,
}

/// Direction of data through a relay.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToDaemon,
    FromDaemon,
}

impl Link {
    fn passes(&self, direction: Direction) -> bool {
        let is_blocked = self.is_outbound_blocked && direction == Direction::FromDaemon;
        !self.is_partitioned && !is_blocked
    }
}

/// A relay that accepts connections until it is dropped.
pub struct Relay {
    link: watch::Sender<Link>,
    accept_task: tokio::task::JoinHandle<()>,
}

impl Relay {
    /// Starts to accept connections at `listen` and to relay them to `target`.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind(listen).await?;
        let (link, receiver) = watch::channel(Link::default());
        let accept_task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(relay_connection(client, target, receiver.clone()));
            }
        });
        Ok(Relay { link, accept_task })
    }

    /// Sets the state of the link.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

async fn relay_connection(client: TcpStream, target: SocketAddr, mut link: watch::Receiver<Link>) {
    // A connection that is opened over a partitioned link hangs until the partition ends.
    let Ok(resets) = link.wait_for(|link| !link.is_partitioned).await.map(|link| link.resets)
    else {
        return;
    };
    let Ok(daemon) = TcpStream::connect(target).await else { return };
    let _ = (client.set_nodelay(true), daemon.set_nodelay(true));
    let (client_reader, client_writer) = client.into_split();
    let (daemon_reader, daemon_writer) = daemon.into_split();
    tokio::select! {
        () = copy(client_reader, daemon_writer, link.clone(), Direction::ToDaemon) => {}
        () = copy(daemon_reader, client_writer, link.clone(), Direction::FromDaemon) => {}
        _ = link.wait_for(|link| link.resets != resets) => {}
    }
}

async fn copy(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    direction: Direction,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = reader.read(&mut buffer).await;
        // Data that was read before the link was blocked is delivered once the link passes data again.
        let Ok(link) = link.wait_for(|link| link.passes(direction)).await.map(|link| *link) else {
            return;
        };
        if link.delay > Duration::ZERO {
            tokio::time::sleep(link.delay).await;
        }
        match read {
            Ok(count) if count > 0 => {
                if writer.write_all(&buffer[..count]).await.is_err() {
                    return;
                }
            }
            _ => return,
        }
    }
}
