//! The actions of a scenario, which the simulator carries out at their times.

use super::traffic::FailureMode;
use crate::sim::network::HostId;
use std::time::Duration;

/// A single action. Nodes and servers are named by their indexes.
#[derive(Clone, Debug)]
pub enum Action {
    /// Starts a node that is down.
    Start(usize),
    /// Ends all nodes and their machines.
    CrashAll,
    /// Starts all nodes.
    StartAll,
    /// Ends a node at once.
    Crash {
        /// The node.
        node: usize,
        /// Its machine loses power.
        loses_power: bool,
    },
    /// Asks a node to stop in the planned way.
    Terminate(usize),
    /// A node's machine stands still.
    Freeze(usize),
    /// A node's machine goes on.
    Resume(usize),
    /// A store's disk is lost.
    Wipe(usize),
    /// Messages between the two sides are lost.
    Cut {
        /// One side.
        left: Vec<HostId>,
        /// The other side.
        right: Vec<HostId>,
        /// Only what the left side sends is lost.
        one_way: bool,
    },
    /// Ends a cut.
    Uncut {
        /// One side.
        left: Vec<HostId>,
        /// The other side.
        right: Vec<HostId>,
        /// Only what the left side sends was lost.
        one_way: bool,
    },
    /// Some messages take up to this much longer.
    DelayNetwork(Duration),
    /// A store's disk is full, or has room again.
    DiskFull(usize, bool),
    /// A node's wall clock jumps by so many milliseconds.
    JumpWallClock(usize, i64),
    /// Ends a server.
    StopServer {
        /// The server.
        server: usize,
        /// Its machine loses power.
        loses_power: bool,
    },
    /// Starts a server that is down.
    StartServer(usize),
    /// A server's machine stands still, or goes on.
    FreezeServer(usize, bool),
    /// So many times the ordinary traffic from the clients of this zone.
    Surge(&'static str, f64),
    /// A part of a server's requests fails.
    SetFailureMode {
        /// The server.
        server: usize,
        /// How they fail.
        failure_mode: FailureMode,
        /// The part that fails, from 0 to 1.
        rate: f64,
    },
    /// The platform marks a server as draining.
    MarkDraining(usize),
    /// The platform removes a server from its list.
    RemoveServer(usize),
    /// The address of a server passes to another service's new server.
    ReassignAddress(usize),
    /// Replaces a core machine by an empty one at a new address.
    Replace {
        /// The registry on it.
        registry: usize,
        /// The store on it.
        store: usize,
    },
    /// So many more downloads a second, of three seconds each; 0: ordinary traffic again.
    Downloads(f64),
    /// The platform serves faulty endpoint lists, or good ones again.
    FaultyEndpointLists(bool),
    /// Binds filings to the middle region, or to the north as usual.
    MoveRegionBounds(bool),
    /// An operator drains a zone, under a key.
    DrainZone(&'static str),
    /// An operator restores a zone, under a key.
    RestoreZone(&'static str),
    /// A call of an evacuation, without a key.
    KeylessCall {
        /// The evacuation.
        evacuation: usize,
        /// 0 drains the zone, 1 restores it.
        step: usize,
        /// The registry that receives the call dies soon after.
        registry_dies: bool,
    },
    /// An operator submits a new configuration.
    ReplaceConfig,
    /// An operator submits a configuration with its classes in another order.
    ReorderClasses,
    /// An operator reads the configuration.
    Read,
    /// Two operators submit different configurations under one version.
    RaceOperators,
    /// What this operation submitted, by an operator whose answer was lost.
    Resubmit(usize),
}
