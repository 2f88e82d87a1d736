//! An exhaustive check of how drain orders are carried out (design 6.10): all histories of an operator that gives up to
//! three orders for one zone, each transmitted up to three times, with answers that are lost, and with transmissions
//! that wait in paused processes, or are held by live registries, and are read late, after their caller has
//! moved on. Connections tell nothing: the caller may have left its connection open.
//!
//! *Properties.* Once an order is acknowledged, and until the next one is given, the zone is as it says, whatever is
//! read late; so a zone is in use when all its orders are withdrawn, and drained while one is in force. An order whose
//! caller waits is acknowledged, at the second transmission at the latest. The search must find the properties violated
//! with the rules that were in use until incidents 0026, 0028 and 0029.
//!
//! *Assumption.* One kind of history cannot be told from another one by any process: see [`Late::InNetwork`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::request_fence::RequestFence;
use vanepath_store::consensus::{
    Effect, Event, HardState, Identity, LiveStore, RecoveredState, Replica,
};
use vanepath_store::protocol::{Change, Outcome, Request, Response};
use vanepath_store::value::Value;

const ZONE: &str = "a1";
const MAX_TRANSMISSIONS: usize = 3;

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Order {
    Drain,
    Restore,
}

impl Order {
    fn change(self) -> Change {
        let zone = ZONE.to_string();
        match self {
            Order::Drain => Change::DrainZone { zone },
            Order::Restore => Change::RestoreZone { zone },
        }
    }
}

/// How a transmission ends for the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Transmission {
    /// It is read at once and the answer arrives.
    Answered(Knowledge),
    /// It is read at once and the answer is lost after the registry sent it.
    AnswerLost(Knowledge),
    /// It waits, and the operator moves on; it may leave its connection open.
    Waits(Knowledge, Late),
}

/// What the registry of a transmission knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Knowledge {
    /// The latest revision.
    Latest,
    /// Nothing: it has just started, or it is cut off.
    Nothing,
}

/// How a transmission is read that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Late {
    /// By a store, from a registry that read it when it came: a live registry held it, or a store was paused with it.
    AtStore,
    /// By a registry that was paused, and that learns the latest revision before it reads the order.
    AtPausedRegistry,
    /// By a live registry, [`SHORT_DELAY`] after it was sent; the latest revision was learned in between.
    ShortlyDelayed,
    /// By a live registry, after longer than `UNNOTICED_DELAY` in the network. Assumed not to happen: no process can
    /// tell this history from that of a new order.
    InNetwork,
}

/// A delay that nothing shows.
const SHORT_DELAY: Duration = Duration::from_millis(450);
/// How long a registry is paused.
const PAUSE: Duration = Duration::from_secs(4);

/// What a registry of this version states as known for an order that it reads late. It knew `before` when the order
/// came, and learned `latest` before it read the order.
fn fenced_revision(before: u64, latest: u64, late: Late) -> u64 {
    let tick = Duration::from_millis(100);
    let mut fence = RequestFence::default();
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(3) {
        now += tick;
        fence.observe(now, before);
    }
    match late {
        Late::AtStore => return before,
        Late::AtPausedRegistry => now += PAUSE,
        Late::ShortlyDelayed => {
            fence.observe(now + tick / 10, latest);
            while now + tick <= Duration::from_secs(3) + SHORT_DELAY {
                now += tick;
                fence.observe(now, latest);
            }
            now = Duration::from_secs(3) + SHORT_DELAY;
        }
        Late::InNetwork => {
            for _ in 0..10 {
                now += tick;
                fence.observe(now, latest);
            }
        }
    }
    fence.observe(now, latest);
    fence.known_revision(now)
}

/// The rules by which orders are carried out.
trait Rules: Clone {
    /// Carries out a transmission; `known`: the revision that its registry states as known. Returns whether it was
    /// acknowledged.
    fn carry_out(&mut self, order: Order, known: u64) -> bool;
    /// What a registry states as known for an order that it reads late; see [`fenced_revision`].
    fn known_when_read_late(before: u64, latest: u64, late: Late) -> u64 {
        fenced_revision(before, latest, late)
    }
    fn latest_revision(&self) -> u64;
    /// The revision of the last order that was carried out; all that a transmission's known revision is compared
    /// with.
    fn last_order_revision(&self) -> u64;
    /// How often the zone is drained.
    fn drain_count(&self) -> u32;
    /// Which order was carried out last.
    fn last_order(&self) -> Option<Order>;
    fn is_drained(&self) -> bool {
        self.drain_count() > 0
    }
}

/// The rules of this version: a fleet with one store, and what registries do with its outcomes.
#[derive(Clone)]
struct Store {
    replica: Replica,
    now: Duration,
    value: Option<Arc<Value>>,
    next_ticket: u64,
}

