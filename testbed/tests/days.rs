//! Simulated days with fixed seeds: each kind of fault in both deployments, judged from outside.
//! Longer runs: `cargo run --release -p vanepath-testbed -- simulate --seeds 1-1000`.

use std::time::Duration;
use strum::IntoEnumIterator;
use vanepath_cluster::wire::Role;
use vanepath_testbed::sim::control::{Duty, Sim, What};
use vanepath_testbed::sim::day::{Deployment, Fault, Plan, run};
use vanepath_testbed::sim::judge::judge;
use vanepath_testbed::sim::net::Delays;
use vanepath_testbed::sim::{cores, on_threads};

/// How often an operator does something.
const OPERATOR: Duration = Duration::from_millis(900);

/// Runs days on all cores and gives what the judges found.
fn days(operator_every: Duration, work: Vec<(u64, Deployment, Vec<Fault>)>) -> Vec<String> {
    let found = std::sync::Mutex::new(Vec::new());
    on_threads(cores(), work.len(), |index| {
        let (seed, deployment, faults) = &work[index];
        let plan = Plan { operator_every, ..Plan::new(*deployment, faults) };
        let judgement = judge(&run(*seed, &plan));
        assert!(judgement.lookups > 500 && judgement.filings > 100);
        for fault in judgement.faults {
            let line = format!("seed {seed} {deployment:?} {faults:?}: {fault}");
            found.lock().unwrap().push(line);
        }
    });
    found.into_inner().unwrap()
}

#[test]
fn each_kind_of_fault_on_a_day_of_its_own() {
    let mut work = Vec::new();
    for fault in Fault::iter() {
        for deployment in [Deployment::Raiocerto, Deployment::Guild] {
            for seed in 1..=2 {
                work.push((seed, deployment, vec![fault]));
            }
        }
    }
    let found = days(OPERATOR, work);
    assert!(found.is_empty(), "{}", found.join("\n"));
}

