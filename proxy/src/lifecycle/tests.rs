use super::{AfterFailure, AttemptError, Rejection, RequestLifecycle};
use std::time::Duration;
use strum::IntoEnumIterator;
use vanepath_config::ExecutionStatus;
use vanepath_config::model::Idempotency;

/// After an overload of the servers, clients retry at different times and with most of their time left.
#[test]
fn retries_after_overload_are_spread() {
    let ms = Duration::from_millis;
    let after = |limit, random| Rejection::Congested.retry_after(ms(limit), random).unwrap();
    assert_eq!((after(5000, 0), after(5000, 400)), (ms(600), ms(1000)));
    assert!((0..1000).all(|random| after(1200, random) <= ms(300)));
    assert_eq!(Rejection::NoServer.retry_after(ms(10), 7), Some(ms(100)));
}

/// An idempotent request is sent to another server after a third of its remaining time, then after a
/// third of the rest; a non-idempotent request, and any request after its last attempt, is not.
#[test]
fn an_idempotent_request_is_hedged_at_slow_servers() {
    let ms = Duration::from_millis;
    let mut lifecycle = RequestLifecycle {
        idempotency: Idempotency::Idempotent,
        is_replayable: true,
        attempts: 1,
        ..RequestLifecycle::new()
    };
    assert_eq!(lifecycle.hedge_after(ms(6000)), Some(ms(2000)));
    assert_eq!(lifecycle.hedge_after(ms(4000)), Some(ms(4000) / 3));
    assert_eq!(lifecycle.hedge_after(ms(600)), Some(ms(300)));
    assert_eq!(lifecycle.hedge_after(ms(300)), None);
    lifecycle.sends = lifecycle.max_sends;
    assert_eq!(lifecycle.hedge_after(ms(6000)), None);
    let non_idempotent = RequestLifecycle {
        idempotency: Idempotency::NonIdempotent,
        attempts: 1,
        ..RequestLifecycle::new()
    };
    assert_eq!(non_idempotent.hedge_after(ms(6000)), None);
}

