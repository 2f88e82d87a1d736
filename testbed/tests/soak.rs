//! A short soak test with real processes and fixed seeds. To run longer ones:
//! `cargo run --release -p vanepath-testbed -- soak --seeds 1-50`.

use std::time::Duration;
use vanepath_testbed::soak::script::{Action, Daemon, LinkState, Size, evacuations, generate};
use vanepath_testbed::soak::{Focus, Plan, run};

const SIZE: Size = Size { proxies: 6, cores: 3, servers: 18, zones: 6 };

/// Runs two seeds, one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn a_short_soak_has_no_violations() {
    let plan = Plan {
        focus: Focus::Mixed,
        proxies: 4,
        servers: 12,
        length: Duration::from_secs(10),
        clients: 16,
    };
    for seed in [1, 2] {
        let outcome = run(seed, &plan).await;
        let observations = &outcome.observations;
        assert!(observations.requests.len() > 500, "{} requests", observations.requests.len());
        let (script, violations) = (outcome.script.join("\n"), outcome.violations.join("\n"));
        assert!(
            outcome.violations.is_empty(),
            "seed {seed}:\n{violations}\n\n{script}\n\n{}",
            outcome.timeline
        );
    }
}

/// Guards against requests in a zone whose evacuation was acknowledged (incident 0029): the core machine that
/// registries ask first is suspended while the zone is restored and evacuated anew, and the operator moves on from
/// silent registries without closing its connections.
#[tokio::test(flavor = "multi_thread")]
async fn evacuations_while_a_core_machine_is_suspended_have_no_violations() {
    let length = Duration::from_secs(1);
    let plan = Plan { focus: Focus::Evacuations, proxies: 6, servers: 18, length, clients: 16 };
    let outcome = run(6, &plan).await;
    let drained = outcome.observations.drained_zones.len();
    assert!(drained >= 2 && outcome.observations.requests.len() > 500, "{drained} evacuations");
    let (script, violations) = (outcome.script.join("\n"), outcome.violations.join("\n"));
    assert!(outcome.violations.is_empty(), "{violations}\n\n{script}\n\n{}", outcome.timeline);
}

/// The scripts of evacuations have every kind of fault of core machines, and drain each zone as often as they restore
/// it.
#[test]
fn scripts_of_evacuations_have_every_kind_of_fault() {
    let length = Duration::from_secs(20);
    let script = |seed| evacuations::generate(seed, SIZE, length);
    assert_eq!(script(1), script(1));
    let actions: Vec<Action> = (1..=50).flat_map(script).map(|step| step.action).collect();
    let count =
        |is_kind: fn(&Action) -> bool| actions.iter().filter(|action| is_kind(action)).count();
    assert_eq!(
        count(|action| matches!(action, Action::DrainZone(_))),
        count(|action| matches!(action, Action::RestoreZone(_)))
    );
    let kinds: [fn(&Action) -> bool; 6] = [
        |action| matches!(action, Action::Kill(Daemon::Registry(_))),
        |action| matches!(action, Action::Terminate(Daemon::Store(_))),
        |action| matches!(action, Action::Suspend(Daemon::Registry(0))),
        |action| matches!(action, Action::SetLink(_, LinkState::Partitioned)),
        |action| matches!(action, Action::SetLink(_, LinkState::Reset)),
        |action| matches!(action, Action::WipeDisk(Daemon::Store(_))),
    ];
    for (index, kind) in kinds.into_iter().enumerate() {
        assert!(count(kind) >= 5, "kind {index} occurs fewer than five times");
    }
}

/// The same seed always gives the same script, which is ordered by time and within its length. The next
/// seed gives a different one.
#[test]
fn a_seed_determines_its_script() {
    let length = Duration::from_secs(16);
    for seed in 1..=50 {
        let script = generate(seed, SIZE, length);
        assert_eq!(script, generate(seed, SIZE, length));
        assert!(script.len() > 4 && script.iter().all(|step| step.at < length), "seed {seed}");
        assert!(script.is_sorted_by_key(|step| step.at));
        assert_ne!(script, generate(seed + 1, SIZE, length));
    }
}

/// The scripts of fifty seeds contain every kind of action at least five times.
#[test]
fn fifty_seeds_contain_every_kind_of_action() {
    let length = Duration::from_secs(16);
    let actions: Vec<Action> =
        (1..=50).flat_map(|seed| generate(seed, SIZE, length)).map(|step| step.action).collect();
    let has =
        |is_kind: fn(&Action) -> bool| actions.iter().filter(|action| is_kind(action)).count() >= 5;
    let kinds: [fn(&Action) -> bool; 17] = [
        |action| matches!(action, Action::Terminate(_)),
        |action| matches!(action, Action::TerminateAgain(_)),
        |action| matches!(action, Action::Kill(_)),
        |action| matches!(action, Action::Start(_)),
        |action| matches!(action, Action::Suspend(_)),
        |action| matches!(action, Action::Resume(_)),
        |action| matches!(action, Action::HangUp(_)),
        |action| matches!(action, Action::SetLink(..)),
        |action| matches!(action, Action::DrainServer(_)),
        |action| matches!(action, Action::RemoveServer(_)),
        |action| matches!(action, Action::ReuseAddress { .. }),
        |action| matches!(action, Action::CrashServer(_)),
        |action| matches!(action, Action::SetBehavior(..)),
        |action| matches!(action, Action::Configure),
        |action| matches!(action, Action::DrainZone(_)),
        |action| matches!(action, Action::RestoreZone(_)),
        |action| matches!(action, Action::Platform(_)),
    ];
    for (index, kind) in kinds.into_iter().enumerate() {
        assert!(has(kind), "action kind {index} occurs fewer than five times");
    }
}
