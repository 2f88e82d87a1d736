//! Sibling traffic and news: how the system's own daemons know each other (design 5).

pub mod daemon;
pub mod floor;
pub mod link;
pub mod lists;
pub mod news;
pub mod peer_selection;
pub mod tally;
pub mod wire;
