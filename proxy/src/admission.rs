//! Admission control by class of service: concurrency limits, borrowing between classes, and bounded
//! queues ordered by priority, by turns of the tenants and by deadline (design 8.4). Pure: the caller supplies the time and passes
//! the slots on to the queued requests that are returned as admitted.

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;
use vanepath_config::model::{Config, Tenant};

/// The concurrency limit of a lending class is divided by this; the result is never lent.
const RESERVED_FRACTION_DIVISOR: u64 = 8;

/// A slot in use. One request in flight holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSlot {
    /// The index of the class of the request.
    pub class: usize,
    /// The index of the class whose concurrency limit the request counts against; the same as
    /// `class` unless the slot is borrowed.
    pub lender: usize,
}

/// A queued request that has been admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmittedRequest {
    /// The ticket from [`Admission::Queued`].
    pub ticket: u64,
    /// The slot that the request holds from now on.
    pub slot: AdmissionSlot,
}

/// The usage of a class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassUsage {
    /// The name of the class.
    pub name: String,
    /// The concurrency limit of the class on this proxy, in requests.
    pub max_in_flight: u64,
    /// Requests that count against the limit, including those of borrowing classes.
    pub in_flight: u64,
    /// Requests of the class that wait for a slot.
    pub queued: u64,
}

/// How many slots a class may borrow from another one.
#[derive(Clone, Debug)]
struct BorrowLimit {
    lender: usize,
    max_slots: u64,
}

#[derive(Clone, Debug, Default)]
struct ClassSlots {
    name: String,
    max_in_flight: u64,
    max_queued: u64,
    priority: u64,
    borrow_limits: Vec<BorrowLimit>,
    in_flight: u64,
    queued: u64,
    /// The number of slots that requests of this class have borrowed, by lending class.
    borrowed: BTreeMap<usize, u64>,
}

impl ClassSlots {
    /// Stops admission to this class until a config sets limits again.
    fn close(&mut self) {
        self.max_in_flight = 0;
        self.max_queued = 0;
        self.priority = u64::MAX;
        self.borrow_limits.clear();
    }

    /// Whether no slot in use refers to this class and no request is queued for it.
    fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.queued == 0 && self.borrowed.values().all(|slots| *slots == 0)
    }
}

/// The part of a class's queue that a single tenant may take is one half, so that a tenant with many requests
/// leaves room for the others.
const TENANT_QUEUE_DIVISOR: u64 = 2;

/// The sort key of the queue: the most urgent priority first (that of the tenant, then that of the class),
/// then by turns of the tenants, then the earliest deadline, then the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    tenant_priority: u64,
    priority: u64,
    /// The requests of a tenant take one turn after the other, beginning with the current one (start-time
    /// fair queueing). Anonymous requests take the current turn.
    turn: u64,
    deadline: Duration,
    ticket: u64,
}

/// A queued request.
#[derive(Clone, Debug)]
struct QueuedRequest {
    class: usize,
    /// The name of the tenant; `None`: the request is anonymous.
    tenant: Option<String>,
}

/// The queued requests of one tenant in one class.
#[derive(Clone, Copy, Debug, Default)]
struct TenantBacklog {
    queued: u64,
    last_turn: u64,
}

/// Admits requests up to the limit of their class and queues the others.
#[derive(Default)]
pub struct AdmissionControl {
    /// Slots in use refer to classes by their index here. It does not change before the class is idle.
    classes: Vec<ClassSlots>,
    /// The indices of the active config's classes, in its order.
    config_order: Vec<usize>,
    queue: BTreeMap<QueuePosition, QueuedRequest>,
    /// The queued requests of each tenant in each class, as long as there are any.
    backlogs: HashMap<(usize, String), TenantBacklog>,
    /// The highest turn from which a request was admitted.
    current_turn: u64,
    last_ticket: u64,
}

/// The outcome of a request for a slot.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request holds this slot until it is released.
    Admitted(AdmissionSlot),
    /// The request waits under this ticket until it is admitted or removed from the queue.
    Queued(u64),
    /// The queue of the class is full.
    QueueFull,
}

impl AdmissionControl {
    /// Switches to a new config. A class keeps its index for as long as any of its requests is in
    /// flight or queued, whatever the order of the config's classes, because slots in use refer to
    /// indices. A class that the config no longer has keeps its index until it is idle.
    pub fn apply_config(&mut self, config: &Config) {
        for class in &mut self.classes {
            class.close();
        }
        // The indices of existing classes are reserved before new classes reuse those of idle ones.
        let existing: Vec<Option<usize>> =
            config.classes.iter().map(|class| self.index(&class.name)).collect();
        let mut reserved: HashSet<usize> = existing.iter().flatten().copied().collect();
        self.config_order.clear();
        for (class, existing) in config.classes.iter().zip(existing) {
            let index = existing.unwrap_or_else(|| self.allocate_index(&reserved));
            reserved.insert(index);
            self.classes[index].name = class.name.clone();
            self.config_order.push(index);
        }
        for (class, index) in config.classes.iter().zip(&self.config_order) {
            let borrow_limits = class.borrows.iter().map(|borrow| BorrowLimit {
                lender: self.config_order[borrow.class],
                max_slots: borrow.max_slots,
            });
            let slots = &mut self.classes[*index];
            slots.max_in_flight = class.max_in_flight;
            slots.max_queued = class.max_queued;
            slots.priority = class.priority;
            slots.borrow_limits = borrow_limits.collect();
        }
    }

