//! The registry, vanepath's control plane (design 2.1, 7): it serves the operators' HTTP API,
//! discovers endpoints by reading the platform's list, answers the steering requests of clients and,
//! while it is the leader, publishes the traffic-shift plan.
//!
//! It keeps nothing on disk: the configuration is in the stores, everything else is soft state that
//! is rebuilt by gossip after a restart.

#![warn(missing_docs)]

mod api;
mod control_loop;
pub mod discovery;
pub mod leader;
pub mod shell;
mod state;
pub mod steering;
pub mod store_client;
pub mod traffic_shift;
