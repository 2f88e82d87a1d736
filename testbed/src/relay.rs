//! A TCP relay between the address that a daemon advertises and the address at which it listens. It simulates
//! network partitions, blocked directions, delays and connection resets. Like a wide-area path it passes on the end
//! of each direction by itself, and resets; a delay holds data up without limiting its rate.

use rustix::net::Shutdown;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

/// Size of one read.
const READ_BYTES: usize = 16 << 10;
/// How much data in each direction of a connection is under way at most.
const MAX_CHUNKS_UNDER_WAY: usize = 16;

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
    let both_directions = async {
        tokio::try_join!(
            copy(&client, &daemon, link.clone(), Direction::ToDaemon),
            copy(&daemon, &client, link.clone(), Direction::FromDaemon),
        )
    };
    let mut link_state = link.clone();
    let has_ended = tokio::select! {
        copied = both_directions => copied.is_ok(),
        _ = link_state.wait_for(|link| link.resets != resets) => false,
    };
    if !has_ended {
        // Dropping the connections now resets them.
        let _ = (client.set_zero_linger(), daemon.set_zero_linger());
    }
}

/// Data that was read, or the end of the stream, and when it arrives on the other side.
struct Chunk {
    due: Instant,
    data: Vec<u8>,
}

/// Copies one direction until its end, which is passed on.
///
/// # Errors
/// If either connection breaks.
async fn copy(
    from: &TcpStream,
    to: &TcpStream,
    mut link: watch::Receiver<Link>,
    direction: Direction,
) -> io::Result<()> {
    let mut under_way: VecDeque<Chunk> = VecDeque::new();
    let mut is_ended = false;
    loop {
        let may_read = !is_ended && under_way.len() < MAX_CHUNKS_UNDER_WAY;
        let delay = link.borrow().delay;
        tokio::select! {
            data = read(from), if may_read => {
                let data = data?;
                is_ended = data.is_empty();
                under_way.push_back(Chunk { due: Instant::now() + delay, data });
            }
            is_open = arrival(&mut link, under_way.front(), direction), if !under_way.is_empty() => {
                let Some(chunk) = under_way.pop_front().filter(|_| is_open) else { return Ok(()) };
                if chunk.data.is_empty() {
                    return Ok(rustix::net::shutdown(to, Shutdown::Write)?);
                }
                write_all(to, &chunk.data).await?;
            }
        }
    }
}

/// Waits until the data arrives on the other side. Returns false if the relay was dropped.
async fn arrival(
    link: &mut watch::Receiver<Link>,
    chunk: Option<&Chunk>,
    direction: Direction,
) -> bool {
    if let Some(chunk) = chunk {
        tokio::time::sleep_until(chunk.due).await;
    }
    // Data that was read before the link was blocked is delivered once the link passes data again.
    link.wait_for(|link| link.passes(direction)).await.is_ok()
}

/// Reads what has arrived; nothing at the end of the stream.
async fn read(from: &TcpStream) -> io::Result<Vec<u8>> {
    loop {
        from.readable().await?;
        let mut buffer = vec![0; READ_BYTES];
        match from.try_read(&mut buffer) {
            Ok(count) => {
                buffer.truncate(count);
                return Ok(buffer);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

async fn write_all(to: &TcpStream, mut data: &[u8]) -> io::Result<()> {
    while !data.is_empty() {
        to.writable().await?;
        match to.try_write(data) {
            Ok(count) => data = &data[count..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
