use super::{AfterFailure, AttemptError, Rejection, RequestLifecycle};
use strum::IntoEnumIterator;
use vanepath_config::model::Idempotency;

/// Those whom a crowd sent away come back apart from each other, and with most of their time left.
#[test]
fn a_crowd_comes_back_by_and_by() {
    let ms = std::time::Duration::from_millis;
    let after = |left, draw| Rejection::Crowded.retry_after(ms(left), draw).unwrap();
    assert_eq!((after(5000, 0), after(5000, 400)), (ms(600), ms(1000)));
    assert!((0..1000).all(|draw| after(1200, draw) <= ms(300)));
    assert_eq!(Rejection::NoServer.retry_after(ms(10), 7), Some(ms(100)));
}

/// A slow server is left after a third of what remains, then a third of the rest; a filing and the
/// last go stay.
#[test]
fn a_lookup_looks_for_another_server_again_and_again() {
    let ms = std::time::Duration::from_millis;
    let mut chart = RequestLifecycle {
        idempotency: Idempotency::Idempotent,
        is_replayable: true,
        attempts: 1,
        ..RequestLifecycle::new()
    };
    assert_eq!(chart.switch_after(ms(6000)), Some(ms(2000)));
    assert_eq!(chart.switch_after(ms(4000)), Some(ms(4000) / 3));
    assert_eq!(chart.switch_after(ms(600)), Some(ms(300)));
    assert_eq!(chart.switch_after(ms(300)), None);
    chart.sends = chart.max_sends;
    assert_eq!(chart.switch_after(ms(6000)), None);
    let filing = RequestLifecycle {
        idempotency: Idempotency::NonIdempotent,
        attempts: 1,
        ..RequestLifecycle::new()
    };
    assert_eq!(filing.switch_after(ms(6000)), None);
}

/// Every kind and every pair of misses: what follows, and what the caller is told.
#[test]
fn what_follows_from_each_miss() {
    let mut shown = String::new();
    for kind in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
        for first in AttemptError::iter() {
            for budget in [true, false] {
                let mut chart = RequestLifecycle {
                    idempotency: kind,
                    is_replayable: true,
                    attempts: 1,
                    ..RequestLifecycle::new()
                };
                let next = chart.attempt_failed(first, false, || budget);
                let told = match next {
                    AfterFailure::Retry => "goes again".to_string(),
                    AfterFailure::Reject(refusal) => {
                        format!("{refusal} {}", refusal.status(chart.execution_status()).as_u16())
                    }
                };
                shown += &format!(
                    "{kind:10} {first:15} budget {budget:5}  {told}, {}\n",
                    chart.execution_status()
                );
            }
        }
    }
    // A filing that was once sent is never sent again, whatever comes after.
    let mut chart = RequestLifecycle {
        idempotency: Idempotency::NonIdempotent,
        attempts: 1,
        ..RequestLifecycle::new()
    };
    chart.attempt_failed(AttemptError::Silent, false, || true);
    assert_ne!(
        chart.attempt_failed(AttemptError::NotConnected, false, || true),
        AfterFailure::Retry
    );
    expect_test::expect![[r#"
        repeatable not-connected   budget true   goes again, not-run
        repeatable not-connected   budget false  no-budget 503, not-run
        repeatable withdrawn       budget true   goes again, not-run
        repeatable withdrawn       budget false  goes again, not-run
        repeatable not-sent        budget true   goes again, not-run
        repeatable not-sent        budget false  no-budget 503, not-run
        repeatable turned-away     budget true   goes again, not-run
        repeatable turned-away     budget false  no-budget 503, not-run
        repeatable lost-after-send budget true   goes again, may-have-run
        repeatable lost-after-send budget false  lost 502, may-have-run
        repeatable misanswered     budget true   goes again, may-have-run
        repeatable misanswered     budget false  lost 502, may-have-run
        repeatable silent          budget true   goes again, may-have-run
        repeatable silent          budget false  late 504, may-have-run
        repeatable truncated       budget true   goes again, may-have-run
        repeatable truncated       budget false  lost 502, may-have-run
        once       not-connected   budget true   goes again, not-run
        once       not-connected   budget false  no-budget 503, not-run
        once       withdrawn       budget true   goes again, not-run
        once       withdrawn       budget false  goes again, not-run
        once       not-sent        budget true   goes again, not-run
        once       not-sent        budget false  no-budget 503, not-run
        once       turned-away     budget true   goes again, not-run
        once       turned-away     budget false  no-budget 503, not-run
        once       lost-after-send budget true   lost 502, may-have-run
        once       lost-after-send budget false  lost 502, may-have-run
        once       misanswered     budget true   lost 502, may-have-run
        once       misanswered     budget false  lost 502, may-have-run
        once       silent          budget true   late 504, may-have-run
        once       silent          budget false  late 504, may-have-run
        once       truncated       budget true   lost 502, may-have-run
        once       truncated       budget false  lost 502, may-have-run
    "#]]
    .assert_eq(&shown);
}

/// Every sequence of up to four misses, for each kind of request, whole or streamed, within its time or
/// late, with a budget or without. A filing is never sent again once any byte of it may have reached a
/// server; a promise that it did not run is made only where that is so; a streamed body is not told twice.
#[test]
fn no_sequence_of_misses_sends_a_filing_twice_or_promises_wrongly() {
    let misses: Vec<AttemptError> = AttemptError::iter().collect();
    let count = misses.len().pow(4);
    let mut ended = 0;
    for number in 0..count {
        for options in 0..16 {
            let is = |bit: u32| options & (1 << bit) != 0;
            let kind = if is(0) { Idempotency::NonIdempotent } else { Idempotency::Idempotent };
            let mut chart = RequestLifecycle {
                idempotency: kind,
                is_replayable: is(1),
                attempts: 0,
                ..RequestLifecycle::new()
            };
            let mut has_touched = false;
            let mut rest = number;
            for turn in 0..4 {
                let miss = misses[rest % misses.len()];
                rest /= misses.len();
                chart.attempts += 1;
                let is_sent = !matches!(miss, AttemptError::NotConnected | AttemptError::Withdrawn);
                chart.sends += u32::from(is_sent);
                let is_untouched =
                    !is_sent || matches!(miss, AttemptError::NotSent | AttemptError::TurnedAway);
                has_touched |= !is_untouched;
                let is_late = is(2) && turn == 2;
                let next = chart.attempt_failed(miss, is_late, || !is(3) || turn < 1);
                let status = |refusal: Rejection| refusal.status(chart.execution_status()).as_u16();
                match next {
                    AfterFailure::Retry => {
                        assert!(
                            kind == Idempotency::Idempotent || !has_touched,
                            "{miss} sent again"
                        );
                        assert!(chart.is_replayable || is_untouched, "{miss} told twice");
                        assert!(!is_late);
                    }
                    AfterFailure::Reject(refusal) => {
                        let is_promise = [408, 421, 429, 503].contains(&status(refusal));
                        assert_eq!(is_promise, !has_touched, "{kind} {miss}: {refusal}");
                        ended += 1;
                        break;
                    }
                }
            }
        }
    }
    assert!(ended > count, "most sequences end");
}
