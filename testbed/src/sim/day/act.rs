//! The single acts of which faults are made, and what each does to the simulated fleet.

use super::*;

#[derive(Clone, Debug)]
pub enum Act {
    Start(usize),
    CrashAll,
    StartAll,
    Crash {
        daemon: usize,
        power: bool,
    },
    Terminate(usize),
    Freeze(usize),
    Wake(usize),
    Wipe(usize),
    Cut {
        left: Vec<usize>,
        right: Vec<usize>,
        one_way: bool,
    },
    Uncut {
        left: Vec<usize>,
        right: Vec<usize>,
        one_way: bool,
    },
    Slow(Duration),
    DiskFull(usize, bool),
    WallJump(usize, i64),
    StopServer {
        server: usize,
        power: bool,
    },
    StartServer(usize),
    /// Its machine stands still, or goes on.
    FreezeServer(usize, bool),
    /// So many times the ordinary traffic from the callers of this zone.
    Surge(&'static str, f64),
    Behave {
        server: usize,
        manner: Manner,
        part: f64,
    },
    Leave(usize),
    Remove(usize),
    /// The address of a server passes to another service's new server.
    Pass(usize),
    Replace {
        registry: usize,
        store: usize,
    },
    /// So many more downloads a second, of three seconds each; none: the ordinary ones again.
    Downloads(f64),
    PlatformLies(bool),
    /// Bound filings go to the middle, or to the north as ever.
    Bind(bool),
    Empty(&'static str),
    Return(&'static str),
    /// Order 0 of an evacuation empties its zone, order 1 returns it; a registry that `dies` does so with
    /// the call in hand.
    Order {
        evacuation: usize,
        order: usize,
        dies: bool,
    },
    Put,
    /// A setup whose classes stand in another order.
    PutTurned,
    Read,
    /// Two operators under one version.
    Race,
    /// What this operation asked for, by an operator who has no answer.
    SendAgain(usize),
}

pub fn act(sim: &mut Sim, number: usize) {
    let Some(act) = sim.script.get(number).cloned() else { return };
    sim.note(|| format!("script: {act:?}"));
    match act {
        Act::Start(_) if sim.has(crate::sim::breaks::Break::StaysDown) => {}
        Act::Start(daemon) if sim.world.retired.contains(&daemon) => {}
        Act::Start(daemon) => {
            let host = sim.daemons[daemon].host;
            if !sim.net.hosts[host].up || !sim.net.hosts[host].powered {
                sim.start_daemon(daemon);
            } else if sim.daemons[daemon].leaving {
                // Still finishing: it is started again once it has ended.
                sim.net.at(sim.net.now + Duration::from_millis(200), Event::Script(number));
            }
        }
        Act::Crash { daemon, power } => sim.crash(daemon, power),
        Act::CrashAll | Act::StartAll => {
            for daemon in 0..sim.daemons.len() {
                if sim.world.retired.contains(&daemon) {
                    continue;
                }
                match act {
                    Act::CrashAll => sim.crash(daemon, true),
                    _ => sim.start_daemon(daemon),
                }
            }
        }
        Act::Terminate(daemon) => sim.terminate(daemon),
        Act::Freeze(daemon) => {
            let host = sim.daemons[daemon].host;
            sim.net.freeze(host);
        }
        Act::Wake(daemon) => {
            let host = sim.daemons[daemon].host;
            sim.net.wake(host);
            sim.look();
        }
        Act::Wipe(daemon) => sim.wipe(daemon),
        Act::Cut { left, right, one_way } => sim.net.cut(&left, &right, one_way),
        Act::Uncut { left, right, one_way } => sim.net.uncut(&left, &right, one_way),
        Act::Slow(slowness) => sim.net.slowness = slowness,
        Act::DiskFull(daemon, is_full) => {
            if let Duty::Store(store) = &mut sim.daemons[daemon].duty {
                store.disk.is_full = is_full;
            }
        }
        Act::WallJump(daemon, ms) => {
            let host = sim.daemons[daemon].host;
            sim.net.hosts[host].wall_ms += ms;
        }
        Act::StopServer { server, power } => sim.stop_server(server, power),
        Act::StartServer(server) => {
            // Another fault may have had it started already.
            let host = &sim.net.hosts[sim.world.servers[server].host];
            if !host.up || !host.powered {
                sim.start_server(server);
            }
        }
        Act::FreezeServer(server, is_frozen) => {
            let host = sim.world.servers[server].host;
            if is_frozen {
                sim.net.freeze(host);
            } else {
                sim.net.wake(host);
            }
        }
        Act::Surge(zone, weight) => {
            for caller in sim.world.callers.iter_mut().filter(|caller| caller.zone == zone) {
                caller.weight = weight;
            }
        }
        Act::Behave { server, manner, part } => {
            sim.behave(server, manner, part);
        }
        Act::Leave(server) => {
            let id = sim.world.servers[server].id.clone();
            sim.world.leaves.push((sim.net.now, server, sim.platform.revision + 1));
            publish(sim, |list| {
                for one in list.iter_mut().filter(|one| one.id == id) {
                    one.draining = true;
                }
            });
        }
        Act::Remove(server) => {
            let id = sim.world.servers[server].id.clone();
            publish(sim, |list| list.retain(|one| one.id != id));
            sim.world.servers[server].id += "-gone";
        }
        Act::Pass(server) => {
            // Another service's server starts at the address before the platform says so.
            let old = sim.world.servers[server].id.clone();
            sim.world.passed.push((sim.net.now, server));
            let id = format!("{old}-heir");
            sim.world.servers[server].id = id;
            sim.world.servers[server].app = "spare".to_string();
            sim.start_server(server);
            publish(sim, |list| list.retain(|one| one.id != old));
        }
        Act::Replace { registry, .. } if sim.world.retired.contains(&registry) => {}
        Act::Replace { registry, store } => {
            for old in [registry, store] {
                sim.crash(old, true);
                sim.wipe(old);
                sim.world.retired.insert(old);
                let card = sim.daemons[old].card.clone();
                let founders = match &sim.daemons[old].duty {
                    Duty::Store(store) => store.identity.bootstrap_size,
                    _ => 0,
                };
                let name = format!("{}x", card.name);
                let new = sim.add_daemon(card.role, &name, &card.zone, &card.region, founders);
                // Whoever installs a machine names some that run; the others keep the first day's.
                sim.daemons[new].seeds = of_role(sim, Role::Registry)
                    .into_iter()
                    .map(|index| sim.daemons[index].card.cluster_address)
                    .take(3)
                    .collect();
                sim.start_daemon(new);
            }
        }
        Act::Downloads(extra) => {
            let world = &mut sim.world;
            let app = if world.paths[3] == "/documents" { "documents" } else { "extracts" };
            let is_flood = extra > 0.0;
            for server in world.servers.iter_mut().filter(|server| server.app == app) {
                server.service = Duration::from_millis(if is_flood { 3000 } else { 20 });
            }
            if is_flood {
                world.calm_mix = Some((world.rate, world.mix));
                let part = |part: u32| (f64::from(part) * world.rate) as u32;
                let more = (100.0 * extra) as u32;
                let [lookups, filings, bound, bulk] = world.mix.map(part);
                world.mix = [lookups, filings, bound, bulk + more];
                world.rate += extra;
            } else if let Some((rate, mix)) = world.calm_mix.take() {
                (world.rate, world.mix) = (rate, mix);
            }
        }
        Act::PlatformLies(lies) => sim.platform_lies = lies,
        Act::Bind(is_moved) => {
            let (from, to) = if is_moved { (BOUND, MOVED) } else { (MOVED, BOUND) };
            sim.world.setup_text = sim.world.setup_text.replace(from, to);
            put(sim, None);
        }
        Act::Empty(zone) | Act::Return(zone) => {
            let change = match act {
                Act::Empty(_) => Change::DrainZone { zone: zone.to_string() },
                _ => Change::RestoreZone { zone: zone.to_string() },
            };
            let key = format!("zone-{}", sim.operations.len());
            let registry = any_registry(sim);
            sim.operate(Operate::Change { key, change }, registry);
        }
        Act::Order { evacuation, order, dies } => {
            let now = sim.net.now;
            let one = &mut sim.evacuations[evacuation];
            let first = *one.asked_at[order].get_or_insert(now);
            // What was never acknowledged is not withdrawn, and nobody sends an order again for ever.
            let is_due = order == 0 || one.acknowledged_at[0].is_some();
            if !is_due || now > first + SENT_AGAIN_FOR {
                return;
            }
            let zone = one.zone.to_string();
            let change =
                if order == 0 { Change::DrainZone { zone } } else { Change::RestoreZone { zone } };
            let key = format!("order-{evacuation}-{order}-{}", sim.operations.len());
            let registry = any_registry(sim);
            sim.operate(Operate::Change { key, change }, registry);
            if dies {
                // Before the stores have it, while they do, or after.
                let most = [40, 150, 400][sim.net.random.below(3)];
                let when = now + Duration::from_millis(sim.net.random.draw() % most);
                at(sim, when, Act::Crash { daemon: registry, power: false });
                at(sim, when + Duration::from_secs(3), Act::Start(registry));
            }
        }
        Act::Put => {
            put(sim, None);
        }
        Act::PutTurned => crate::sim::worst::put_turned(sim),
        Act::Read => crate::sim::worst::read(sim),
        Act::Race => crate::sim::worst::race(sim),
        Act::SendAgain(operation) => crate::sim::worst::send_again(sim, operation),
    }
}

/// A sending of an order has ended: acknowledged, or to be sent again.
pub fn order_told(sim: &mut Sim, operation: usize) {
    let ended = &sim.operations[operation];
    let Some(evacuation) = ended.what.order() else { return };
    let Operate::Change { change, .. } = &ended.what else { return };
    let order = usize::from(matches!(change, Change::RestoreZone { .. }));
    let (outcome, from) = (ended.outcome.clone(), ended.started_at);
    sim.note(|| format!("order {order} of evacuation {evacuation} of {from:?}: {outcome:?}"));
    let ended = &sim.operations[operation];
    if matches!(ended.outcome, Some(Outcome::Accepted { .. })) {
        sim.evacuations[evacuation].acknowledged_at[order] = Some(sim.net.now);
        return;
    }
    let soon = sim.net.now + Duration::from_millis(50);
    at(sim, soon, Act::Order { evacuation, order, dies: false });
}

/// For so long an order is sent again (the platform's pages).
const SENT_AGAIN_FOR: Duration = Duration::from_secs(8);
