use super::{RelativeLatency, RequestProfile, RequestProfiles, ZonePool, ZonePools};
use crate::load_balancing::Distance;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn what_is_usual_follows_answers() {
    let mut usual = RequestProfile::new(true);
    assert!(usual.job().kilobytes > RequestProfile::new(false).job().kilobytes);
    for _ in 0..200 {
        usual.answered(170.0, Some(90.0));
    }
    let job = usual.job();
    assert_eq!((job.work_ms.round(), job.kilobytes.round()), (170.0, 90.0));
    // One answer that took long moves it by little, and one without a length says nothing of sizes.
    usual.answered(1700.0, None);
    assert!((171.0..230.0).contains(&usual.job().work_ms), "{:?}", usual.job());
    assert_eq!(usual.job().kilobytes.round(), 90.0);
}

/// A few who find a crowd change little; where half of all find one it stands, until it is gone.
#[test]
fn a_crowd_stands_where_half_of_all_find_one() {
    let mut usual = RequestProfile::new(false);
    assert_eq!(usual.calm(), 1.0);
    (0..200).for_each(|count| usual.looked(count % 5 == 0));
    assert!((0.4..0.8).contains(&usual.calm()), "{}", usual.calm());
    (0..200).for_each(|count| usual.looked(count % 3 > 0));
    assert_eq!(usual.calm(), 0.0);
    (0..200).for_each(|_| usual.looked(false));
    assert!(usual.calm() > 0.99);
}

#[test]
fn a_slow_server_is_known_after_a_few_answers_and_forgotten_when_it_gets_none() {
    let mut pace = RelativeLatency::default();
    assert_eq!(pace.times(ms(0)), 1.0);
    for count in 1..=6 {
        pace.answered(ms(count * 100), 5.0);
    }
    assert!((2.5..5.0).contains(&pace.times(ms(600))), "{}", pace.times(ms(600)));
    assert!(pace.times(ms(3600)) < pace.times(ms(600)));
    assert_eq!(pace.times(ms(6600)), 1.0);
    // It works as usual again.
    for count in 7..=40 {
        pace.answered(ms(count * 100), 1.0);
    }
    assert!((0.9..1.1).contains(&pace.times(ms(4000))), "{}", pace.times(ms(4000)));
    // However long one answer took.
    pace.answered(ms(4100), 1e6);
    assert!(pace.times(ms(4100)) < 1.4, "{}", pace.times(ms(4100)));
}

#[test]
fn a_server_that_owes_answers_is_slow_before_they_come_and_well_soon_after() {
    let mut pace = RelativeLatency::default();
    for count in 1..=20 {
        pace.answered(ms(count * 100), 1.0);
    }
    assert!(pace.times_owing(ms(2000), 2.0) < 1.1, "as long as many answers take");
    assert_eq!(pace.times_owing(ms(2000), 4.0), 4.0);
    for count in 1..=10 {
        pace.answered(ms(2000 + count * 100), 5.0);
    }
    // After a pause one good answer counts as much as all before it.
    assert!(pace.times(ms(3000)) > 2.5, "{}", pace.times(ms(3000)));
    pace.answered(ms(5500), 1.0);
    assert!(pace.times(ms(5500)) < 1.8, "{}", pace.times(ms(5500)));
}

#[test]
fn a_zone_is_as_full_as_its_servers_told_until_that_is_old() {
    let mut pool = ZonePool::default();
    for count in 0..30 {
        pool.told(ms(count * 10), 0.9);
    }
    assert!((0.85..=0.9).contains(&pool.fill(ms(300), 0.3)), "{}", pool.fill(ms(300), 0.3));
    assert_eq!(pool.fill(ms(9000), 0.3), 0.3);
}

/// A zone of which nothing is known is taken to be like the others, not empty.
#[test]
fn a_zone_that_comes_back_is_as_full_as_the_others() {
    let unknown = super::usual_fill(ms(0), [].iter());
    let mut pools = vec![ZonePool::default(); 3];
    for pool in &mut pools[..2] {
        (0..30).for_each(|count| pool.told(ms(5000 + count * 10), 1.2));
    }
    let usual = super::usual_fill(ms(5300), pools.iter());
    assert!(usual > 1.0 && unknown < 0.4, "{usual} {unknown}");
    assert!(pools[2].fill(ms(5300), usual) > 1.0);
    // Long after, the guess.
    assert!((super::usual_fill(ms(60_000), pools.iter()) - unknown).abs() < 0.01);
}

#[test]
fn the_way_is_the_least_that_a_connection_took() {
    let mut pool = ZonePool::default();
    assert!(pool.way_ms(Distance::Far) > pool.way_ms(Distance::Zone));
    for took in [40, 24, 90, 30] {
        pool.connected(ms(took));
    }
    assert!((24.0..27.0).contains(&pool.way_ms(Distance::Far)), "{}", pool.way_ms(Distance::Far));
}

#[test]
fn pools_and_classes_are_found_by_their_names() {
    let mut pools = ZonePools::default();
    let first = pools.index("s", "a1");
    assert_ne!(pools.index("s", "b1"), first);
    assert_ne!(pools.index("t", "a1"), first);
    assert_eq!(pools.index("s", "a1"), first);
    (0..30).for_each(|count| pools.at_mut(first).told(ms(9000 + count), 1.2));
    assert!(pools.usual_fill(ms(9030), "s") > 0.9 && pools.usual_fill(ms(9030), "t") < 0.4);

    // What is not known of a zone is the service's mean.
    let other = pools.index("s", "b1");
    assert!(pools.fill(ms(9030), other) > 0.9 && pools.fill(ms(90_000), other) < 0.4);

    let mut usuals = RequestProfiles::default();
    usuals.of("c", "s", false).answered(40.0, None);
    let work_ms = |class, service| usuals.job(class, service, false).work_ms;
    assert_eq!((work_ms("c", "s"), work_ms("c", "t"), work_ms("d", "s")), (40.0, 100.0, 100.0));
}
