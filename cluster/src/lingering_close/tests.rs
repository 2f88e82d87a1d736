use super::*;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Nothing arrives: the connection is closed after the longest silence, and not before.
#[test]
fn a_silent_connection_is_closed_after_the_longest_silence() {
    let mut linger = LingeringClose::new(ms(100));
    let until = ms(100) + MAX_SILENCE;
    assert_eq!(linger.read_until(), until);
    assert_eq!(linger.step(until - ms(1), Event::TimerFired), Decision::ReadUntil(until));
    assert_eq!(linger.step(until, Event::TimerFired), Decision::Close);
}

/// A client that sends without end is closed at the bound of time, however often its bytes arrive.
#[test]
fn an_endless_sender_is_closed_after_the_longest_time() {
    let mut linger = LingeringClose::new(ms(0));
    let mut now = ms(0);
    while linger.step(now, Event::Discarded(100)) != Decision::Close {
        now += ms(50);
        assert!(now <= MAX_LINGER_TIME, "still open at {now:?}");
    }
    assert_eq!(now, MAX_LINGER_TIME);
}

/// A client that sends fast is closed at the bound of bytes.
#[test]
fn a_flood_is_closed_after_the_most_bytes() {
    let mut linger = LingeringClose::new(ms(0));
    let whole = MAX_DISCARDED_BYTES as usize;
    assert_eq!(
        linger.step(ms(1), Event::Discarded(whole)),
        Decision::ReadUntil(ms(1) + MAX_SILENCE)
    );
    assert_eq!(linger.step(ms(2), Event::Discarded(1)), Decision::Close);
    assert_eq!(linger.discarded_bytes(), MAX_DISCARDED_BYTES + 1);
}

/// Beyond the largest number the connection that has lingered longest makes place, and each only once.
#[test]
fn the_oldest_of_too_many_lingering_connections_is_evicted() {
    let mut set = LingeringSet::default();
    let first = set.add();
    let second = set.add();
    for _ in 2..MAX_LINGERING_CONNECTIONS {
        assert_eq!(set.add().evicted, None);
    }
    assert_eq!(set.add().evicted, Some(first.ticket));
    // An evicted connection reports its end as well.
    set.remove(first.ticket);
    assert_eq!(set.len(), MAX_LINGERING_CONNECTIONS);
    assert_eq!(set.add().evicted, Some(second.ticket));
    set.remove(second.ticket);
    for ticket in 0..2 * MAX_LINGERING_CONNECTIONS as Ticket {
        set.remove(ticket);
    }
    assert!(set.is_empty());
}
