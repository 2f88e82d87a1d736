//! Stores: run the consensus core with its disk and carry out its effects.

use crate::sim::crash_points::CrashPoint;
use crate::sim::mutations::Mutation;
use crate::sim::network::{Body, Event, Network, Purpose};
use crate::sim::state::{RoleState, Sim};
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::{gossip, wire};
use vanepath_store::consensus;
use vanepath_store::protocol::Request;
use vanepath_store::shell::StoreDirectory;
use vanepath_store::value::VersionId;

/// How long a store waits for another store's response.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

impl Sim {
    /// A store's regular tick.
    pub(in crate::sim) fn tick_store(&mut self, index: usize) {
        let view = self.nodes[index].view.clone();
        let directory = StoreDirectory::of(&view);
        let live = directory.live.clone();
        let now = self.net.local_time(self.nodes[index].host);
        if let RoleState::Store(store) = &mut self.nodes[index].role_state {
            store.directory = directory;
            if let Some(hints) = store.hint_writer.step(now, &view)
                && !store.disk.is_full
            {
                store.disk.hints = hints;
            }
        }
        self.recover_disk(index);
        let revision = view.committed.revision;
        for event in [
            consensus::Event::LiveStores(live),
            consensus::Event::RevisionHeard { revision },
            consensus::Event::LeaseWanted(view.config.tenants.is_some()),
            consensus::Event::Tick,
        ] {
            self.step_store(index, event);
        }
        let RoleState::Store(store) = &self.nodes[index].role_state else { return };
        let summary = store.core.summary();
        let status = wire::NodeStatus {
            ready: summary.is_voting,
            revision,
            empty_disk: summary.is_empty,
            synced: summary.synced,
            disk: Some(summary.disk()),
            ..wire::NodeStatus::default()
        };
        self.nodes[index].is_ready = summary.is_voting;
        self.step_gossip(index, gossip::Event::StatusChanged(status));
    }

    /// Gives an event to the consensus core and carries out its effects.
    pub(in crate::sim) fn step_store(&mut self, index: usize, event: consensus::Event) {
        if let RoleState::Store(store) = &mut self.nodes[index].role_state {
            store.inbox.push_back(event);
        }
        self.run_store(index);
    }

    /// Reads a disk again that failed and now works, as the program's shell does.
    fn recover_disk(&mut self, index: usize) {
        let RoleState::Store(store) = &mut self.nodes[index].role_state else { return };
        if !store.disk_failed || store.disk.is_full || store.is_writing {
            return;
        }
        store.disk_failed = false;
        let random = self.net.random.draw();
        let recovered = store.disk.recover(random);
        store.inbox.push_back(consensus::Event::DiskRecovered(recovered));
    }

    /// Completes a write to the disk, or fails it because the disk is full.
    pub(in crate::sim) fn disk_write_done(&mut self, index: usize) {
        let RoleState::Store(store) = &mut self.nodes[index].role_state else { return };
        store.is_writing = false;
        store.disk.syncs += 1;
        let in_flight_writes = std::mem::take(&mut store.disk.in_flight_writes);
        if store.disk.is_full {
            store.pending_effects.clear();
            store.disk_failed = true;
            store.inbox.push_front(consensus::Event::DiskFailed);
        } else {
            let loses_syncs = self.mutation == Some(Mutation::DisksLoseSyncs);
            for write in in_flight_writes {
                if loses_syncs {
                    store.disk.unsynced.push(write);
                } else {
                    store.disk.apply(write);
                }
            }
        }
        if self.reaches_crash_point(index, CrashPoint::AfterSave) {
            return;
        }
        self.run_store(index);
    }

    /// Handles the queued events in order, and the effects of each, until a write to the disk is in
    /// flight or the node is killed.
    fn run_store(&mut self, index: usize) {
        let host = self.nodes[index].host;
        loop {
            let RoleState::Store(store) = &mut self.nodes[index].role_state else { return };
            if store.is_writing {
                return;
            }
            let Some(effect) = store.pending_effects.pop_front() else {
                let Some(event) = store.inbox.pop_front() else { return };
                let effects = store.core.step(self.net.local_time(host), event);
                store.pending_effects.extend(effects);
                continue;
            };
            if self.carry_out(index, effect).is_break() {
                return;
            }
        }
    }

