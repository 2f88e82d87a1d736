use super::{PAUSE_THRESHOLD, RequestFence, UNNOTICED_DELAY};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(100);

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Observes the revision at each tick from `from` until `until`, both included.
fn run(fence: &mut RequestFence, from: Duration, until: Duration, revision: u64) {
    let mut now = from;
    while now <= until {
        fence.observe(now, revision);
        now += TICK;
    }
}

/// A request counts as sent some time ago: what was learned since then may be newer than the request.
#[test]
fn a_revision_counts_as_known_after_the_unnoticed_delay() {
    let mut fence = RequestFence::default();
    assert_eq!(fence.known_revision(ms(1)), 0);
    run(&mut fence, ms(100), ms(2000), 4);
    fence.observe(ms(2050), 5);
    assert_eq!(fence.known_revision(ms(2050)), 4);
    run(&mut fence, ms(2100), ms(2500), 5);
    assert_eq!(fence.known_revision(ms(2050) + UNNOTICED_DELAY - ms(1)), 4);
    assert_eq!(fence.known_revision(ms(2050) + UNNOTICED_DELAY), 5);
}

/// Guards against an order that waited in a socket of a process that was paused, and that is taken for one that
/// was sent after it woke (incident 0029), also if the process learned a newer revision first.
#[test]
fn a_request_read_after_a_pause_counts_as_sent_before_it() {
    let mut fence = RequestFence::default();
    run(&mut fence, ms(100), ms(3000), 4);
    // The process is paused for four seconds, and learns revision 6 when it wakes.
    fence.observe(ms(7000), 6);
    for read_at in [7000, 7010, 7300, 7900] {
        run(&mut fence, ms(7000), ms(read_at), 6);
        assert_eq!(fence.known_revision(ms(read_at)), 4, "read at {read_at}");
    }
    run(&mut fence, ms(8000), ms(9000), 6);
    assert_eq!(fence.known_revision(ms(9000)), 6);
}

/// A request may be the first event after a pause.
#[test]
fn a_request_that_ends_a_pause_counts_as_sent_before_it() {
    let mut fence = RequestFence::default();
    run(&mut fence, ms(100), ms(3000), 4);
    fence.observe(ms(3010), 5);
    assert_eq!(fence.known_revision(ms(7000)), 4, "5 was learned less than the delay before");
}

/// Pauses that follow each other are one, as long as requests may have waited since the first.
#[test]
fn pauses_in_series_count_from_the_first_one() {
    let mut fence = RequestFence::default();
    run(&mut fence, ms(100), ms(3000), 4);
    run(&mut fence, ms(5000), ms(5500), 5);
    run(&mut fence, ms(7500), ms(8000), 6);
    assert_eq!(fence.known_revision(ms(8000)), 4);
    run(&mut fence, ms(8100), ms(8600), 6);
    assert_eq!(fence.known_revision(ms(8600)), 6);
    // After a calm time a further one counts for itself.
    run(&mut fence, ms(12_000), ms(12_100), 9);
    assert_eq!(fence.known_revision(ms(12_100)), 6);
}

/// A pause that is too short to be noticed is covered by the delay.
#[test]
fn the_delay_covers_pauses_that_are_not_noticed() {
    assert!(PAUSE_THRESHOLD < UNNOTICED_DELAY);
    let mut fence = RequestFence::default();
    run(&mut fence, ms(100), ms(3000), 4);
    let woken_at = ms(3000) + PAUSE_THRESHOLD;
    fence.observe(woken_at, 5);
    assert_eq!(fence.known_revision(woken_at), 4);
}

/// A process that runs for long keeps no more than it can be asked for.
#[test]
fn what_is_too_old_is_forgotten() {
    let mut fence = RequestFence::default();
    for number in 0..100_000 {
        fence.observe(ms(10 * number), number);
    }
    assert!(fence.learned.len() <= 52, "{}", fence.learned.len());
}