#[test]
fn core_machines_are_swapped_one_after_the_other() {
    let mut work = Vec::new();
    for fault in [Fault::SwapAllCore, Fault::ReplaceCore, Fault::LoseDisk] {
        for seed in 1..=4 {
            work.push((seed, Deployment::Raiocerto, vec![fault]));
            work.push((seed, Deployment::Guild, vec![fault]));
        }
    }
    let found = days(OPERATOR, work);
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// Days on a platform that does not number its lists, with what befalls registries, core machines, the network and
/// servers: what any registry has read all proxies go by in time, and none goes back (incident 0017).
#[test]
fn a_platform_without_numbers_is_followed_as_well() {
    use Fault::*;
    let kinds = [
        None,
        ServerLeaves,
        AddressPassed,
        KillRegistry,
        FreezeRegistry,
        KillControl,
        KillAll,
        ControlCutOff,
        SplitControl,
        OneWayCut,
        CoreMachineDies,
        CoreMachineFreezes,
        CoreMachineCutOff,
        SwapAllCore,
        SlowNetwork,
        ZoneCut,
        RegionCut,
    ];
    let found = std::sync::Mutex::new(Vec::new());
    on_threads(cores(), 2 * kinds.len(), |index| {
        let deployment = [Deployment::Raiocerto, Deployment::Guild][index % 2];
        // Servers leave on each of them.
        let faults = [kinds[index / 2], ServerLeaves];
        let plan =
            Plan { plain_lists: true, overlap: true, rate: 0.3, ..Plan::new(deployment, &faults) };
        for seed in 1..=2 {
            for text in judge(&run(seed, &plan)).faults {
                found
                    .lock()
                    .unwrap()
                    .push(format!("seed {seed} {deployment:?} {faults:?}: {text}"));
            }
        }
    });
    let found = found.into_inner().unwrap();
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// The users' five worst days of the control side (docs/control.md), with three core machines and with five.
#[test]
fn the_worst_days_of_the_control_side() {
    let kinds = [
        Fault::ControlCut20s,
        Fault::OperatorsRaceLostAnswers,
        Fault::SecondLossAfterRepair,
        Fault::HundredsOfChangesThenRestart,
        Fault::WrongAnswersAndResends,
    ];
    let found = std::sync::Mutex::new(Vec::new());
    let days: Vec<(Fault, Deployment, usize, u64)> = kinds
        .into_iter()
        .flat_map(|fault| (1..=4).map(move |seed| (fault, seed)))
        .map(|(fault, seed)| {
            let deployment = [Deployment::Raiocerto, Deployment::Guild][seed as usize % 2];
            (fault, deployment, if seed > 2 { 5 } else { 3 }, seed)
        })
        .collect();
    on_threads(cores(), days.len(), |index| {
        let (fault, deployment, stores, seed) = days[index];
        let plan = Plan { stores, rate: 0.3, ..Plan::new(deployment, &[fault]) };
        for text in judge(&run(seed, &plan)).faults {
            let line = format!("{fault} {deployment:?}, {stores} stores, seed {seed}: {text}");
            found.lock().unwrap().push(line);
        }
    });
    let found = found.into_inner().unwrap();
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// Several faults on one day, some at the heels of others.
#[test]
fn mixed_days() {
    // The one that is several at a time has days of its own; so these are the days that they were.
    let faults: Vec<Fault> = Fault::iter().filter(|fault| !fault.is_several()).collect();
    let mut work = Vec::new();
    for seed in 101..=116 {
        let mut random = vanepath_testbed::sim::Random::new(seed);
        let mix = (0..3).map(|_| faults[random.below(faults.len())]).collect();
        let deployment = if seed % 2 == 0 { Deployment::Raiocerto } else { Deployment::Guild };
        work.push((seed, deployment, mix));
    }
    let found = days(OPERATOR, work);
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// A surge that makes servers slow, beside a zone that is cut off.
/// Found what is listed in docs/proof.md.
#[test]
fn what_comes_beside_a_surge() {
    use Fault::{ServerKilled, Surge, ZoneCut};
    let work = vec![(113, Deployment::Guild, vec![ServerKilled, Surge, ZoneCut])];
    let found = days(OPERATOR, work);
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// A surge beside downloads that take seconds: callers that left slow proxies without asking their budget
/// had 586 of 2,621 requests done twice in ten seconds of the first of these days.
#[test]
fn downloads_beside_a_surge() {
    use Fault::{Downloads, KillRegistry, Surge};
    let work =
        (110..=113).map(|seed| (seed, Deployment::Raiocerto, vec![Downloads, KillRegistry, Surge]));
    let found = days(OPERATOR, work.collect());
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// Two and three faults at one time, no more of them wide than the users' worlds have to survive.
#[test]
fn overlapping_faults() {
    use Fault::*;
    let mut work: Vec<(u64, Vec<Fault>)> =
        (201..=214).map(|seed| (seed, vanepath_testbed::sim::day::overlapping(seed))).collect();
    // These found what is listed in docs/proof.md.
    work.push((1, vec![FreezeProxyLong, KillProxy, SwapAllCore]));
    work.push((9, vec![ServerColdTwice, KillAll, FreezeProxyLong]));
    work.push((29, vec![KillProxy, SwapAllCore, KillRegistry]));
    work.push((65, vec![OneWayCut, Storm, EmptyZone]));
    work.push((205, vec![CallersCut, SwapAllCore, EmptyZone]));
    work.push((94, vec![FreezeProxy, KillManyProxies, Surge]));
    work.push((68, vec![RegionPower, CallersCut, IsolateProxy]));
    let found = std::sync::Mutex::new(Vec::new());
    on_threads(cores(), 2 * work.len(), |index| {
        let (seed, faults) = work[index / 2].clone();
        let deployment = [Deployment::Raiocerto, Deployment::Guild][index % 2];
        let plan = Plan { overlap: true, rate: 0.4, ..Plan::new(deployment, &faults) };
        for fault in judge(&run(seed, &plan)).faults {
            found.lock().unwrap().push(format!("seed {seed} {deployment:?} {faults:?}: {fault}"));
        }
    });
    let found = found.into_inner().unwrap();
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// A platform that tells an empty list now and then, and registries that are new and know none: they must
/// not bring the fleet to believe it.
#[test]
fn an_empty_list_told_to_new_registries_is_not_believed() {
    let faults = [Fault::ServerShortPower, Fault::SwapAllCore, Fault::PlatformLies];
    let plan = Plan { overlap: true, rate: 0.4, ..Plan::new(Deployment::Guild, &faults) };
    let found = judge(&run(209, &plan)).faults;
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// A second fault in the middle of a surge: half of all work that the fleet can do is asked for, and a
/// part of the fleet goes.
#[test]
fn faults_at_the_peak_of_a_surge() {
    use Fault::{EmptyZone, RegionPower, SplitControl, Surge, ZonePower};
    let mut work = Vec::new();
    for second in [ZonePower, EmptyZone, SplitControl] {
        work.push((1, Deployment::Raiocerto, vec![Surge, second]));
        work.push((2, Deployment::Guild, vec![Surge, second]));
    }
    // Found what is listed in docs/proof.md.
    work.push((5, Deployment::Guild, vec![Surge, RegionPower]));
    let found = days(OPERATOR, work);
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// Evacuations of one zone that overlap, by orders that are sent again without a key: each holds until it
/// is withdrawn itself, and then the zone is back (incident 0006).
#[test]
fn each_order_to_empty_a_zone_holds_for_itself() {
    use Fault::*;
    let mut work = Vec::new();
    for seed in 1..=8 {
        work.push((seed, Deployment::Raiocerto, vec![OverlappingEvacuations]));
        work.push((seed, Deployment::Guild, vec![OverlappingEvacuations]));
    }
    let mut found = days(OPERATOR, work);
    // With stores that die or are slow as well.
    let beside = [SlowNetwork, KillStore, KillRegistry, FreezeStore];
    let beside: Vec<(u64, Fault)> =
        (1..=4).flat_map(|seed| beside.map(|fault| (seed, fault))).collect();
    // The other days with a slow network are below.
    let beside = beside.into_iter().filter(|one| *one != (4, SlowNetwork)).collect();
    found.extend(evacuations_beside(beside));
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// Orders without keys where the network is slow: some that are sent again are counted as others.
/// Found what is listed in docs/proof.md.
#[test]
fn orders_to_empty_a_zone_on_a_slow_network() {
    let seeds = [4, 6, 18, 21, 23, 27, 34, 42];
    let found = evacuations_beside(seeds.map(|seed| (seed, Fault::SlowNetwork)).to_vec());
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// What judges find on days of overlapping evacuations beside another fault.
fn evacuations_beside(beside: Vec<(u64, Fault)>) -> Vec<String> {
    let found = std::sync::Mutex::new(Vec::new());
    on_threads(cores(), beside.len(), |index| {
        let (seed, fault) = beside[index];
        let faults = [Fault::OverlappingEvacuations, fault];
        let plan = Plan { overlap: true, rate: 0.4, ..Plan::new(Deployment::Raiocerto, &faults) };
        for fault in judge(&run(seed, &plan)).faults {
            found.lock().unwrap().push(format!("seed {seed} {faults:?}: {fault}"));
        }
    });
    found.into_inner().unwrap()
}

/// Daemons of every role start anew amid a storm of setups, while others lag, stand still and are cut off:
/// none goes by an older word than any earlier life of it, and no lookup is lost for that.
#[test]
fn who_starts_anew_never_goes_by_an_older_word() {
    let mut work = Vec::new();
    for seed in 1..=8 {
        work.push((seed, Deployment::Raiocerto, vec![Fault::RestartsInStorm]));
        work.push((seed, Deployment::Guild, vec![Fault::RestartsInStorm]));
    }
    let found = days(OPERATOR, work);
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// The floor holds nobody up for long (design 5.8): whatever is gone or cut off, and with all daemons at one
/// time. Figures: docs/measurements.md, "From start to ready".
#[test]
fn who_starts_takes_work_soon() {
    use vanepath_testbed::sim::starts::{Scene, measure};
    let mut late = Vec::new();
    for deployment in [Deployment::Raiocerto, Deployment::Guild] {
        for scene in Scene::iter() {
            // Witnesses are waited for where no majority of stores is in reach.
            let most = if scene == Scene::RegionCut { 2200 } else { 1000 };
            for seed in 1..=2 {
                for start in measure(seed, scene, &Plan::new(deployment, &[])) {
                    if start.took.is_none_or(|took| took > Duration::from_millis(most)) {
                        let (role, took) = (start.role, start.took);
                        late.push(format!("{deployment:?} {scene} {seed} {role}: {took:?}"));
                    }
                }
            }
        }
    }
    assert!(late.is_empty(), "{}", late.join("\n"));
}

/// Every accepted setup is still read back when all three disks are new.
#[test]
fn a_long_history_outlives_every_disk() {
    let often = Duration::from_millis(100);
    let work = vec![(7, Deployment::Guild, vec![Fault::None, Fault::None, Fault::SwapAllCore])];
    let found = days(often, work);
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// Days with five stores: two disks, or two core machines, are lost at one time, and all five machines
/// are swapped in turn.
#[test]
fn five_stores_lose_two_at_one_time() {
    use Fault::*;
    let mut work = Vec::new();
    for fault in [LoseDisk, ReplaceCore, SwapAllCore, SwapAllCoreThenKillAll] {
        work.extend((1..=2).map(|seed| (seed, vec![fault])));
    }
    for fault in [None, KillStore, KillControl, KillAll, RegionPower, RegionCut, SplitControl] {
        work.push((4, vec![fault]));
    }
    for fault in [OneWayCut, DiskFull, RollingRestart, Storm, FreezeStore, SlowNetwork] {
        work.push((5, vec![fault, LoseDisk]));
    }
    days_of(5, 0, work);
}

/// With a spare store: whoever is cut off or down for long loses its seat to it, comes back as an empty
/// one and waits; nobody has to do anything.
#[test]
fn a_spare_takes_a_lost_seat_and_its_holder_waits_in_turn() {
    use Fault::*;
    let mut work = Vec::new();
    for fault in [KillStore, CoreMachineCutOff, CoreMachineFreezes, OneWayCut, SplitControl] {
        work.extend((1..=2).map(|seed| (seed, vec![fault, fault])));
    }
    work.push((4, vec![KillAll, LoseDisk, ReplaceCore]));
    work.push((5, vec![SwapAllCoreThenKillAll]));
    work.push((6, vec![DiskFull, RollingRestart, RegionCut]));
    let taken = days_of(3, 1, work.clone()) + days_of(5, 2, work);
    assert!(taken > 10, "spares had {taken} seats at the ends of all days");
}

/// Days with so many stores and spares: all is well by the judges, and at the end so many vote. How many
/// of the spares were among those.
fn days_of(stores: usize, spares: usize, work: Vec<(u64, Vec<Fault>)>) -> usize {
    let taken = std::sync::atomic::AtomicUsize::new(0);
    let found = std::sync::Mutex::new(Vec::new());
    on_threads(cores(), 2 * work.len(), |index| {
        let (seed, faults) = &work[index / 2];
        let deployment = [Deployment::Raiocerto, Deployment::Guild][index % 2];
        let plan = Plan { stores, spares, rate: 0.3, ..Plan::new(deployment, faults) };
        let day = run(*seed, &plan);
        let mut faults_found = judge(&day).faults;
        let mut voting = 0;
        for (index, daemon) in day.sim.daemons.iter().enumerate() {
            let Duty::Store(store) = &daemon.duty else { continue };
            if day.sim.is_up(index) && store.core.summary().is_voting {
                voting += 1;
                let is_taken = daemon.card.name.starts_with("spare");
                taken.fetch_add(usize::from(is_taken), std::sync::atomic::Ordering::Relaxed);
            }
        }
        if voting != stores {
            faults_found.push(format!("{voting} stores vote at the end"));
        }
        for fault in faults_found {
            let line = format!("{stores} stores, seed {seed} {deployment:?} {faults:?}: {fault}");
            found.lock().unwrap().push(line);
        }
    });
    let found = found.into_inner().unwrap();
    assert!(found.is_empty(), "{}", found.join("\n"));
    taken.into_inner()
}

/// An empty core machine that is started as another one dies has its seat and votes before the next one
/// may be replaced.
#[test]
fn a_replaced_core_machine_votes_within_five_seconds() {
    let mut took = Vec::new();
    for deployment in [Deployment::Raiocerto, Deployment::Guild] {
        for stores in [3, 5] {
            let base = Plan { rate: 0.02, traces: true, stores, ..Plan::new(deployment, &[]) };
            for seed in 1..=3 {
                let day = run(seed, &Plan { faults: vec![Fault::SwapAllCore], ..base.clone() });
                let at = |line: &String| line.trim_start()[..6].trim().parse::<f64>().unwrap();
                let lines = day.sim.trace.iter();
                let replaced = lines.clone().filter(|line| line.contains("script: Replace"));
                let admitted = lines.filter(|line| line.contains("admitted to its seat"));
                let pairs: Vec<f64> =
                    replaced.zip(admitted).map(|(from, to)| at(to) - at(from)).collect();
                assert_eq!(pairs.len(), stores);
                took.extend(pairs);
            }
        }
    }
    let most = took.iter().copied().fold(0.0, f64::max);
    println!("{} machines, at the most {most:.1} s", took.len());
    assert!(most < 5.0, "{most} s");
}

/// All stores start within a second of each other, with seeds of up to three others: two seconds after
/// the last one they have begun the word and vote.
#[test]
fn the_word_begins_within_two_seconds_of_the_start() {
    let mut late = Vec::new();
    for stores in [3, 5, 7] {
        for seed in 1..=10_u64 {
            let region = Duration::from_millis(55);
            let (zone, caller) = (Duration::from_millis(1), Duration::from_millis(8));
            let mut sim = Sim::new(seed, Delays { zone, region, caller });
            for number in 0..stores {
                let name = format!("store-{number}");
                let region = format!("region-{}", number % 3);
                sim.add_daemon(Role::Store, &name, &format!("zone-{number}"), &region, stores);
            }
            for number in 0..stores {
                // The three after it in a ring, or as many as there are.
                let others = (1..=3.min(stores - 1)).map(|step| (number + step) % stores);
                let seeds = others.map(|other| sim.daemons[other].card.cluster_address).collect();
                sim.daemons[number].seeds = seeds;
            }
            for number in 0..stores {
                let at = Duration::from_millis(1000 * number as u64 / (stores as u64 - 1));
                sim.run_until(at);
                sim.start_daemon((number + seed as usize) % stores);
            }
            sim.run_until(Duration::from_secs(3));
            let votes = sim.daemons.iter().filter(|daemon| match &daemon.duty {
                Duty::Store(store) => store.core.summary().is_voting,
                _ => false,
            });
            let votes = votes.count();
            if votes < stores {
                late.push(format!("seed {seed}: {votes} of {stores} stores vote"));
            }
        }
    }
    assert!(late.is_empty(), "{}", late.join("\n"));
}

/// Over a hundred changes in ten seconds, where a round trip between stores takes longer than the pause
/// between two of them: none waits for those before it.
#[test]
fn a_storm_of_changes_does_not_queue_up() {
    for stores in [3, 5] {
        let operator_every = Duration::from_millis(80);
        let plan = Plan {
            rate: 0.3,
            operator_every,
            stores,
            ..Plan::new(Deployment::Raiocerto, &[Fault::None])
        };
        let day = run(1, &plan);
        let faults = judge(&day).faults;
        assert!(faults.is_empty(), "{}", faults.join("\n"));
        let took: Vec<Duration> = day
            .sim
            .operations
            .iter()
            .filter(|one| matches!(one.what, What::Change { .. }))
            .map(|one| one.ended_at.expect("it is over") - one.started_at)
            .collect();
        assert!(took.len() > 300, "{} changes", took.len());
        let most = took.iter().max().unwrap();
        assert!(*most < Duration::from_millis(900), "{stores} stores: one took {most:?}");
    }
}

/// Each judge sees what it is there for: the product is broken on purpose, one way at a time.
#[test]
fn every_judge_can_find_fault() {
    use vanepath_testbed::sim::breaks::Break;
    let cases = [
        (Break::FilingsGoAgain, Fault::ServersMisbehave, "filing"),
        (Break::LiesNotRun, Fault::ServersMisbehave, "filing"),
        (Break::LookupsGiveUp, Fault::ServersOneByOne, "unanswered"),
        (Break::IgnoresEmptied, Fault::EmptyZone, "in emptied"),
        (Break::IgnoresLeaving, Fault::ServerLeaves, "got work"),
        (Break::SlipsBack, Fault::None, "went back from revision"),
        (Break::LateWord, Fault::None, "could have been known"),
        (Break::FloodsCold, Fault::ServersOneByOne, "cold server"),
        (Break::UnboundRetries, Fault::ServersMisbehave, "further goes"),
        (Break::ForgetsBounds, Fault::RegionPower, "bound filing"),
        (Break::LongReceipts, Fault::None, "a receipt holds"),
        (Break::DisksLie, Fault::KillAll, "revision"),
        (Break::AltersReads, Fault::None, "two contents"),
        (Break::WrongRevisions, Fault::None, "saw revision"),
        (Break::ForgetsKeys, Fault::None, "one submission came into force"),
        (Break::StaysDown, Fault::KillAll, "lookups served after the last fault"),
        // On days that were left out of account until the judges asked what each daemon could know.
        (Break::LateWord, Fault::FreezeProxy, "could have been known"),
        (Break::LateWord, Fault::KillControl, "could have been known"),
        (Break::IgnoresLeaving, Fault::ServerLeaves, "after it could have known"),
        (Break::StartsStale, Fault::KillProxy, "serves by word"),
        (Break::StartsStale, Fault::KillAll, "serves by word"),
        (Break::StillSteersThere, Fault::EmptyZone, "a caller came to"),
        (Break::RefusesFilings, Fault::None, "Filing"),
        (Break::DoubtsFilings, Fault::None, "in doubt for nothing"),
        (Break::RefusesOperators, Fault::SplitControl, "an operator's call"),
        (Break::StaysDown, Fault::KillAll, "filings served after the last fault"),
        (Break::StaysDown, Fault::KillControl, "operators' writes served after the last fault"),
        (Break::StaysDown, Fault::KillControl, "operators' reads served after the last fault"),
        (Break::TakesInvalid, Fault::None, "an invalid setup was accepted"),
        (Break::ForgetsBounds, Fault::BoundsMove, "bound filing"),
        (Break::LateWord, Fault::BoundsMove, "could have been known"),
        (Break::IgnoresLeaving, Fault::PlatformLies, "got work"),
        (Break::OneOrderForAll, Fault::OverlappingEvacuations, "in emptied"),
        (Break::CountsSentAgain, Fault::OverlappingEvacuations, "is emptied still"),
        (Break::DirectoriesStayDown, Fault::None, "directory polls served after the last fault"),
        (Break::NoFloor, Fault::RestartsInStorm, ", and went by"),
        (Break::ForgetsVersions, Fault::OperatorsRaceLostAnswers, "both accepted under version"),
        (Break::ForgetsKeys, Fault::ControlCut20s, "one submission came into force"),
        (Break::DisksLie, Fault::SecondLossAfterRepair, "revision"),
        (Break::SlipsBack, Fault::HundredsOfChangesThenRestart, "went back from revision"),
        (Break::FilingsGoAgain, Fault::WrongAnswersAndResends, "filing"),
    ];
    let blind = std::sync::Mutex::new(Vec::new());
    on_threads(cores(), cases.len(), |index| {
        let (one, fault, wanted) = &cases[index];
        // Chance may spare one day; none of the four is all right.
        let mut found = Vec::new();
        for seed in 1..=4 {
            let plan =
                Plan { breaks: Some(*one), rate: 1.0, ..Plan::new(Deployment::Guild, &[*fault]) };
            found.extend(judge(&run(seed, &plan)).faults);
            if found.iter().any(|fault| fault.contains(wanted)) {
                break;
            }
        }
        if !found.iter().any(|fault| fault.contains(wanted)) {
            blind.lock().unwrap().push(format!("{one}: {found:?}"));
        }
    });
    let blind = blind.into_inner().unwrap();
    assert!(blind.is_empty(), "{}", blind.join("\n"));
}

/// Daemons are killed at every numbered point of what they do, each in turn.
#[test]
fn killed_at_every_point_in_turn() {
    use vanepath_testbed::sim::breaks::{Point, Visit};
    let points: Vec<(Point, u32)> =
        Point::iter().flat_map(|point| [1, 2, 3, 5, 8, 13].map(|turn| (point, turn))).collect();
    let found = std::sync::Mutex::new(Vec::new());
    on_threads(cores(), points.len(), |index| {
        let (point, turn) = points[index];
        let from = Duration::from_secs(13);
        let deployment = if turn % 2 == 0 { Deployment::Raiocerto } else { Deployment::Guild };
        let plan = Plan {
            visit: Some(Visit { point, turn, from }),
            operator_every: Duration::from_millis(300),
            rate: 0.3,
            ..Plan::new(deployment, &[Fault::None])
        };
        let day = run(u64::from(turn), &plan);
        let mut faults = judge(&day).faults;
        if day.sim.visited.is_none() {
            faults.push("the point was never passed".to_string());
        }
        for fault in faults {
            found.lock().unwrap().push(format!("{point} {turn}: {fault}"));
        }
    });
    let found = found.into_inner().unwrap();
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// Thousands of changes: what the stores keep stays bounded, and the last thousand stay readable.
#[test]
fn months_of_changes_stay_bounded() {
    let plan = Plan {
        rate: 0.001,
        operator_every: Duration::from_millis(150),
        ..Plan::new(Deployment::Guild, &[Fault::None; 20])
    };
    let day = run(3, &plan);
    let latest = day.sim.world.history.last().map_or(0, |one| one.0);
    assert!(latest > 1300, "{latest} revisions");
    for daemon in &day.sim.daemons {
        if let Duty::Store(store) = &daemon.duty {
            let kept = store.disk.versions.len();
            assert!((1000..=1200).contains(&kept), "{kept} versions of {latest}");
        }
    }
    let readable = day.sim.world.history.iter().rev().take(1000);
    let is_read = |outcome: &Option<vanepath_store::protocol::Outcome>| {
        matches!(outcome, Some(vanepath_store::protocol::Outcome::Value { .. }))
    };
    assert!(readable.clone().count() == 1000 && readable.clone().all(|one| is_read(&one.1)));
}

/// With nine of twelve proxies gone, the ones that are left are found.
#[test]
fn the_last_proxies_are_found() {
    let found = std::sync::Mutex::new(Vec::new());
    let seeds = [15, 16, 36];
    on_threads(cores(), seeds.len(), |index| {
        let plan = Plan { rate: 1.0, ..Plan::new(Deployment::Guild, &[Fault::KillManyProxies]) };
        found.lock().unwrap().extend(judge(&run(seeds[index], &plan)).faults);
    });
    let found = found.into_inner().unwrap();
    assert!(found.is_empty(), "{}", found.join("\n"));
}