impl Store {
    fn new() -> Store {
        let state = HardState { incarnation: 7, promised: Default::default(), accepted: None };
        let recovered =
            RecoveredState { state, value: None, batch: Vec::new(), versions: Vec::new() };
        let identity = Identity { name: "s0".to_string(), bootstrap_size: 1 };
        let now = Duration::from_secs(1);
        let replica = Replica::new(identity, recovered, now);
        let mut store = Store { replica, now, value: None, next_ticket: 0 };
        while store.value.is_none() {
            store.tick();
        }
        store
    }

    fn tick(&mut self) {
        self.now += Duration::from_millis(50);
        let summary = self.replica.summary();
        let live = LiveStore {
            name: "s0".to_string(),
            incarnation: summary.incarnation,
            is_empty: summary.is_empty,
            may_bootstrap: summary.is_empty && summary.may_bootstrap,
        };
        self.step(Event::LiveStores(vec![live]));
        self.step(Event::Tick);
    }

    fn step(&mut self, event: Event) -> Option<Outcome> {
        let mut outcome = None;
        for effect in self.replica.step(self.now, event) {
            match effect {
                Effect::Committed(value) => self.value = Some(value),
                Effect::Reply { response: Response::Outcome(reply), .. } => outcome = Some(reply),
                _ => {}
            }
        }
        outcome
    }

    fn request(&mut self, order: Order, known: u64) -> Outcome {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let request = Request::Change {
            key: format!("made-{ticket}"),
            change: order.change(),
            keyless_for: Some(Duration::ZERO),
            known_revision: Some(known),
        };
        self.step(Event::RequestReceived { ticket, request })
            .expect("a store alone answers at once")
    }
}

impl Store {
    fn last_record(&self) -> Option<(u64, Order)> {
        let record = self.value.as_ref()?.recent_writes.back()?;
        let orders = [Order::Drain, Order::Restore];
        let order =
            orders.into_iter().find(|order| order.change().content_hash() == record.content_hash);
        Some((record.revision, order.expect("all writes are orders for the zone")))
    }
}

impl Rules for Store {
    fn carry_out(&mut self, order: Order, known: u64) -> bool {
        match self.request(order, known) {
            Outcome::Accepted { .. } => true,
            Outcome::Overtaken { .. } => false,
            other => panic!("{other:?}"),
        }
    }

    fn latest_revision(&self) -> u64 {
        self.value.as_ref().map_or(0, |value| value.revision)
    }

    fn last_order_revision(&self) -> u64 {
        self.last_record().map_or(0, |(revision, _)| revision)
    }

    fn last_order(&self) -> Option<Order> {
        self.last_record().map(|(_, order)| order)
    }

    fn drain_count(&self) -> u32 {
        self.value.as_ref().map_or(0, |value| u32::from(value.is_drained(ZONE)))
    }
}

/// The rules of versions before incident 0029. Their registries send an overtaken order again after the newer one, since
/// its caller's connection is open (`RESENDS_OVERTAKEN`), or take an order that they read for one that was just sent.
#[derive(Clone)]
struct EarlierRegistries<const RESENDS_OVERTAKEN: bool>(Store);

type ResendsOvertaken = EarlierRegistries<true>;
type TakesLateForNew = EarlierRegistries<false>;

impl<const RESENDS_OVERTAKEN: bool> EarlierRegistries<RESENDS_OVERTAKEN> {
    fn new() -> Self {
        EarlierRegistries(Store::new())
    }
}

impl<const RESENDS_OVERTAKEN: bool> Rules for EarlierRegistries<RESENDS_OVERTAKEN> {
    fn carry_out(&mut self, order: Order, known: u64) -> bool {
        match self.0.request(order, known) {
            Outcome::Overtaken { revision } if RESENDS_OVERTAKEN => {
                self.0.carry_out(order, revision)
            }
            outcome => matches!(outcome, Outcome::Accepted { .. }),
        }
    }

    fn known_when_read_late(before: u64, latest: u64, late: Late) -> u64 {
        match late {
            _ if RESENDS_OVERTAKEN => fenced_revision(before, latest, late),
            Late::AtStore => before,
            _ => latest,
        }
    }

    fn latest_revision(&self) -> u64 {
        self.0.latest_revision()
    }

    fn last_order_revision(&self) -> u64 {
        self.0.last_order_revision()
    }

    fn last_order(&self) -> Option<Order> {
        self.0.last_order()
    }

    fn drain_count(&self) -> u32 {
        self.0.drain_count()
    }
}

/// The rules until incident 0026: orders are counted, and an order whose answer was sent counts anew when it comes
/// again. What registries know plays no part.
#[derive(Clone, Default)]
struct CountedOrders {
    count: u32,
}

