//! A short soak test with real processes and fixed seeds. To run longer ones:
//! `cargo run --release -p vanepath-testbed -- soak --seeds 1-50`.

use std::time::Duration;
use vanepath_testbed::soak::script::{Action, Size, generate};
use vanepath_testbed::soak::{Plan, run};

const SIZE: Size = Size { proxies: 6, cores: 3, servers: 18, zones: 6 };

/// Runs two seeds, one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn a_short_soak_has_no_violations() {
    let plan = Plan { proxies: 4, servers: 12, length: Duration::from_secs(10), clients: 16 };
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
