//! Classes of service: room, borrowing and bounded queues by urgency and deadline (design 8.4).

use std::time::Duration;

/// Of a lender's room so much stays free for the lender itself.
const KEPT_PART: u64 = 8;

/// A taken place in a class's room; `lender` is the class whose room it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot {
    pub class: usize,
    pub lender: usize,
}

#[derive(Clone, Debug)]
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    urgency: u64,
    deadline: Duration,
    number: u64,
}

/// Waiting requests by number; the shell wakes whom `release` names.
#[derive(Default)]
pub struct Classes {
    rooms: Vec<Room>,
    queue: std::collections::BTreeMap<Place, usize>,
    next_number: u64,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Entry {
    Taken(Slot),
    /// Waits under this number until it is woken, leaves, or its deadline passes.
    Waits(u64),
    /// The queue is full.
    Dropped,
}

impl Classes {
    /// Goes over to a new setup; what is in hand and waiting stays counted under its class's
    /// name, and a class that is gone keeps its room until it is empty.
    pub fn adopt(&mut self, setup: &vanepath_setup::model::Setup) {
        let old = std::mem::take(&mut self.rooms);
        let mut names: Vec<String> = setup.classes.iter().map(|class| class.name.clone()).collect();
        for room in &old {
            if !names.contains(&room.name) {
                names.push(room.name.clone());
            }
        }
        let place = |name: &str| names.iter().position(|one| one == name).unwrap_or_default();
        let moved: Vec<usize> = old.iter().map(|room| place(&room.name)).collect();
        for (index, name) in names.iter().enumerate() {
            let before = old.iter().find(|room| room.name == *name);
            let class = setup.classes.get(index);
            let loans = before
                .map(|room| room.loans.iter().map(|(at, n)| (moved[*at], *n)).collect())
                .unwrap_or_default();
            self.rooms.push(Room {
                name: name.clone(),
                room: class.map_or(0, |class| class.room),
                queue: class.map_or(0, |class| class.queue),
                urgency: class.map_or(u64::MAX, |class| class.urgency),
                borrows: class
                    .map(|class| class.borrows.iter().map(|one| (one.class, one.most)).collect())
                    .unwrap_or_default(),
                used: before.map_or(0, |room| room.used),
                waiting: before.map_or(0, |room| room.waiting),
                loans,
            });
        }
        for class in self.queue.values_mut() {
            *class = moved[*class];
        }
    }

    /// The index of a class by name: slots outlive a change of the setup under it.
    pub fn index(&self, name: &str) -> Option<usize> {
        self.rooms.iter().position(|room| room.name == name)
    }

    fn free(&self, class: usize) -> Option<Slot> {
        let room = &self.rooms[class];
        if room.used < room.room {
            return Some(Slot { class, lender: class });
        }
        room.borrows.iter().find_map(|(lender, most)| {
            let other = &self.rooms[*lender];
            let lent = room.loans.get(lender).copied().unwrap_or_default();
            let spare = other.room - other.room / KEPT_PART;
            (lent < *most && other.used < spare).then_some(Slot { class, lender: *lender })
        })
    }

    fn take(&mut self, slot: Slot) {
        self.rooms[slot.lender].used += 1;
        if slot.lender != slot.class {
            *self.rooms[slot.class].loans.entry(slot.lender).or_default() += 1;
        }
    }

    pub fn enter(&mut self, class: usize, deadline: Duration) -> Entry {
        if let Some(slot) = self.free(class) {
            self.take(slot);
            return Entry::Taken(slot);
        }
        let room = &mut self.rooms[class];
        if room.waiting >= room.queue {
            return Entry::Dropped;
        }
        room.waiting += 1;
        self.next_number += 1;
        let place = Place { urgency: room.urgency, deadline, number: self.next_number };
        self.queue.insert(place, class);
        Entry::Waits(self.next_number)
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
    pub fn release(&mut self, slot: Slot) -> Vec<(u64, Slot)> {
        self.rooms[slot.lender].used -= 1;
        if slot.lender != slot.class
            && let Some(loans) = self.rooms[slot.class].loans.get_mut(&slot.lender)
        {
            *loans -= 1;
        }
        self.wake()
    }

    /// Whoever of the waiting can go now.
    pub fn wake(&mut self) -> Vec<(u64, Slot)> {
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

    pub fn counts(&self) -> Vec<(String, u64, u64, u64)> {
        self.rooms
            .iter()
            .map(|room| (room.name.clone(), room.room, room.used, room.waiting))
            .collect()
    }
}

#[cfg(test)]
mod tests;