impl Rules for CountedOrders {
    fn carry_out(&mut self, order: Order, _: u64) -> bool {
        match order {
            Order::Drain => self.count += 1,
            Order::Restore => self.count = self.count.saturating_sub(1),
        }
        true
    }

    fn latest_revision(&self) -> u64 {
        0
    }

    fn last_order_revision(&self) -> u64 {
        0
    }

    fn last_order(&self) -> Option<Order> {
        None
    }

    fn drain_count(&self) -> u32 {
        self.count
    }
}

/// A zone is drained or it is not, and each transmission is carried out when it is read: the rules of this version
/// without what registries know.
#[derive(Clone, Default)]
struct AppliedWhenRead {
    is_drained: bool,
}

impl Rules for AppliedWhenRead {
    fn carry_out(&mut self, order: Order, _: u64) -> bool {
        self.is_drained = order == Order::Drain;
        true
    }

    fn latest_revision(&self) -> u64 {
        0
    }

    fn last_order_revision(&self) -> u64 {
        0
    }

    fn last_order(&self) -> Option<Order> {
        None
    }

    fn drain_count(&self) -> u32 {
        u32::from(self.is_drained)
    }
}

/// A transmission that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Waiting {
    order: Order,
    known: u64,
    late: Late,
}

#[derive(Clone)]
struct World<R> {
    rules: R,
    waiting: Vec<Waiting>,
    /// The last order that was acknowledged, unless another one has been given since.
    in_force: Option<Order>,
    /// Whether a transmission was read in the way that is assumed not to happen.
    has_left_assumption: bool,
}

/// All that the effect of a waiting transmission depends on when it is read. How it waits does not matter beyond
/// that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingState {
    order: Order,
    /// Whether its registry states what it knew when the order came, and not what it knows when it reads it.
    states_earlier_revision: bool,
    /// Whether that earlier revision is not below the last order's.
    knows_last_order: bool,
    is_in_network: bool,
}

/// All that the further course of a history depends on: two worlds with equal states have equal futures.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WorldState {
    drain_count: u32,
    last_order: Option<Order>,
    /// The waiting transmissions.
    waiting: Vec<WaitingState>,
    in_force: Option<Order>,
    has_left_assumption: bool,
    orders: Vec<Order>,
    transmissions: usize,
}

/// The kinds of violations, and the states that were searched.
#[derive(Debug, Default)]
struct Found {
    searched: BTreeSet<WorldState>,
    violations: BTreeSet<Violation>,
    violations_outside_assumption: BTreeSet<Violation>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Violation {
    /// The zone is in use although its last order, which was acknowledged, drains it.
    InUseWhileDrained,
    /// The zone is drained although its last order, which was acknowledged, restores it.
    DrainedWhileRestored,
    /// An order whose caller waits for the answer is not acknowledged.
    NotAcknowledged,
}

impl<R: Rules> World<R> {
    fn check(&self, found: &mut Found) {
        let violation = match self.in_force {
            Some(Order::Drain) if !self.rules.is_drained() => Violation::InUseWhileDrained,
            Some(Order::Restore) if self.rules.is_drained() => Violation::DrainedWhileRestored,
            _ => return,
        };
        self.report(violation, found);
    }

    fn report(&self, violation: Violation, found: &mut Found) {
        match self.has_left_assumption {
            true => found.violations_outside_assumption.insert(violation),
            false => found.violations.insert(violation),
        };
    }

    fn state(&self, orders: &[Order], transmissions: usize) -> WorldState {
        let mut waiting: Vec<_> =
            self.waiting.iter().map(|waiting| self.waiting_state(waiting)).collect();
        waiting.sort();
        WorldState {
            drain_count: self.rules.drain_count(),
            last_order: self.rules.last_order(),
            waiting,
            in_force: self.in_force,
            has_left_assumption: self.has_left_assumption,
            orders: orders.to_vec(),
            transmissions,
        }
    }

    fn waiting_state(&self, waiting: &Waiting) -> WaitingState {
        let (known, late) = (waiting.known, waiting.late);
        let states_earlier_revision = R::known_when_read_late(1, 2, late) == 1;
        WaitingState {
            order: waiting.order,
            states_earlier_revision,
            knows_last_order: states_earlier_revision && known >= self.rules.last_order_revision(),
            is_in_network: late == Late::InNetwork,
        }
    }

    fn known(&self, knowledge: Knowledge) -> u64 {
        match knowledge {
            Knowledge::Latest => self.rules.latest_revision(),
            Knowledge::Nothing => 0,
        }
    }