    /// Carries out an effect of the consensus core. Breaks if the node is killed at a crash point.
    fn carry_out(&mut self, index: usize, effect: consensus::Effect) -> ControlFlow<()> {
        match effect {
            consensus::Effect::Persist(writes) => {
                self.visit_crash_point(index, CrashPoint::BeforeSave)?;
                self.begin_write(index, writes);
            }
            consensus::Effect::Send { call, incarnation, request } => {
                self.visit_crash_point(index, CrashPoint::BeforeCall)?;
                self.send_to_store(index, call, incarnation, request);
            }
            consensus::Effect::Reset => {
                let random = self.net.random.draw();
                if let RoleState::Store(store) = &mut self.nodes[index].role_state {
                    store.disk.state = None;
                    store.disk.versions.clear();
                    let recovered = store.disk.recover(random);
                    store.inbox.push_front(consensus::Event::Reset(recovered));
                }
            }
            consensus::Effect::Reply { ticket, response } => {
                self.visit_crash_point(index, CrashPoint::BeforeAnswer)?;
                let response = self.corrupt_response(response);
                self.net.reply(ticket, Body::StoreResponse(response));
                self.visit_crash_point(index, CrashPoint::AfterAnswer)?;
            }
            consensus::Effect::ReplyFromDisk { ticket, versions, as_outcome } => {
                self.reply_from_disk(index, ticket, &versions, as_outcome);
            }
            consensus::Effect::Committed(value) => {
                self.visit_crash_point(index, CrashPoint::BeforeCommit)?;
                let committed = Arc::new(value.committed_config());
                self.step_gossip(index, gossip::Event::ConfigCommitted(committed));
            }
            consensus::Effect::Confirmed { revision, began_at } => {
                let event = gossip::Event::RevisionConfirmed { revision, began_at };
                self.step_gossip(index, event);
            }
            consensus::Effect::Log(text) => {
                if text.contains("never happen") {
                    self.violations.push(text.clone());
                }
                let name = self.nodes[index].info.name.clone();
                self.trace_event(|| format!("{name}: {text}"));
            }
        }
        ControlFlow::Continue(())
    }

    fn visit_crash_point(&mut self, index: usize, point: CrashPoint) -> ControlFlow<()> {
        match self.reaches_crash_point(index, point) {
            true => ControlFlow::Break(()),
            false => ControlFlow::Continue(()),
        }
    }

    fn begin_write(&mut self, index: usize, writes: Vec<consensus::DiskWrite>) {
        let host = self.nodes[index].host;
        let RoleState::Store(store) = &mut self.nodes[index].role_state else { return };
        store.is_writing = true;
        store.disk.in_flight_writes = writes;
        let mut duration = Duration::from_micros(500 + self.net.random.draw() % 4000);
        if self.net.random.chance(0.01) {
            duration += Duration::from_millis(self.net.random.draw() % 150);
        }
        let incarnation = self.net.hosts[host].incarnation;
        let at = self.net.now + duration;
        self.net.schedule(at, Event::DiskWriteDone { host, incarnation });
    }

    fn send_to_store(&mut self, index: usize, call: u64, incarnation: u64, request: Request) {
        let host = self.nodes[index].host;
        let RoleState::Store(store) = &mut self.nodes[index].role_state else { return };
        let Some(address) = store.directory.address_of(incarnation, &request) else {
            // An unknown store counts as one that does not respond.
            let event = consensus::Event::ResponseReceived { call, response: None };
            store.inbox.push_back(event);
            return;
        };
        let target = Network::host_at(address);
        // Some messages are duplicated, and the copies arrive independently of each other.
        if self.net.random.chance(0.01) {
            let copy = Body::StoreRequest(request.clone());
            self.net.send(host, target, CALL_TIMEOUT, copy, Purpose::None);
        }
        let purpose = Purpose::Store { call };
        self.net.send(host, target, CALL_TIMEOUT, Body::StoreRequest(request), purpose);
    }

    fn reply_from_disk(
        &mut self,
        index: usize,
        ticket: u64,
        versions: &[VersionId],
        as_outcome: bool,
    ) {
        let RoleState::Store(store) = &mut self.nodes[index].role_state else { return };
        let load = |id: &VersionId| store.disk.versions.get(id).map(|value| (**value).clone());
        let consensus::DiskResponse { response, damaged } =
            consensus::response_from_disk(versions, as_outcome, load);
        if let Some(id) = damaged {
            store.inbox.push_back(consensus::Event::VersionDamaged(id));
        }
        self.net.reply(ticket, Body::StoreResponse(response));
    }
}
