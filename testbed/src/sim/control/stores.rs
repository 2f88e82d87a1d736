//! Stores: the register with its disk, and what its effects do.

use super::*;

impl Sim {
    pub(super) fn pulse_store(&mut self, index: usize) {
        let view = self.daemons[index].view.clone();
        let claims = vanepath_store::shell::StoreDirectory::of(&view);
        let live = claims.live.clone();
        let now = self.net.local(self.daemons[index].host);
        if let Duty::Store(store) = &mut self.daemons[index].duty {
            store.claims = claims;
            if let Some(hints) = store.keeper.step(now, &view)
                && !store.disk.is_full
            {
                store.disk.hints = hints;
            }
        }
        self.try_disk(index);
        let revision = view.committed.revision;
        for event in [
            consensus::Event::LiveStores(live),
            consensus::Event::RevisionHeard { revision },
            consensus::Event::Tick,
        ] {
            self.store_event(index, event);
        }
        let Duty::Store(store) = &self.daemons[index].duty else { return };
        let summary = store.core.summary();
        let report = wire::NodeStatus {
            ready: summary.is_voting,
            revision,
            empty_disk: summary.is_empty,
            synced: summary.synced,
            disk: Some(summary.disk()),
            ..wire::NodeStatus::default()
        };
        self.daemons[index].is_well = summary.is_voting;
        self.step_news(index, gossip::Event::StatusChanged(report));
    }

    pub(super) fn store_event(&mut self, index: usize, event: consensus::Event) {
        if let Duty::Store(store) = &mut self.daemons[index].duty {
            store.inbox.push_back(event);
        }
        self.run_store(index);
    }

    /// A disk that failed and works again is read anew, as the program's shell does.
    pub(super) fn try_disk(&mut self, index: usize) {
        let Duty::Store(store) = &mut self.daemons[index].duty else { return };
        if !store.disk_failed || store.disk.is_full || store.busy {
            return;
        }
        store.disk_failed = false;
        let random = self.net.random.draw();
        let found = store.disk.found(random);
        store.inbox.push_back(consensus::Event::DiskRecovered(found));
    }

    pub(super) fn disk_done(&mut self, index: usize) {
        let Duty::Store(store) = &mut self.daemons[index].duty else { return };
        store.busy = false;
        store.disk.saves += 1;
        let under_way = std::mem::take(&mut store.disk.under_way);
        if store.disk.is_full {
            store.pending.clear();
            store.disk_failed = true;
            store.inbox.push_front(consensus::Event::DiskFailed);
        } else {
            let lies = self.breaks == Some(Break::DisksLie);
            for write in under_way {
                if lies {
                    store.disk.unsynced.push(write);
                } else {
                    store.disk.apply(write);
                }
            }
        }
        if self.passes(index, Point::AfterSave) {
            return;
        }
        self.run_store(index);
    }

    /// Strictly one event after the other, and its effects in order.
    pub(super) fn run_store(&mut self, index: usize) {
        let host = self.daemons[index].host;
        loop {
            let Duty::Store(store) = &mut self.daemons[index].duty else { return };
            if store.busy {
                return;
            }
            let Some(effect) = store.pending.pop_front() else {
                let Some(event) = store.inbox.pop_front() else { return };
                let effects = store.core.step(self.net.local(host), event);
                store.pending.extend(effects);
                continue;
            };
            match effect {
                consensus::Effect::Persist(writes) => {
                    if self.passes(index, Point::BeforeSave) {
                        return;
                    }
                    let Duty::Store(store) = &mut self.daemons[index].duty else { return };
                    store.busy = true;
                    store.disk.under_way = writes;
                    let mut took = Duration::from_micros(500 + self.net.random.draw() % 4000);
                    if self.net.random.chance(0.01) {
                        took += Duration::from_millis(self.net.random.draw() % 150);
                    }
                    let life = self.net.hosts[host].life;
                    self.net.at(self.net.now + took, Event::DiskDone { host, life });
                }
                consensus::Effect::Send { call, incarnation, request: ask } => {
                    if self.passes(index, Point::BeforeCall) {
                        return;
                    }
                    let Duty::Store(store) = &mut self.daemons[index].duty else { return };
                    let purpose = Purpose::Store { call };
                    let limit = Duration::from_millis(800);
                    match store.claims.address_of(incarnation, &ask) {
                        Some(address) => {
                            let target = Net::host_at(address);
                            // Now and then the same message comes twice, the second time late.
                            if self.net.random.chance(0.01) {
                                let late = Body::Ask(ask.clone());
                                self.net.ask(host, target, limit, late, Purpose::None);
                            }
                            self.net.ask(host, target, limit, Body::Ask(ask), purpose);
                        }
                        None => {
                            // Nobody to ask: as good as no reply.
                            store.inbox.push_back(consensus::Event::ResponseReceived {
                                call,
                                response: None,
                            });
                        }
                    }
                }
                consensus::Effect::Reset => {
                    let random = self.net.random.draw();
                    store.disk.state = None;
                    store.disk.versions.clear();
                    let found = store.disk.found(random);
                    store.inbox.push_front(consensus::Event::Reset(found));
                }
                consensus::Effect::Reply { ticket, response: tell } => {
                    if self.passes(index, Point::BeforeAnswer) {
                        return;
                    }
                    let tell = self.spoilt(tell);
                    self.net.reply(ticket, Body::Tell(tell));
                    if self.passes(index, Point::AfterAnswer) {
                        return;
                    }
                }
                consensus::Effect::ReplyFromDisk { ticket, versions, as_outcome } => {
                    let load =
                        |id: &VersionId| store.disk.versions.get(id).map(|value| (**value).clone());
                    let consensus::DiskResponse { response: tell, damaged } =
                        consensus::response_from_disk(&versions, as_outcome, load);
                    if let Some(id) = damaged {
                        store.inbox.push_back(consensus::Event::VersionDamaged(id));
                    }
                    self.net.reply(ticket, Body::Tell(tell));
                }
                consensus::Effect::Committed(value) => {
                    if self.passes(index, Point::BeforeChosen) {
                        return;
                    }
                    let word = Arc::new(value.committed_config());
                    self.step_news(index, gossip::Event::ConfigCommitted(word));
                }
                consensus::Effect::Log(text) => {
                    if text.contains("never happen") {
                        self.faults.push(text.clone());
                    }
                    let name = self.daemons[index].card.name.clone();
                    self.note(|| format!("{name}: {text}"));
                }
            }
        }
    }
}
