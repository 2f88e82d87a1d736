//! When the acts of a fault come.

use super::*;

/// Puts a fault into the script; when it is over.
pub(super) fn schedule(sim: &mut Sim, fault: Fault, start: Duration) -> Duration {
    let ms = Duration::from_millis;
    let pick = |sim: &mut Sim, from: &[usize]| from[sim.net.random.below(from.len())];
    let proxies = of_role(sim, Role::Proxy);
    let registries = of_role(sim, Role::Registry);
    let stores = of_role(sim, Role::Store);
    let core: Vec<usize> = registries.iter().chain(&stores).copied().collect();
    let all: Vec<usize> = core.iter().chain(&proxies).copied().collect();
    let hosts = |sim: &Sim, of: &[usize]| -> Vec<usize> {
        of.iter().map(|index| sim.daemons[*index].host).collect()
    };
    let long = ms(3000 + sim.net.random.draw() % 5000);
    let end = start + long;
    let zones: Vec<(&'static str, &'static str)> = crate::topology::raiocerto().zones.to_vec();
    let servers: Vec<usize> = (0..sim.world.servers.len())
        .filter(|index| !sim.world.servers[*index].app.contains("spare"))
        .collect();
    let kill = |sim: &mut Sim, who: usize, from: Duration, to: Duration, power: bool| {
        at(sim, from, Act::Crash { daemon: who, power });
        at(sim, to, Act::Start(who));
    };
    let cut = |sim: &mut Sim, left: Vec<usize>, right: Vec<usize>, one_way: bool| {
        let (first, second) = (left.clone(), right.clone());
        at(sim, start, Act::Cut { left, right, one_way });
        at(sim, end, Act::Uncut { left: first, right: second, one_way });
    };
    // The machine of a seat: its registry and its store.
    let seat = sim.net.random.below(registries.len());
    let machine = [registries[seat], stores[seat]];
    // Of five disks, or core machines, two may be lost at one time.
    let both = if registries.len() < 5 { vec![0] } else { vec![0, 1 + sim.net.random.below(4)] };
    let beside = |one: usize| both.iter().map(move |step| (one + step) % 5).collect::<Vec<usize>>();
    match fault {
        Fault::ControlCut20s
        | Fault::OperatorsRaceLostAnswers
        | Fault::SecondLossAfterRepair
        | Fault::HundredsOfChangesThenRestart
        | Fault::WrongAnswersAndResends => return crate::sim::worst::schedule(sim, fault, start),
        Fault::None => return start + long,
        Fault::KillProxy | Fault::KillRegistry | Fault::KillStore => {
            let from = match fault {
                Fault::KillProxy => &proxies,
                Fault::KillRegistry => &registries,
                _ => &stores,
            };
            let who = pick(sim, from);
            let power = sim.net.random.chance(0.5);
            kill(sim, who, start, end, power);
        }
        Fault::KillManyProxies => {
            for who in proxies.iter().copied() {
                if sim.net.random.chance(0.6) {
                    kill(sim, who, start, end, false);
                }
            }
        }
        Fault::KillControl => {
            for who in core {
                kill(sim, who, start, end, false);
            }
        }
        Fault::KillAll => {
            let power = sim.net.random.chance(0.5);
            for who in all {
                kill(sim, who, start, end, power);
            }
        }
        Fault::ZonePower | Fault::RegionPower => {
            let (zone, region) = zones[sim.net.random.below(zones.len())];
            let is_hit = |hit_zone: &str, hit_region: &str| match fault {
                Fault::ZonePower => hit_zone == zone,
                _ => hit_region == region,
            };
            for who in all {
                let card = sim.daemons[who].card.clone();
                if is_hit(&card.zone, &card.region) {
                    kill(sim, who, start, end, true);
                }
            }
            for server in servers {
                let (zone, region) = {
                    let server = &sim.world.servers[server];
                    (server.zone.clone(), server.region.clone())
                };
                if is_hit(&zone, &region) {
                    at(sim, start, Act::StopServer { server, power: true });
                    let later = ms(sim.net.random.draw() % 2000);
                    at(sim, end + later, Act::StartServer(server));
                }
            }
            return end + ms(2001);
        }
        Fault::FreezeProxy | Fault::FreezeRegistry | Fault::FreezeStore => {
            let from = match fault {
                Fault::FreezeProxy => &proxies,
                Fault::FreezeRegistry => &registries,
                _ => &stores,
            };
            let who = pick(sim, from);
            at(sim, start, Act::Freeze(who));
            at(sim, end, Act::Wake(who));
        }
        Fault::IsolateProxy | Fault::IsolateCore => {
            let who = pick(sim, if fault == Fault::IsolateProxy { &proxies } else { &core });
            let left = vec![sim.daemons[who].host];
            // From all our daemons; callers and servers still reach it.
            let right = hosts(sim, &all);
            cut(sim, left, right, false);
        }
        Fault::SplitControl => {
            let who = pick(sim, &registries);
            let region = sim.daemons[who].card.region.clone();
            let is_in = |sim: &Sim, who: &usize| sim.daemons[*who].card.region == region;
            let left: Vec<usize> = core.iter().copied().filter(|who| is_in(sim, who)).collect();
            let right: Vec<usize> = core.iter().copied().filter(|who| !is_in(sim, who)).collect();
            let (left, right) = (hosts(sim, &left), hosts(sim, &right));
            cut(sim, left, right, false);
        }
        Fault::ControlCutOff => {
            let (left, right) = (hosts(sim, &core), hosts(sim, &proxies));
            cut(sim, left, right, false);
        }
        Fault::OneWayCut => {
            let who = pick(sim, &all);
            let left = vec![sim.daemons[who].host];
            let right = hosts(sim, &all);
            cut(sim, left, right, true);
        }
        Fault::SlowNetwork => {
            at(sim, start, Act::Slow(ms(300)));
            at(sim, end, Act::Slow(ms(0)));
        }
        Fault::LoseDisk => {
            let one = sim.net.random.below(registries.len());
            for who in beside(one).into_iter().map(|seat| stores[seat]) {
                at(sim, start, Act::Crash { daemon: who, power: true });
                at(sim, start, Act::Wipe(who));
                at(sim, end, Act::Start(who));
            }
        }
        Fault::ReplaceCore => {
            for seat in beside(seat) {
                at(sim, start, Act::Replace { registry: registries[seat], store: stores[seat] });
            }
            return start + ms(8000);
        }
        Fault::SwapAllCore | Fault::SwapAllCoreThenKillAll => {
            for seat in 0..registries.len() {
                let when = start + ms(5000) * seat as u32;
                at(sim, when, Act::Replace { registry: registries[seat], store: stores[seat] });
            }
            let over = start + ms(5000) * registries.len() as u32 + ms(3000);
            if fault == Fault::SwapAllCoreThenKillAll {
                at(sim, over + ms(2000), Act::CrashAll);
                at(sim, over + ms(5000), Act::StartAll);
                return over + ms(5000);
            }
            return over;
        }
        Fault::DiskFull => {
            let who = pick(sim, &stores);
            at(sim, start, Act::DiskFull(who, true));
            at(sim, end, Act::DiskFull(who, false));
        }
        Fault::ClockJump => {
            let who = pick(sim, &all);
            let jump_ms = if sim.net.random.chance(0.5) { -86_400_000 } else { 3_600_000 };
            at(sim, start, Act::WallJump(who, jump_ms));
            kill(sim, who, start + ms(500), start + ms(1500), false);
            return start + ms(1500);
        }
        Fault::RollingRestart => {
            let mut when = start;
            for who in all {
                at(sim, when, Act::Terminate(who));
                let pause = if proxies.contains(&who) { ms(5500) } else { ms(700) };
                at(sim, when + pause, Act::Start(who));
                when += if proxies.contains(&who) { ms(1500) } else { ms(2500) };
                if proxies.contains(&who) {
                    when += ms(4500);
                }
            }
            return when + ms(6000);
        }
        Fault::ServerKilled | Fault::ServerColdTwice => {
            let server = pick(sim, &servers);
            let power = sim.net.random.chance(0.5);
            at(sim, start, Act::StopServer { server, power });
            at(sim, end, Act::StartServer(server));
            if fault == Fault::ServerColdTwice {
                at(sim, end + ms(2000), Act::StopServer { server, power: false });
                at(sim, end + ms(4500), Act::StartServer(server));
                return end + ms(9000);
            }
            return end + ms(5000);
        }
        Fault::ServersOneByOne => {
            let server = pick(sim, &servers);
            let app = sim.world.servers[server].app.clone();
            let mut when = start;
            for server in servers {
                if sim.world.servers[server].app == app {
                    at(sim, when, Act::StopServer { server, power: false });
                    at(sim, when + ms(1800), Act::StartServer(server));
                    when += ms(900);
                }
            }
            return when + ms(5000);
        }
        Fault::AllServersCold => {
            let app = sim.world.servers[0].app.clone();
            for server in servers {
                if sim.world.servers[server].app == app {
                    at(sim, start, Act::StopServer { server, power: false });
                    at(sim, start + ms(2500), Act::StartServer(server));
                }
            }
            return start + ms(11_000);
        }
        Fault::ServerLeaves => {
            let server = pick(sim, &servers);
            at(sim, start, Act::Leave(server));
            at(sim, start + ms(6000), Act::Remove(server));
            at(sim, start + ms(6000), Act::StopServer { server, power: true });
            return start + ms(7000);
        }
        Fault::AddressPassed => {
            let server = pick(sim, &servers);
            at(sim, start, Act::StopServer { server, power: false });
            at(sim, start + ms(300), Act::Pass(server));
            return start + ms(8000);
        }
        Fault::ServersMisbehave => {
            let manners = [Manner::RunAndLose, Manner::Truncate, Manner::Silent];
            let many = if sim.has(crate::sim::breaks::Break::UnboundRetries) { 30 } else { 1 };
            for manner in manners.repeat(many) {
                let server = pick(sim, &servers);
                let part = 0.3 + 0.7 * sim.net.random.part();
                at(sim, start, Act::Behave { server, manner, part });
                at(sim, end, Act::Behave { server, manner: Manner::Good, part: 0.0 });
            }
        }
        Fault::EmptyZone => {
            let zone = zones[sim.net.random.below(zones.len())].0;
            at(sim, start, Act::Empty(zone));
            at(sim, start + ms(9000), Act::Return(zone));
            return start + ms(10_000);
        }
        Fault::OverlappingEvacuations => {
            let zone = zones[sim.net.random.below(zones.len())].0;
            let count = 2 + sim.net.random.below(2);
            let mut when = [start, start + ms(8000)];
            for _ in 0..count {
                let (asked_at, acknowledged_at) = ([None; 2], [None; 2]);
                sim.evacuations.push(Evacuation { zone, asked_at, acknowledged_at });
                let evacuation = sim.evacuations.len() - 1;
                for (order, when) in when.iter_mut().enumerate() {
                    let dies = sim.net.random.chance(0.5);
                    at(sim, *when, Act::Order { evacuation, order, dies });
                    *when += ms(1200 + sim.net.random.draw() % 1500);
                }
            }
            return start + ms(19_000);
        }
        Fault::Storm => {
            for _ in 0..20 {
                let later = ms(sim.net.random.draw() % 2000);
                at(sim, start + later, Act::Put);
            }
            return start + ms(3000);
        }
        Fault::RestartsInStorm => {
            let storm = 20_000;
            for _ in 0..50 {
                let later = ms(sim.net.random.draw() % storm);
                at(sim, start + later, Act::Put);
            }
            let restart = |sim: &mut Sim, who: usize, when: Duration| {
                let power = sim.net.random.chance(0.5);
                kill(sim, who, when, when + ms(400), power);
            };
            // It hears of nothing new, and tells proxies what it has.
            let lags = registries[seat];
            let others: Vec<usize> = core.iter().copied().filter(|one| *one != lags).collect();
            let between = |sim: &mut Sim, who: usize, others: &[usize], from, to, one_way: bool| {
                let (left, right) = (vec![sim.daemons[who].host], hosts(sim, others));
                let (first, second) = (left.clone(), right.clone());
                at(sim, from, Act::Cut { left, right, one_way });
                at(sim, to, Act::Uncut { left: first, right: second, one_way });
            };
            let one_way = sim.net.random.chance(0.3);
            let part: Vec<usize> = others.iter().chain(&proxies).copied().collect();
            let (lag_from, lag_to) = (start + ms(2000), start + ms(11_000));
            // Proxies still ask it; it asks nobody and is told by nobody.
            between(sim, lags, &others, lag_from, lag_to, false);
            if one_way {
                between(sim, lags, &part, lag_from, lag_from + ms(2000), true);
            }
            let sleeps = registries[(seat + 1) % registries.len()];
            at(sim, start + ms(4000), Act::Freeze(sleeps));
            at(sim, start + ms(7000), Act::Wake(sleeps));
            // One proxy starts where it hears of that registry alone.
            let apart = proxies[0];
            let rest: Vec<usize> =
                all.iter().copied().filter(|one| *one != lags && *one != apart).collect();
            between(sim, apart, &rest, start + ms(5000), start + ms(10_000), false);
            restart(sim, apart, start + ms(6000));
            let mut when = start + ms(2500);
            for who in proxies.iter().skip(1) {
                restart(sim, *who, when);
                when += ms(700);
            }
            when = when.max(start + ms(12_000));
            for who in registries.iter().chain(&stores) {
                restart(sim, *who, when);
                when += ms(900);
            }
            at(sim, when + ms(1500), Act::CrashAll);
            at(sim, when + ms(2000), Act::StartAll);
            return when + ms(2000);
        }
        Fault::CoreMachineDies => {
            for who in machine {
                kill(sim, who, start, end, true);
            }
        }
        Fault::CoreMachineFreezes => {
            for who in machine {
                at(sim, start, Act::Freeze(who));
                at(sim, end, Act::Wake(who));
            }
        }
        Fault::CoreMachineCutOff => {
            let left = hosts(sim, &machine);
            let right = hosts(sim, &all).into_iter().filter(|host| !left.contains(host)).collect();
            cut(sim, left, right, false);
        }
        Fault::ServerFreezes => {
            let server = pick(sim, &servers);
            at(sim, start, Act::FreezeServer(server, true));
            at(sim, end, Act::FreezeServer(server, false));
            return end + ms(2000);
        }
        Fault::ServerHalfCut | Fault::ServerMute => {
            let server = pick(sim, &servers);
            let left = vec![sim.world.servers[server].host];
            let right: Vec<usize> = hosts(sim, &proxies)
                .into_iter()
                .filter(|_| fault == Fault::ServerMute || sim.net.random.chance(0.5))
                .collect();
            cut(sim, left, right, fault == Fault::ServerMute);
            return end + ms(2000);
        }
        Fault::ServerShortPower => {
            let server = pick(sim, &servers);
            let back = start + ms(1600 + sim.net.random.draw() % 3400);
            at(sim, start, Act::StopServer { server, power: true });
            at(sim, back, Act::StartServer(server));
            return back + ms(9000);
        }
        Fault::ZoneCut | Fault::RegionCut => {
            let (zone, region) = zones[sim.net.random.below(zones.len())];
            let is_hit = |host: &crate::sim::net::Host| match fault {
                Fault::ZoneCut => host.zone == zone,
                _ => host.region == region,
            };
            let inside = |sim: &Sim, is_in: bool| -> Vec<usize> {
                (0..sim.net.hosts.len())
                    .filter(|host| !sim.net.hosts[*host].zone.is_empty())
                    .filter(|host| is_hit(&sim.net.hosts[*host]) == is_in)
                    .collect()
            };
            let (left, right) = (inside(sim, true), inside(sim, false));
            cut(sim, left, right, false);
            return end + ms(2000);
        }
        Fault::CallersCut => {
            let region = zones[sim.net.random.below(zones.len())].1;
            let left: Vec<usize> = sim
                .world
                .callers
                .iter()
                .filter(|caller| zones.iter().any(|one| *one == (&caller.zone, region)))
                .map(|caller| caller.host)
                .collect();
            let right = proxies
                .iter()
                .filter(|who| sim.daemons[**who].card.region == region)
                .map(|who| sim.daemons[*who].host)
                .collect();
            cut(sim, left, right, false);
        }
        Fault::Downloads => {
            let extra = 37.0 * proxies.len() as f64;
            at(sim, start, Act::Downloads(extra));
            at(sim, start + ms(5000), Act::Downloads(0.0));
            return start + ms(20_000);
        }
        Fault::PlatformLies => {
            let server = pick(sim, &servers);
            at(sim, start, Act::PlatformLies(true));
            at(sim, start + ms(500), Act::Leave(server));
            at(sim, start + ms(8000), Act::PlatformLies(false));
            return start + ms(9000);
        }
        Fault::BoundsMove => {
            for turn in 0..6_u32 {
                at(sim, start + ms(1500) * turn, Act::Bind(turn % 2 == 0));
            }
            return start + ms(12_000);
        }
        Fault::Surge => {
            let zone = zones[sim.net.random.below(zones.len())].0;
            at(sim, start, Act::Surge(zone, 3.0));
            at(sim, start + ms(40_000), Act::Surge(zone, 1.0));
            return start + ms(46_000);
        }
        Fault::FreezeProxyLong => {
            let who = pick(sim, &proxies);
            at(sim, start, Act::Freeze(who));
            at(sim, start + ms(25_000), Act::Wake(who));
            return start + ms(25_000);
        }
    }
    end
}
