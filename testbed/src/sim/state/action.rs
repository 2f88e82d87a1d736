//! The actions of a scenario, which the simulator carries out at scheduled times.

use super::traffic::FailureMode;
use crate::sim::network::HostId;
use std::time::Duration;

/// A single action. Nodes and servers are identified by their indexes.
#[derive(Clone, Debug)]
pub enum Action {
    /// Starts a node that is down.
    Start(usize),
    /// Ends all nodes' processes and cuts the power of their machines.
    CrashAll,
    /// Starts all nodes.
    StartAll,
    /// Kills a node's process.
    Crash {
        /// The node.
        node: usize,
        /// Its machine loses power.
        loses_power: bool,
    },
    /// Asks a node to stop gracefully.
    Terminate(usize),
    /// Freezes a node's machine.
    Freeze(usize),
    /// Resumes a node's machine.
    Resume(usize),
    /// Erases a store's disk.
    Wipe(usize),
    /// Drops messages between the two sides.
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
    /// Delays some messages by up to this much more.
    DelayNetwork(Duration),
    /// Makes a store's disk full, or gives it free space again.
    DiskFull(usize, bool),
    /// Moves a node's wall clock by this many milliseconds.
    JumpWallClock(usize, i64),
    /// Kills a server's process.
    StopServer {
        /// The server.
        server: usize,
        /// Its machine loses power.
        loses_power: bool,
    },
    /// Starts a server that is down.
    StartServer(usize),
    /// Freezes a server's machine, or resumes it.
    FreezeServer(usize, bool),
    /// Multiplies the ordinary traffic from the clients of this zone by this factor.
    Surge(&'static str, f64),
    /// Makes a fraction of a server's requests fail.
    SetFailureMode {
        /// The server.
        server: usize,
        /// How they fail.
        failure_mode: FailureMode,
        /// The fraction that fails, from 0 to 1.
        rate: f64,
    },
    /// The platform marks a server as draining.
    MarkDraining(usize),
    /// The platform removes a server from its list.
    RemoveServer(usize),
    /// Reassigns the address of a server to a new server of another service.
    ReassignAddress(usize),
    /// Replaces a core machine by an empty one at a new address.
    Replace {
        /// The registry on it.
        registry: usize,
        /// The store on it.
        store: usize,
    },
    /// Adds this many downloads a second, of three seconds each; 0 restores the ordinary traffic.
    Downloads(f64),
    /// The platform serves faulty endpoint lists, or good ones again.
    FaultyEndpointLists(bool),
    /// Restricts filings to the middle region, or to the north region as usual.
    MoveRegionBounds(bool),
    /// An operator drains a zone, with an idempotency key.
    DrainZone(&'static str),
    /// An operator restores a zone, with an idempotency key.
    RestoreZone(&'static str),
    /// A call of an evacuation, without an idempotency key.
    KeylessCall {
        /// The evacuation.
        evacuation: usize,
        /// 0 drains the zone, 1 restores it.
        step: usize,
        /// The registry that receives the call is killed soon after.
        registry_dies: bool,
    },
    /// An operator submits a new configuration.
    ReplaceConfig,
    /// An operator takes a key away from a tenant, moves it or adds one.
    ChangeKeys(usize),
    /// An operator submits a configuration with its classes in another order.
    ReorderClasses,
    /// An operator reads the configuration.
    Read,
    /// Two operators submit different configurations that name the same version.
    RaceOperators,
    /// An operator whose answer was lost submits the change of this operation again.
    Resubmit(usize),
}
