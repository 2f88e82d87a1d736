//! A short soak with real processes and fixed seeds. Longer ones:
//! `cargo run --release -p vanepath-testbed -- soak --seeds 1-50`.

use std::time::Duration;
use vanepath_testbed::soak::script::{Action, Size, generate};
use vanepath_testbed::soak::{Plan, run};

const SIZE: Size = Size { proxies: 6, cores: 3, servers: 18, zones: 6 };

/// Two seeds, one after the other.
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

/// A seed always has the same script, ordered by time and within its length; other seeds have others.
#[test]
fn a_seed_has_one_script() {
    let length = Duration::from_secs(16);
    for seed in 1..=50 {
        let script = generate(seed, SIZE, length);
        assert_eq!(script, generate(seed, SIZE, length));
        assert!(script.len() > 4 && script.iter().all(|step| step.at < length), "seed {seed}");
        assert!(script.is_sorted_by_key(|step| step.at));
        assert_ne!(script, generate(seed + 1, SIZE, length));
    }
}

/// Fifty seeds contain every kind of action, and overlapping series.
#[test]
fn fifty_seeds_hold_every_kind_of_action() {
    let length = Duration::from_secs(16);
    let all: Vec<Action> =
        (1..=50).flat_map(|seed| generate(seed, SIZE, length)).map(|step| step.action).collect();
    let has = |is_meant: fn(&Action) -> bool| all.iter().filter(|one| is_meant(one)).count() >= 5;
    let kinds: [fn(&Action) -> bool; 17] = [
        |one| matches!(one, Action::Terminate(_)),
        |one| matches!(one, Action::TerminateAgain(_)),
        |one| matches!(one, Action::Kill(_)),
        |one| matches!(one, Action::Start(_)),
        |one| matches!(one, Action::Suspend(_)),
        |one| matches!(one, Action::Resume(_)),
        |one| matches!(one, Action::HangUp(_)),
        |one| matches!(one, Action::SetLink(..)),
        |one| matches!(one, Action::DrainServer(_)),
        |one| matches!(one, Action::RemoveServer(_)),
        |one| matches!(one, Action::ReuseAddress { .. }),
        |one| matches!(one, Action::CrashServer(_)),
        |one| matches!(one, Action::SetBehavior(..)),
        |one| matches!(one, Action::Configure),
        |one| matches!(one, Action::DrainZone(_)),
        |one| matches!(one, Action::RestoreZone(_)),
        |one| matches!(one, Action::Platform(_)),
    ];
    for (place, kind) in kinds.into_iter().enumerate() {
        assert!(has(kind), "kind {place}");
    }
}