/// What follows from each attempt error, with and without budget, and the response to the client.
#[test]
fn what_follows_from_each_attempt_error() {
    let mut table = String::new();
    for kind in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
        for error in AttemptError::iter() {
            for budget in [true, false] {
                let mut lifecycle = RequestLifecycle {
                    idempotency: kind,
                    is_replayable: true,
                    attempts: 1,
                    ..RequestLifecycle::new()
                };
                let next = lifecycle.attempt_failed(error, false, false, || budget);
                let outcome = match next {
                    AfterFailure::Retry => "retried".to_string(),
                    AfterFailure::Await => panic!("nothing else is in progress"),
                    AfterFailure::Reject(rejection) => {
                        format!(
                            "{rejection} {}",
                            rejection.status(lifecycle.execution_status()).as_u16()
                        )
                    }
                };
                table += &format!(
                    "{kind:10} {error:15} budget {budget:5}  {outcome}, {}\n",
                    lifecycle.execution_status()
                );
            }
        }
    }
    // A non-idempotent request that a server may have run is never sent again, whatever happens next.
    let mut lifecycle = RequestLifecycle {
        idempotency: Idempotency::NonIdempotent,
        attempts: 1,
        ..RequestLifecycle::new()
    };
    lifecycle.attempt_failed(AttemptError::TimedOut, false, false, || true);
    assert_ne!(
        lifecycle.attempt_failed(AttemptError::NotConnected, false, false, || true),
        AfterFailure::Retry
    );
    expect_test::expect![[r#"
        repeatable not-connected   budget true   retried, not-run
        repeatable not-connected   budget false  no-budget 503, not-run
        repeatable withdrawn       budget true   retried, not-run
        repeatable withdrawn       budget false  retried, not-run
        repeatable not-sent        budget true   retried, not-run
        repeatable not-sent        budget false  no-budget 503, not-run
        repeatable turned-away     budget true   retried, not-run
        repeatable turned-away     budget false  no-budget 503, not-run
        repeatable lost-after-send budget true   retried, may-have-run
        repeatable lost-after-send budget false  lost 502, may-have-run
        repeatable misanswered     budget true   retried, may-have-run
        repeatable misanswered     budget false  lost 502, may-have-run
        repeatable silent          budget true   retried, may-have-run
        repeatable silent          budget false  late 504, may-have-run
        repeatable truncated       budget true   retried, may-have-run
        repeatable truncated       budget false  lost 502, may-have-run
        once       not-connected   budget true   retried, not-run
        once       not-connected   budget false  no-budget 503, not-run
        once       withdrawn       budget true   retried, not-run
        once       withdrawn       budget false  retried, not-run
        once       not-sent        budget true   retried, not-run
        once       not-sent        budget false  no-budget 503, not-run
        once       turned-away     budget true   retried, not-run
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
    .assert_eq(&table);
}

/// Every sequence of up to four attempt errors, for each kind of request, buffered or streamed, before or
/// after its deadline, with or without budget. A non-idempotent request is never sent again once a server
/// may have run it; the response states that the request did not run only if that is certain; a streamed
/// body is not sent twice.
#[test]
fn no_sequence_of_errors_sends_a_non_idempotent_request_twice_or_misstates_its_status() {
    let errors: Vec<AttemptError> = AttemptError::iter().collect();
    let sequences = errors.len().pow(4);
    let mut ended = 0;
    for sequence in 0..sequences {
        for options in 0..16 {
            let has_option = |bit: u32| options & (1 << bit) != 0;
            let kind =
                if has_option(0) { Idempotency::NonIdempotent } else { Idempotency::Idempotent };
            let mut lifecycle = RequestLifecycle {
                idempotency: kind,
                is_replayable: has_option(1),
                attempts: 0,
                ..RequestLifecycle::new()
            };
            let mut may_have_run = false;
            let mut rest = sequence;
            for position in 0..4 {
                let error = errors[rest % errors.len()];
                rest /= errors.len();
                lifecycle.attempts += 1;
                let is_sent =
                    !matches!(error, AttemptError::NotConnected | AttemptError::Withdrawn);
                lifecycle.sends += u32::from(is_sent);
                let is_not_run = !is_sent
                    || matches!(error, AttemptError::NotSent | AttemptError::RejectedByServer);
                may_have_run |= !is_not_run;
                let is_late = has_option(2) && position == 2;
                let next = lifecycle
                    .attempt_failed(error, is_late, false, || !has_option(3) || position < 1);
                let status =
                    |rejection: Rejection| rejection.status(lifecycle.execution_status()).as_u16();
                match next {
                    AfterFailure::Await => panic!("nothing else is in progress"),
                    AfterFailure::Retry => {
                        assert!(
                            kind == Idempotency::Idempotent || !may_have_run,
                            "non-idempotent request sent again after {error}"
                        );
                        assert!(
                            lifecycle.is_replayable || is_not_run,
                            "streamed body sent again after {error}"
                        );
                        assert!(!is_late);
                    }
                    AfterFailure::Reject(rejection) => {
                        let states_not_run = [408, 421, 429, 503].contains(&status(rejection));
                        assert_eq!(states_not_run, !may_have_run, "{kind} {error}: {rejection}");
                        ended += 1;
                        break;
                    }
                }
            }
        }
    }
    assert!(ended > sequences, "most sequences end");
}

/// Incident 0019: however one attempt ends, the request does not end while another attempt is in
/// progress, and takes nothing from the budget. Its status remains that it may have run.
#[test]
fn no_error_ends_a_request_whose_other_attempt_is_in_progress() {
    for error in AttemptError::iter() {
        for is_late in [false, true] {
            let mut lifecycle = RequestLifecycle {
                idempotency: Idempotency::Idempotent,
                is_replayable: true,
                attempts: 2,
                ..RequestLifecycle::new()
            };
            lifecycle.record_sent();
            let next =
                lifecycle.attempt_failed(error, is_late, true, || panic!("a retry was taken"));
            assert_eq!(next, AfterFailure::Await, "{error}");
            assert_eq!(lifecycle.execution_status(), ExecutionStatus::MayHaveRun);
        }
    }
}
