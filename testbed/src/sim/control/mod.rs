//! Nodes in the simulator: gossip for all, the consensus core of a store with its disk, a registry's
//! calls to the stores and its singleton role. These are thin shells round the programs' cores, like
//! those of the programs themselves.

mod discovery;
mod gossip;
mod nodes;
mod operators;
mod registries;
mod store_calls;
mod stores;
