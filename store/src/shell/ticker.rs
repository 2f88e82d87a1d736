//! The periodic task of a store: passes the cluster view to the replica, publishes the store's status, and
//! writes the hints.

use super::actor::{Deliver, StoreActor};
use super::{Counter, Counters, StoreDirectory};
use crate::consensus::{Event, Summary};
use crate::disk::Disk;
use crate::hints::{HintWriter, Hints};
use arc_swap::ArcSwap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::MissedTickBehavior;
use vanepath_cluster::node::Node;
use vanepath_cluster::wire::NodeStatus;

/// Interval of `Event::Tick`.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

pub(super) struct Ticker {
    pub actor: xtra::Address<StoreActor>,
    pub disk: Arc<Disk>,
    pub node: Arc<Node>,
    pub counters: Arc<Counters>,
    pub summary: Arc<ArcSwap<Summary>>,
    pub directory: Arc<ArcSwap<StoreDirectory>>,
}

impl Ticker {
    /// Runs until the actor has stopped.
    pub async fn run(self, hints: Hints) {
        let mut hint_writer = HintWriter::new(hints);
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let view = self.node.current_view.load_full();
            if let Some(hints) = hint_writer.step(self.node.clock.now(), &view) {
                self.save_hints(hints);
            }
            let directory = StoreDirectory::of(&view);
            let live = directory.live.clone();
            self.directory.store(Arc::new(directory));
            let revision = view.committed.revision;
            let events = [
                Event::LiveStores(live),
                Event::RevisionHeard { revision },
                Event::LeaseWanted(view.config.tenants.is_some()),
                Event::Tick,
            ];
            for event in events {
                if self.actor.send(Deliver(event)).await.is_err() {
                    return;
                }
            }
            self.publish_status(revision).await;
        }
    }

    /// Writes the hints on a blocking thread, so that votes do not wait for them.
    fn save_hints(&self, hints: Hints) {
        let disk = self.disk.clone();
        let counters = self.counters.clone();
        tokio::task::spawn_blocking(move || match disk.save_hints(&hints) {
            Ok(()) => counters.increment(Counter::StoreHintsSaved),
            Err(error) => log::warn!("cannot save hints to the data folder: {error}"),
        });
    }

    async fn publish_status(&self, revision: u64) {
        let summary = self.summary.load();
        let status = NodeStatus {
            ready: summary.is_voting,
            draining: self.node.is_shutting_down(),
            revision,
            empty_disk: summary.is_empty,
            synced: summary.synced,
            disk: Some(summary.disk()),
            ..NodeStatus::default()
        };
        self.node.publish_status(status).await;
    }
}
