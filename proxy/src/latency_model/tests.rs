use super::{RelativeLatency, RequestProfile, RequestProfiles, ZonePool, ZonePools};
use crate::load_balancing::Distance;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn request_profile_follows_responses() {
    let mut profile = RequestProfile::new(true);
    assert!(profile.cost().kilobytes > RequestProfile::new(false).cost().kilobytes);
    for _ in 0..200 {
        profile.record_response(170.0, Some(90.0));
    }
    let cost = profile.cost();
    assert_eq!((cost.service_time_ms.round(), cost.kilobytes.round()), (170.0, 90.0));
    // One slow response changes the average little; one without a length does not change the size.
    profile.record_response(1700.0, None);
    assert!((171.0..230.0).contains(&profile.cost().service_time_ms), "{:?}", profile.cost());
    assert_eq!(profile.cost().kilobytes.round(), 90.0);
}

/// If few requests find congestion, the tolerance decreases little. If more than half of them do, it is
/// 0 until the congestion is over.
#[test]
fn congestion_is_persistent_if_half_of_all_requests_find_it() {
    let mut profile = RequestProfile::new(false);
    assert_eq!(profile.tolerance(), 1.0);
    (0..200).for_each(|count| profile.record_congestion(count % 5 == 0));
    assert!((0.4..0.8).contains(&profile.tolerance()), "{}", profile.tolerance());
    (0..200).for_each(|count| profile.record_congestion(count % 3 > 0));
    assert_eq!(profile.tolerance(), 0.0);
    (0..200).for_each(|_| profile.record_congestion(false));
    assert!(profile.tolerance() > 0.99);
}

#[test]
fn a_slow_server_is_recognized_after_a_few_responses_and_forgotten_without_any() {
    let mut relative_latency = RelativeLatency::default();
    assert_eq!(relative_latency.factor(ms(0)), 1.0);
    for count in 1..=6 {
        relative_latency.record(ms(count * 100), 5.0);
    }
    assert!(
        (2.5..5.0).contains(&relative_latency.factor(ms(600))),
        "{}",
        relative_latency.factor(ms(600))
    );
    assert!(relative_latency.factor(ms(3600)) < relative_latency.factor(ms(600)));
    assert_eq!(relative_latency.factor(ms(6600)), 1.0);
    // The server takes the usual time again.
    for count in 7..=40 {
        relative_latency.record(ms(count * 100), 1.0);
    }
    assert!(
        (0.9..1.1).contains(&relative_latency.factor(ms(4000))),
        "{}",
        relative_latency.factor(ms(4000))
    );
    // A single slow response changes the factor little, however long it took.
    relative_latency.record(ms(4100), 1e6);
    assert!(relative_latency.factor(ms(4100)) < 1.4, "{}", relative_latency.factor(ms(4100)));
}

#[test]
fn overdue_responses_mark_a_server_as_slow_before_they_arrive_and_fast_ones_end_that_soon() {
    let mut relative_latency = RelativeLatency::default();
    for count in 1..=20 {
        relative_latency.record(ms(count * 100), 1.0);
    }
    assert!(
        relative_latency.factor_when_overdue(ms(2000), 2.0) < 1.1,
        "a response may take twice the usual time"
    );
    assert_eq!(relative_latency.factor_when_overdue(ms(2000), 4.0), 4.0);
    for count in 1..=10 {
        relative_latency.record(ms(2000 + count * 100), 5.0);
    }
    // After a pause, one fast response has as much weight as all earlier ones together.
    assert!(relative_latency.factor(ms(3000)) > 2.5, "{}", relative_latency.factor(ms(3000)));
    relative_latency.record(ms(5500), 1.0);
    assert!(relative_latency.factor(ms(5500)) < 1.8, "{}", relative_latency.factor(ms(5500)));
}

#[test]
fn zone_utilization_follows_load_reports_until_they_are_old() {
    let mut pool = ZonePool::default();
    for count in 0..30 {
        pool.record_load(ms(count * 10), 0.9);
    }
    assert!(
        (0.85..=0.9).contains(&pool.utilization(ms(300), 0.3)),
        "{}",
        pool.utilization(ms(300), 0.3)
    );
    assert_eq!(pool.utilization(ms(9000), 0.3), 0.3);
}

/// A zone about which nothing is known is assumed to be like the others, not idle.
#[test]
fn a_zone_that_recovers_is_assumed_to_be_as_utilized_as_the_others() {
    let initial_utilization = super::mean_utilization(ms(0), [].iter());
    let mut pools = vec![ZonePool::default(); 3];
    for pool in &mut pools[..2] {
        (0..30).for_each(|count| pool.record_load(ms(5000 + count * 10), 1.2));
    }
    let usual_utilization = super::mean_utilization(ms(5300), pools.iter());
    assert!(
        usual_utilization > 1.0 && initial_utilization < 0.4,
        "{usual_utilization} {initial_utilization}"
    );
    assert!(pools[2].utilization(ms(5300), usual_utilization) > 1.0);
    // Long after the last load reports, the initial assumption applies.
    assert!((super::mean_utilization(ms(60_000), pools.iter()) - initial_utilization).abs() < 0.01);
}

#[test]
fn round_trip_time_is_the_shortest_connect_time() {
    let mut pool = ZonePool::default();
    assert!(pool.round_trip_ms(Distance::OtherRegion) > pool.round_trip_ms(Distance::Zone));
    for connect_time_ms in [40, 24, 90, 30] {
        pool.record_connection(ms(connect_time_ms));
    }
    assert!(
        (24.0..27.0).contains(&pool.round_trip_ms(Distance::OtherRegion)),
        "{}",
        pool.round_trip_ms(Distance::OtherRegion)
    );
}

#[test]
fn pools_and_profiles_are_found_by_their_names() {
    let mut pools = ZonePools::default();
    let first_pool = pools.find_or_insert("s", "a1");
    assert_ne!(pools.find_or_insert("s", "b1"), first_pool);
    assert_ne!(pools.find_or_insert("t", "a1"), first_pool);
    assert_eq!(pools.find_or_insert("s", "a1"), first_pool);
    (0..30).for_each(|count| pools.get_mut(first_pool).record_load(ms(9000 + count), 1.2));
    assert!(
        pools.mean_utilization(ms(9030), "s") > 0.9 && pools.mean_utilization(ms(9030), "t") < 0.4
    );

    // A zone without load reports is assumed to have the service's mean utilization.
    let other_pool = pools.find_or_insert("s", "b1");
    assert!(
        pools.utilization(ms(9030), other_pool) > 0.9
            && pools.utilization(ms(90_000), other_pool) < 0.4
    );

    let mut profiles = RequestProfiles::default();
    profiles.profile_mut("c", "s", false).record_response(40.0, None);
    let service_time_ms = |class, service| profiles.cost(class, service, false).service_time_ms;
    assert_eq!(
        (service_time_ms("c", "s"), service_time_ms("c", "t"), service_time_ms("d", "s")),
        (40.0, 100.0, 100.0)
    );
}