    /// Searches the histories in which these orders are still to be given, the first of them with this many
    /// transmissions so far.
    fn search(&self, orders: &[Order], transmissions: usize, found: &mut Found) {
        if !found.searched.insert(self.state(orders, transmissions)) {
            return;
        }
        self.check(found);
        self.read_each_waiting(orders, transmissions, found);
        let Some((order, rest)) = orders.split_first() else { return };
        if transmissions > 0 {
            // The operator gives the order up.
            self.search(rest, 0, found);
        }
        if transmissions == MAX_TRANSMISSIONS {
            return;
        }
        for transmission in all_transmissions() {
            let mut next = self.clone();
            next.in_force = None;
            let is_answered = next.transmit(*order, transmission, found);
            match is_answered {
                true => next.search(rest, 0, found),
                false => next.search(orders, transmissions + 1, found),
            }
        }
    }

    /// Searches the histories in which the next event is that one of the waiting transmissions is read.
    fn read_each_waiting(&self, orders: &[Order], transmissions: usize, found: &mut Found) {
        let distinct: BTreeMap<WaitingState, usize> = self
            .waiting
            .iter()
            .enumerate()
            .map(|(index, waiting)| (self.waiting_state(waiting), index))
            .collect();
        for index in distinct.into_values() {
            let mut next = self.clone();
            let waiting = next.waiting.remove(index);
            next.has_left_assumption |= waiting.late == Late::InNetwork;
            let latest = next.rules.latest_revision();
            let known = R::known_when_read_late(waiting.known, latest, waiting.late);
            next.rules.carry_out(waiting.order, known);
            next.search(orders, transmissions, found);
        }
    }

    /// Whether the operator gets an answer.
    fn transmit(&mut self, order: Order, transmission: Transmission, found: &mut Found) -> bool {
        match transmission {
            Transmission::Answered(knowledge) => {
                let known = self.known(knowledge);
                // The operator sends an order again that gets a 5xx, and the registry has learned the latest revision.
                let is_acknowledged = self.rules.carry_out(order, known) || {
                    let latest = self.rules.latest_revision();
                    self.rules.carry_out(order, latest)
                };
                if !is_acknowledged {
                    self.report(Violation::NotAcknowledged, found);
                }
                self.in_force = Some(order);
                true
            }
            Transmission::AnswerLost(knowledge) => {
                let known = self.known(knowledge);
                self.rules.carry_out(order, known);
                false
            }
            Transmission::Waits(knowledge, late) => {
                let known = self.known(knowledge);
                self.waiting.push(Waiting { order, known, late });
                false
            }
        }
    }
}

fn all_transmissions() -> Vec<Transmission> {
    let mut all = Vec::new();
    for knowledge in [Knowledge::Latest, Knowledge::Nothing] {
        all.push(Transmission::Answered(knowledge));
        all.push(Transmission::AnswerLost(knowledge));
        for late in [Late::AtStore, Late::AtPausedRegistry, Late::ShortlyDelayed] {
            all.push(Transmission::Waits(knowledge, late));
        }
    }
    all.push(Transmission::Waits(Knowledge::Latest, Late::InNetwork));
    all
}

/// Searches all histories with up to `count` orders.
fn search<R: Rules>(rules: &R, count: u32) -> Found {
    let mut found = Found::default();
    for choice in 0..1_u32 << count {
        let order = |bit: u32| if choice >> bit & 1 == 0 { Order::Drain } else { Order::Restore };
        let orders: Vec<Order> = (0..count).map(order).collect();
        let world = World {
            rules: rules.clone(),
            waiting: Vec::new(),
            in_force: None,
            has_left_assumption: false,
        };
        world.search(&orders, 0, &mut found);
    }
    found
}

/// Guards against the faults of incidents 0026, 0028 and 0029, in all histories of the model.
#[test]
fn acknowledged_orders_hold_in_all_histories() {
    for count in 1..=3 {
        let found = search(&Store::new(), count);
        println!("{count} orders: {} states", found.searched.len());
        assert!(found.violations.is_empty(), "{count} orders: {:?}", found.violations);
    }
}

/// The one kind of history that is assumed not to happen would violate the properties: the assumption is needed.
#[test]
fn the_assumption_is_needed() {
    let found = search(&Store::new(), 2);
    let expected = [Violation::InUseWhileDrained, Violation::DrainedWhileRestored];
    assert_eq!(found.violations_outside_assumption, expected.into());
}

/// The search finds the faults of earlier rules.
#[test]
fn earlier_rules_are_found_to_fail() {
    let found = search(&CountedOrders::default(), 2);
    let expected = [Violation::InUseWhileDrained, Violation::DrainedWhileRestored];
    assert_eq!(found.violations, expected.into(), "counted orders");
    let found = search(&AppliedWhenRead::default(), 2);
    assert_eq!(found.violations, expected.into(), "applied when read");
    let found = search(&ResendsOvertaken::new(), 2);
    assert_eq!(found.violations, expected.into(), "overtaken orders sent again");
    let found = search(&TakesLateForNew::new(), 2);
    assert_eq!(found.violations, expected.into(), "late orders taken for new ones");
}
