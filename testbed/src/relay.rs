//! A relay between the address that a daemon advertises and the one that it listens at, so that
//! links can be cut without a word and delayed.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Link {
    /// Nothing passes, and nobody is told.
    pub is_partitioned: bool,
    /// Nothing passes from the daemon to who connected to it; what is sent to it comes.
    pub is_outbound_blocked: bool,
    pub delay: Duration,
    /// Raised by one, it ends all connections that there are.
    pub resets: u64,
}

/// Which way bytes go through a relay.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    ToDaemon,
    FromDaemon,
}

impl Link {
    fn carries(&self, way: Way) -> bool {
        let is_mute = self.is_outbound_blocked && way == Way::FromDaemon;
        !self.is_partitioned && !is_mute
    }
}

pub struct Relay {
    link: tokio::sync::watch::Sender<Link>,
    task: tokio::task::JoinHandle<()>,
}

impl Relay {
    pub async fn start(at: SocketAddr, to: SocketAddr) -> std::io::Result<Relay> {
        let listener = tokio::net::TcpListener::bind(at).await?;
        let (link, watch) = tokio::sync::watch::channel(Link::default());
        let task = tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(join(near, to, watch.clone()));
            }
        });
        Ok(Relay { link, task })
    }

    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn join(
    near: tokio::net::TcpStream,
    to: SocketAddr,
    mut watch: tokio::sync::watch::Receiver<Link>,
) {
    // A connection made over a cut link just hangs.
    let Ok(resets) = watch.wait_for(|link| !link.is_partitioned).await.map(|link| link.resets)
    else {
        return;
    };
    let Ok(far) = tokio::net::TcpStream::connect(to).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    tokio::select! {
        () = pass(near_in, far_out, watch.clone(), Way::ToDaemon) => {}
        () = pass(far_in, near_out, watch.clone(), Way::FromDaemon) => {}
        _ = watch.wait_for(|link| link.resets != resets) => {}
    }
}

async fn pass(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut watch: tokio::sync::watch::Receiver<Link>,
    way: Way,
) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let read = from.read(&mut buffer).await;
        // What is under way when the link is cut stays under way.
        let Ok(link) = watch.wait_for(|link| link.carries(way)).await.map(|link| *link) else {
            return;
        };
        if link.delay > Duration::ZERO {
            tokio::time::sleep(link.delay).await;
        }
        match read {
            Ok(count) if count > 0 => {
                if to.write_all(&buffer[..count]).await.is_err() {
                    return;
                }
            }
            _ => return,
        }
    }
}
