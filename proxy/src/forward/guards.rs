//! Guards that undo or count something when a request ends, however it ends.

use super::{Counter, Proxy};
use std::sync::Arc;

/// One request in flight at a server; the server is free for another one when this is dropped.
pub(super) struct InFlightGuard {
    pub proxy: Arc<Proxy>,
    /// The slot of the server.
    pub slot: usize,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.proxy.endpoints.release(self.slot);
    }
}

/// Counts a client that disconnected before it got anything: dropped while armed, it was dropped
/// with the future of its request.
pub(super) struct ClientDisconnectGuard<'p> {
    proxy: &'p Proxy,
    is_armed: bool,
}

impl<'p> ClientDisconnectGuard<'p> {
    pub fn new(proxy: &'p Proxy) -> ClientDisconnectGuard<'p> {
        ClientDisconnectGuard { proxy, is_armed: true }
    }

    /// The client gets an answer.
    pub fn disarm(&mut self) {
        self.is_armed = false;
    }
}

impl Drop for ClientDisconnectGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            self.proxy.counters.increment(Counter::ClientDisconnects);
        }
    }
}
