//! The cluster layer that all programs share: membership and gossip, failure detection, the transport
//! between nodes, the read index at start-up, and the shell of a node (design 5).
//!
//! - [`gossip`] - the pure core that spreads the soft state
//! - [`peer_selection`] - whom a node pulls from
//! - [`read_index`] - what a node has to know before it applies any configuration
//! - [`endpoint_cache`] - the endpoint list and its deltas
//! - [`wire`] - the messages between nodes
//! - [`transport`] - connections between nodes
//! - [`node`] - the shell: clock, log, gossip actor, HTTP, shutdown
//! - [`mod@counters`] - metrics

#![warn(missing_docs)]

pub mod counters;
pub mod endpoint_cache;
pub mod gossip;
pub mod node;
pub mod peer_selection;
pub mod read_index;
pub mod transport;
pub mod wire;
