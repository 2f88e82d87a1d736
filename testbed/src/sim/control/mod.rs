//! Nodes in the simulator: gossip for all nodes, the consensus core and the disk of stores, and for
//! registries the calls to the stores, the endpoint list and the work of the leader. The modules
//! are thin shells around the programs' cores, like the shells in the programs themselves.

mod discovery;
mod gossip;
mod nodes;
mod operators;
mod registries;
mod store_calls;
mod stores;
