//! Guards that release or count something when a request ends, however it ends.

use super::{Counter, Proxy};
use std::sync::Arc;

/// Counts a request as in flight at a server until it is dropped.
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

/// Counts a client that disconnected before there was a response to send: the future of its request
/// is then dropped, and with it this guard while it is still armed.
pub(super) struct ClientDisconnectGuard<'p> {
    proxy: &'p Proxy,
    is_armed: bool,
}

impl<'p> ClientDisconnectGuard<'p> {
    pub fn new(proxy: &'p Proxy) -> ClientDisconnectGuard<'p> {
        ClientDisconnectGuard { proxy, is_armed: true }
    }

    /// To be called as soon as there is a response to send.
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
