//! Sibling traffic and news: how the system's own daemons know each other (design 5).

pub mod counters;
pub mod endpoint_cache;
pub mod gossip;
pub mod node;
pub mod peer_selection;
pub mod read_index;
pub mod transport;
pub mod wire;