    /// The index of an idle class that is not reserved, or a new one if there is none.
    fn allocate_index(&mut self, reserved: &HashSet<usize>) -> usize {
        let is_free = |index: &usize| !reserved.contains(index) && self.classes[*index].is_idle();
        if let Some(index) = (0..self.classes.len()).find(is_free) {
            return index;
        }
        self.classes.push(ClassSlots::default());
        self.classes.len() - 1
    }

    /// The index of a class by name.
    pub fn index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// Finds a free slot for a request of this class: one of its own, or else one that it may borrow.
    fn free_slot(&self, class: usize) -> Option<AdmissionSlot> {
        let own = &self.classes[class];
        if own.in_flight < own.max_in_flight {
            return Some(AdmissionSlot { class, lender: class });
        }
        own.borrow_limits.iter().find_map(|limit| {
            let lender = &self.classes[limit.lender];
            let borrowed = own.borrowed.get(&limit.lender).copied().unwrap_or_default();
            let lendable = lender.max_in_flight - lender.max_in_flight / RESERVED_FRACTION_DIVISOR;
            (borrowed < limit.max_slots && lender.in_flight < lendable)
                .then_some(AdmissionSlot { class, lender: limit.lender })
        })
    }

    fn occupy(&mut self, slot: AdmissionSlot) {
        self.classes[slot.lender].in_flight += 1;
        if slot.lender != slot.class {
            *self.classes[slot.class].borrowed.entry(slot.lender).or_default() += 1;
        }
    }

    /// Admits a request of the class with this index, or queues it. `tenant` is `None` for an anonymous
    /// request; `deadline` is a time on the clock of the node.
    pub fn request_slot(
        &mut self,
        class: usize,
        tenant: Option<&Tenant>,
        deadline: Duration,
    ) -> Admission {
        if let Some(slot) = self.free_slot(class) {
            self.occupy(slot);
            return Admission::Admitted(slot);
        }
        let backlog_key = tenant.map(|tenant| (class, tenant.name.clone()));
        let backlog = backlog_key.as_ref().and_then(|key| self.backlogs.get(key)).copied();
        let slots = &mut self.classes[class];
        let tenant_limit = slots.max_queued.div_ceil(TENANT_QUEUE_DIVISOR);
        let has_tenant_reached_limit =
            backlog.is_some_and(|backlog| backlog.queued >= tenant_limit);
        if slots.queued >= slots.max_queued || has_tenant_reached_limit {
            return Admission::QueueFull;
        }
        slots.queued += 1;
        self.last_ticket += 1;
        let next_turn = backlog.map_or(0, |backlog| backlog.last_turn + 1);
        let turn = next_turn.max(self.current_turn);
        let position = QueuePosition {
            tenant_priority: tenant.map_or(0, |tenant| tenant.priority),
            priority: slots.priority,
            turn,
            deadline,
            ticket: self.last_ticket,
        };
        if let Some(key) = backlog_key {
            let backlog = self.backlogs.entry(key).or_default();
            backlog.queued += 1;
            backlog.last_turn = turn;
        }
        let tenant = tenant.map(|tenant| tenant.name.clone());
        self.queue.insert(position, QueuedRequest { class, tenant });
        Admission::Queued(self.last_ticket)
    }

    /// Takes a request out of the queue.
    fn dequeue(&mut self, position: &QueuePosition) {
        let Some(QueuedRequest { class, tenant }) = self.queue.remove(position) else { return };
        self.classes[class].queued -= 1;
        let Some(name) = tenant else { return };
        if let Entry::Occupied(mut backlog) = self.backlogs.entry((class, name)) {
            backlog.get_mut().queued -= 1;
            if backlog.get().queued == 0 {
                backlog.remove();
            }
        }
    }

    /// Removes a queued request whose client disconnected or whose deadline passed.
    pub fn remove_queued(&mut self, ticket: u64) {
        let found = self.queue.keys().find(|position| position.ticket == ticket).copied();
        if let Some(position) = found {
            self.dequeue(&position);
        }
    }

    /// Releases a slot and admits the queued requests that fit now.
    pub fn release(&mut self, slot: AdmissionSlot) -> Vec<AdmittedRequest> {
        self.classes[slot.lender].in_flight -= 1;
        if slot.lender != slot.class
            && let Some(borrowed) = self.classes[slot.class].borrowed.get_mut(&slot.lender)
        {
            *borrowed -= 1;
        }
        self.admit_queued()
    }

    /// Admits the queued requests that fit, in the order of the queue.
    pub fn admit_queued(&mut self) -> Vec<AdmittedRequest> {
        let mut admitted = Vec::new();
        let queued: Vec<(QueuePosition, usize)> =
            self.queue.iter().map(|(position, request)| (*position, request.class)).collect();
        let mut is_full = vec![false; self.classes.len()];
        for (position, class) in queued {
            if is_full[class] {
                continue;
            }
            match self.free_slot(class) {
                Some(slot) => {
                    self.occupy(slot);
                    self.dequeue(&position);
                    self.current_turn = self.current_turn.max(position.turn);
                    admitted.push(AdmittedRequest { ticket: position.ticket, slot });
                }
                None => is_full[class] = true,
            }
        }
        admitted
    }

    /// The usage of each class, in the order of the config.
    pub fn usage(&self) -> Vec<ClassUsage> {
        self.config_order
            .iter()
            .map(|index| &self.classes[*index])
            .map(|class| ClassUsage {
                name: class.name.clone(),
                max_in_flight: class.max_in_flight,
                in_flight: class.in_flight,
                queued: class.queued,
            })
            .collect()
    }
}

#[cfg(test)]
mod tests;
