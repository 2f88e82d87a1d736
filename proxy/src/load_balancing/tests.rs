use super::{Candidate, Distance, MAX_UTILIZATION, RequestCost, choose};

/// A deterministic random number generator.
struct TestRng(u64);

impl TestRng {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let mixed = (self.0 ^ (self.0 >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        mixed ^ (mixed >> 29)
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    fn candidates(&mut self) -> Vec<Candidate> {
        let count = self.below(12) as usize;
        (0..count)
            .map(|index| Candidate {
                index: 100 + index,
                distance: [
                    Distance::Subset,
                    Distance::Zone,
                    Distance::Region,
                    Distance::OtherRegion,
                ][self.below(4) as usize],
                load: self.below(80) as f64 / 4.0,
                concurrency: (1 + self.below(6)) as f64,
                relative_latency: 0.5 + self.below(10) as f64 / 5.0,
                round_trip_ms: (1 + self.below(60)) as f64,
                is_connected: self.below(2) == 0,
            })
            .collect()
    }
}

const CASES: usize = 4000;
const SMALL: RequestCost = RequestCost { service_time_ms: 150.0, kilobytes: 4.0 };
const LARGE: RequestCost = RequestCost { service_time_ms: 130.0, kilobytes: 90.0 };

fn for_each_case(mut check: impl FnMut(&[Candidate], &RequestCost, u64, Option<&Candidate>)) {
    let mut rng = TestRng(11);
    for case in 0..CASES {
        let candidates = rng.candidates();
        let random = rng.next();
        let request = if case % 2 == 0 { LARGE } else { SMALL };
        let chosen = choose(&candidates, &request, random);
        let chosen = chosen.map(|index| {
            candidates
                .iter()
                .find(|candidate| candidate.index == index)
                .expect("index of a candidate")
        });
        check(&candidates, &request, random, chosen);
    }
}

/// A candidate is chosen if any has capacity, and a full one is never chosen.
#[test]
fn a_candidate_with_capacity_is_chosen_and_a_full_one_is_not() {
    let mut without_capacity = 0;
    for_each_case(|candidates, _, _, chosen| {
        let has_capacity =
            candidates.iter().any(|candidate| candidate.utilization() <= MAX_UTILIZATION);
        assert_eq!(chosen.is_some(), has_capacity, "{candidates:?}");
        without_capacity += usize::from(chosen.is_none());
        assert!(
            chosen.is_none_or(|candidate| candidate.utilization() <= MAX_UTILIZATION),
            "{chosen:?} of {candidates:?}"
        );
    });
    assert!(
        without_capacity > 100 && without_capacity < CASES / 2,
        "{without_capacity} cases without capacity"
    );
}

/// The chosen candidate costs least. Among servers of equal latency and distance it has the least load.
/// No request goes to a farther server while an equal server nearer has free capacity.
#[test]
fn the_candidate_of_least_cost_is_chosen_and_so_near_capacity_comes_first() {
    for_each_case(|candidates, request, _, chosen| {
        let Some(chosen) = chosen else { return };
        let with_capacity =
            || candidates.iter().filter(|candidate| candidate.utilization() <= MAX_UTILIZATION);
        for candidate in with_capacity() {
            assert!(
                chosen.cost(request) <= candidate.cost(request),
                "{chosen:?} of {candidates:?}"
            );
            let is_as_good = candidate.relative_latency <= chosen.relative_latency
                && candidate.concurrency == chosen.concurrency
                && candidate.round_trip_ms <= chosen.round_trip_ms
                && candidate.is_connected >= chosen.is_connected;
            if is_as_good && candidate.distance == chosen.distance {
                assert!(chosen.load <= candidate.load, "{chosen:?} of {candidates:?}");
            }
            // Up to half of its concurrency a request does not delay others.
            let is_uncongested = candidate.load + 1.0 <= (candidate.concurrency / 2.0).max(1.0);
            let is_passed_over = candidate.distance < Distance::Region
                && chosen.distance >= Distance::Region
                && is_uncongested
                && is_as_good;
            assert!(!is_passed_over, "{chosen:?} of {candidates:?}");
        }
    });
    // Less load makes a farther server cheaper by at most a tenth of the service time.
    let near = Candidate { index: 0, distance: Distance::Zone, ..candidate(0, 1.0) };
    let far = Candidate { index: 1, distance: Distance::Region, ..candidate(1, 0.0) };
    assert_eq!(choose(&[near, far], &SMALL, 0), Some(0));
}

fn candidate(index: usize, load: f64) -> Candidate {
    Candidate {
        index,
        distance: Distance::Zone,
        load,
        concurrency: 4.0,
        relative_latency: 1.0,
        round_trip_ms: 1.0,
        is_connected: true,
    }
}

/// Large responses stay in the zone until its servers have twice as many requests as their concurrency.
#[test]
fn large_responses_stay_in_the_zone() {
    for_each_case(|candidates, request, _, chosen| {
        let Some(chosen) = chosen else { return };
        if *request != LARGE || chosen.distance < Distance::Region {
            return;
        }
        let near = candidates.iter().filter(|candidate| candidate.distance < Distance::Region);
        for candidate in near.filter(|candidate| candidate.relative_latency <= 1.5) {
            assert!(candidate.utilization() > 2.0, "{chosen:?} of {candidates:?}");
        }
    });
}

/// The last free unit of concurrency of a near server is used only after uncongested servers in other
/// zones and regions, and the first one of a slow server only after the next one of a fast server.
#[test]
fn the_last_free_unit_of_concurrency_is_not_used_while_others_have_capacity() {
    let near = Candidate { concurrency: 3.0, ..candidate(0, 2.0) };
    let far = Candidate {
        distance: Distance::OtherRegion,
        round_trip_ms: 24.0,
        concurrency: 3.0,
        ..candidate(1, 0.5)
    };
    assert_eq!(choose(&[near, far], &SMALL, 0), Some(1));
    assert_eq!(choose(&[near, far], &LARGE, 0), Some(0));
    let slow = Candidate { relative_latency: 1.5, concurrency: 3.0, ..candidate(2, 0.0) };
    let fast = Candidate { relative_latency: 0.6, concurrency: 3.0, ..candidate(3, 1.0) };
    assert_eq!(choose(&[slow, fast], &SMALL, 0), Some(3));
    assert_eq!(choose(&[slow, Candidate { load: 4.0, ..fast }], &SMALL, 0), Some(2));
}

/// A server is congested for a request that would be late because of its queue. A server with free
/// capacity never is, however long requests take, because its responses show when they take less.
#[test]
fn a_server_is_congested_if_the_request_would_be_late_in_its_queue() {
    let target = std::time::Duration::from_millis(600);
    let limit_ms = |is_at_most_once, tolerance| {
        super::max_response_time_ms(target, is_at_most_once, tolerance)
    };
    let (at_most_once, idempotent) = (limit_ms(true, 0.0), limit_ms(false, 0.0));
    assert!(idempotent < at_most_once && at_most_once < 600.0);
    assert_eq!((limit_ms(true, 1.0), limit_ms(false, 1.0)), (600.0, 600.0));
    let slow = RequestCost { service_time_ms: 5000.0, ..SMALL };
    assert!(!candidate(0, 3.0).is_congested(&slow, idempotent));
    assert!(candidate(0, 4.0).is_congested(&slow, idempotent));
    assert!(!candidate(0, 4.0).is_congested(&SMALL, idempotent));
    assert!(candidate(0, 8.0).is_congested(&SMALL, idempotent));
    assert!(!candidate(0, 6.0).is_congested(&SMALL, at_most_once));
}

/// The random number and the order of the candidates only decide among candidates of equal cost and
/// distance.
#[test]
fn the_random_number_decides_only_among_equal_candidates() {
    let mut rng = TestRng(5);
    for_each_case(|candidates, request, random, chosen| {
        let Some(chosen) = chosen else { return };
        let mut shuffled = candidates.to_vec();
        for index in (1..shuffled.len()).rev() {
            shuffled.swap(index, rng.below(index as u64 + 1) as usize);
        }
        for random in [0, 1, random / 3, u64::MAX] {
            let other = choose(&shuffled, request, random).expect("a candidate has capacity");
            let other = candidates
                .iter()
                .find(|candidate| candidate.index == other)
                .expect("index of a candidate");
            assert_eq!(
                (other.cost(request), other.distance),
                (chosen.cost(request), chosen.distance)
            );
        }
    });
}

/// Equal candidates get equal shares of the requests.
#[test]
fn equal_candidates_share_the_requests() {
    let candidates: Vec<Candidate> = (0..5).map(|index| candidate(index, 1.0)).collect();
    let mut rng = TestRng(3);
    let mut counts = [0; 5];
    for _ in 0..5000 {
        counts[choose(&candidates, &SMALL, rng.next()).expect("a candidate has capacity")] += 1;
    }
    assert!(counts.iter().all(|count| (850..1150).contains(count)), "{counts:?}");
}

/// More load, a higher latency, the lack of a connection or a longer round trip never makes a server
/// the chosen one if it was not before.
#[test]
fn more_load_never_attracts_requests() {
    let mut rng = TestRng(17);
    for_each_case(|candidates, request, random, chosen| {
        if candidates.is_empty() {
            return;
        }
        let at = rng.below(candidates.len() as u64) as usize;
        for change in 0..4 {
            let mut changed = candidates.to_vec();
            match change {
                0 => changed[at].load += 1.0,
                1 => changed[at].relative_latency *= 1.2,
                2 => changed[at].is_connected = false,
                _ => changed[at].round_trip_ms += 5.0,
            }
            let was_chosen =
                chosen.is_some_and(|candidate| candidate.index == candidates[at].index);
            let is_chosen = choose(&changed, request, random) == Some(candidates[at].index);
            assert!(was_chosen || !is_chosen, "{candidates:?} at {at}");
        }
    });
}

/// The order in which servers are chosen for successive requests of which none completes.
#[test]
fn a_rising_load_spreads_from_near_to_far_servers() {
    let mut summary = String::new();
    for request in [SMALL, LARGE] {
        let distances = [Distance::Subset, Distance::Zone, Distance::Region, Distance::OtherRegion];
        let mut candidates: Vec<Candidate> = distances
            .into_iter()
            .enumerate()
            .map(|(index, distance)| Candidate {
                distance,
                concurrency: 2.0,
                round_trip_ms: [1.0, 1.0, 2.0, 24.0][index],
                ..candidate(index, 0.0)
            })
            .collect();
        let mut order = String::new();
        while let Some(index) = choose(&candidates, &request, 0) {
            candidates[index].load += 1.0;
            order += ["o", "z", "r", "f"][index];
        }
        summary += &format!("{} kB: {order}\n", request.kilobytes);
    }
    expect_test::expect![[r#"
        4 kB: ozrfozrfozrfozrfozrfozrfozrfozrf
        90 kB: ozozozozozozozozrfrfrfrfrfrfrfrf
    "#]]
    .assert_eq(&summary);
}
