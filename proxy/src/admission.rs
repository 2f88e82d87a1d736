//! Classes of service: room, borrowing and bounded queues by urgency and deadline (design 8.4).

use std::time::Duration;

/// Of a lender's room so much stays free for the lender itself.
const KEPT_PART: u64 = 8;

/// A taken place in a class's room; `lender` is the class whose room it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSlot {
    pub class: usize,
    pub lender: usize,
}

#[derive(Clone, Debug, Default)]
struct Room {
    name: String,
    room: u64,
    queue: u64,
    urgency: u64,
    borrows: Vec<(usize, u64)>,
    used: u64,
    waiting: u64,
    /// How many of its requests sit in each other class's room.
    loans: std::collections::BTreeMap<usize, u64>,
}

impl Room {
    /// Takes nothing more in, until a setup says otherwise.
    fn close(&mut self) {
        self.room = 0;
        self.queue = 0;
        self.urgency = u64::MAX;
        self.borrows.clear();
    }

    /// No slot that is out names this room, and nobody waits for it.
    fn is_empty(&self) -> bool {
        self.used == 0 && self.waiting == 0 && self.loans.values().all(|loans| *loans == 0)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    urgency: u64,
    deadline: Duration,
    number: u64,
}

/// Waiting requests by number; the shell wakes whom `release` names.
#[derive(Default)]
pub struct AdmissionControl {
    /// A slot names rooms by their places here, which never move.
    rooms: Vec<Room>,
    /// The rooms of the setup's classes, in its order.
    in_order: Vec<usize>,
    queue: std::collections::BTreeMap<Place, usize>,
    next_number: u64,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    Taken(AdmissionSlot),
    /// Waits under this number until it is woken, leaves, or its deadline passes.
    Waits(u64),
    /// The queue is full.
    Dropped,
}

impl AdmissionControl {
    /// Goes over to a new setup. A class keeps its place among the rooms for as long as anything of
    /// it is in hand or waiting, whatever the order of the setup's classes: slots that are out name
    /// places. A class that is gone keeps its room until it is empty.
    pub fn adopt(&mut self, setup: &vanepath_config::model::Config) {
        for room in &mut self.rooms {
            room.close();
        }
        // Every class that goes on has its place before a new one takes an empty one.
        let known: Vec<Option<usize>> =
            setup.classes.iter().map(|class| self.index(&class.name)).collect();
        let mut kept: std::collections::HashSet<usize> = known.iter().flatten().copied().collect();
        self.in_order.clear();
        for (class, known) in setup.classes.iter().zip(known) {
            let place = known.unwrap_or_else(|| self.place_for_new(&kept));
            kept.insert(place);
            self.rooms[place].name = class.name.clone();
            self.in_order.push(place);
        }
        for (class, place) in setup.classes.iter().zip(&self.in_order) {
            let borrows = class.borrows.iter().map(|one| (self.in_order[one.class], one.max_slots));
            let room = &mut self.rooms[*place];
            room.room = class.max_in_flight;
            room.queue = class.max_queued;
            room.urgency = class.priority;
            room.borrows = borrows.collect();
        }
    }

    /// A place of which no slot is out and for which nobody waits; a further one if there is none.
    fn place_for_new(&mut self, kept: &std::collections::HashSet<usize>) -> usize {
        let is_free = |place: &usize| !kept.contains(place) && self.rooms[*place].is_empty();
        if let Some(place) = (0..self.rooms.len()).find(is_free) {
            return place;
        }
        self.rooms.push(Room::default());
        self.rooms.len() - 1
    }

    /// The place of a class by name.
    pub fn index(&self, name: &str) -> Option<usize> {
        self.rooms.iter().position(|room| room.name == name)
    }

    fn free(&self, class: usize) -> Option<AdmissionSlot> {
        let room = &self.rooms[class];
        if room.used < room.room {
            return Some(AdmissionSlot { class, lender: class });
        }
        room.borrows.iter().find_map(|(lender, most)| {
            let other = &self.rooms[*lender];
            let lent = room.loans.get(lender).copied().unwrap_or_default();
            let spare = other.room - other.room / KEPT_PART;
            (lent < *most && other.used < spare).then_some(AdmissionSlot { class, lender: *lender })
        })
    }

    fn take(&mut self, slot: AdmissionSlot) {
        self.rooms[slot.lender].used += 1;
        if slot.lender != slot.class {
            *self.rooms[slot.class].loans.entry(slot.lender).or_default() += 1;
        }
    }

    pub fn enter(&mut self, class: usize, deadline: Duration) -> Admission {
        if let Some(slot) = self.free(class) {
            self.take(slot);
            return Admission::Taken(slot);
        }
        let room = &mut self.rooms[class];
        if room.waiting >= room.queue {
            return Admission::Dropped;
        }
        room.waiting += 1;
        self.next_number += 1;
        let place = Place { urgency: room.urgency, deadline, number: self.next_number };
        self.queue.insert(place, class);
        Admission::Waits(self.next_number)
    }

    /// A waiting request whose caller left or whose deadline passed.
    pub fn leave(&mut self, number: u64) {
        let found = self.queue.iter().find(|(place, _)| place.number == number);
        if let Some((place, class)) = found.map(|(place, class)| (*place, *class)) {
            self.queue.remove(&place);
            self.rooms[class].waiting -= 1;
        }
    }

    /// Gives a slot back. The most urgent request that can go now gets one: its number.
    pub fn release(&mut self, slot: AdmissionSlot) -> Vec<(u64, AdmissionSlot)> {
        self.rooms[slot.lender].used -= 1;
        if slot.lender != slot.class
            && let Some(loans) = self.rooms[slot.class].loans.get_mut(&slot.lender)
        {
            *loans -= 1;
        }
        self.wake()
    }

    /// Whoever of the waiting can go now.
    pub fn wake(&mut self) -> Vec<(u64, AdmissionSlot)> {
        let mut woken = Vec::new();
        let waiting: Vec<(Place, usize)> =
            self.queue.iter().map(|(place, class)| (*place, *class)).collect();
        let mut full = vec![false; self.rooms.len()];
        for (place, class) in waiting {
            if full[class] {
                continue;
            }
            match self.free(class) {
                Some(slot) => {
                    self.take(slot);
                    self.queue.remove(&place);
                    self.rooms[class].waiting -= 1;
                    woken.push((place.number, slot));
                }
                None => full[class] = true,
            }
        }
        woken
    }

    /// Name, room, requests in hand and waiting of each class, in the order of the setup.
    pub fn counts(&self) -> Vec<(String, u64, u64, u64)> {
        self.in_order
            .iter()
            .map(|place| &self.rooms[*place])
            .map(|room| (room.name.clone(), room.room, room.used, room.waiting))
            .collect()
    }
}

#[cfg(test)]
mod tests;
