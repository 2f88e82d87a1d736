//! The cluster layer that all programs share: membership and gossip, failure detection, the transport
//! between nodes, the read index at start-up, and the runtime shell of a node (design 5).
//!
//! - [`gossip`] - the state machine that replicates the soft state (no I/O)
//! - [`peer_selection`] - which peers a node pulls from
//! - [`read_index`] - the revision that a node must reach before it applies any configuration
//! - [`config_lease`] - until when a node may rely on its configuration being the newest one
//! - [`lingering_close`] - when a connection may be closed without destroying the last response
//! - [`endpoint_cache`] - the endpoint list and its deltas
//! - [`wire`] - the messages between nodes
//! - [`transport`] - connections between nodes
//! - [`node`] - the runtime shell: clock, logging, gossip actor, HTTP, shutdown
//! - [`mod@counters`], [`histogram`] - metrics

#![warn(missing_docs)]

pub mod config_lease;
pub mod counters;
pub mod endpoint_cache;
pub mod gossip;
pub mod histogram;
pub mod lingering_close;
pub mod node;
pub mod peer_selection;
pub mod read_index;
pub mod request_fence;
pub mod transport;
pub mod wire;
