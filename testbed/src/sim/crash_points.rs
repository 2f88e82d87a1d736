//! Crash points: where a node can be killed in the middle of a step (design 10.4).

use std::time::Duration;

/// A point in a node's processing at which it can be killed. Visits of the planned point are
/// counted, and the planned visit kills the node. The command line uses the names of earlier
/// versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum CrashPoint {
    /// A store is about to write to its disk.
    BeforeSave,
    /// A store's write is complete.
    AfterSave,
    /// A store is about to send a request to another store.
    BeforeCall,
    /// A store is about to send a response.
    BeforeAnswer,
    /// A store has sent a response.
    AfterAnswer,
    /// A store is about to publish a committed value.
    #[strum(serialize = "before-chosen")]
    BeforeCommit,
    /// A registry is about to send a request to a store.
    #[strum(serialize = "before-store-ask")]
    BeforeStoreRequest,
    /// A registry has sent a request to a store.
    #[strum(serialize = "after-store-ask")]
    AfterStoreRequest,
    /// A registry is about to acknowledge an operator's call.
    #[strum(serialize = "before-receipt")]
    BeforeAcknowledgement,
    /// A proxy is about to connect to a server.
    BeforeConnect,
    /// A proxy is about to send a request to a server.
    BeforeSend,
    /// A proxy has sent a request to a server.
    AfterSend,
    /// A proxy is about to answer a client.
    #[strum(serialize = "before-passing")]
    BeforeResponse,
    /// A proxy has answered a client.
    #[strum(serialize = "after-passing")]
    AfterResponse,
}

/// A planned crash: the `visit`-th visit of the point from time `from` on kills the node.
#[derive(Clone, Copy, Debug)]
pub struct PlannedCrash {
    /// The point.
    pub point: CrashPoint,
    /// Which visit kills the node, counted from 1.
    pub visit: u32,
    /// Visits before this time are not counted.
    pub from: Duration,
}
