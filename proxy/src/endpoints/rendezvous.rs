//! Rendezvous hashing (Thaler and Ravishankar, 1998): every proxy computes the same order of all
//! proxies for a server, without exchanging messages.

/// The rank of a node for one key; the lowest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RendezvousRank<'a> {
    /// Hash of the key together with the node's name.
    pub(super) hash: u64,
    /// The node's name, which breaks ties between equal hashes.
    pub(super) name: &'a str,
}
