use super::{Candidate, Distance, MAX_UTILIZATION, RequestCost, choose};

/// A deterministic source of numbers.
struct Draw(u64);

impl Draw {
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

fn each_case(mut check: impl FnMut(&[Candidate], &RequestCost, u64, Option<&Candidate>)) {
    let mut draw = Draw(11);
    for case in 0..CASES {
        let candidates = draw.candidates();
        let random = draw.next();
        let request = if case % 2 == 0 { LARGE } else { SMALL };
        let chosen = choose(&candidates, &request, random);
        let chosen = chosen
            .map(|index| candidates.iter().find(|one| one.index == index).expect("one of them"));
        check(&candidates, &request, random, chosen);
    }
}

/// A candidate is chosen as long as one has capacity, and never one that is full.
#[test]
fn a_candidate_with_capacity_is_chosen_and_a_full_one_never() {
    let mut none = 0;
    each_case(|candidates, _, _, chosen| {
        let has_room = candidates.iter().any(|one| one.utilization() <= MAX_UTILIZATION);
        assert_eq!(chosen.is_some(), has_room, "{candidates:?}");
        none += usize::from(chosen.is_none());
        assert!(
            chosen.is_none_or(|one| one.utilization() <= MAX_UTILIZATION),
            "{chosen:?} of {candidates:?}"
        );
    });
    assert!(none > 100 && none < CASES / 2, "{none} cases without room");
}

/// The chosen candidate costs least. Among servers of equal latency and distance that is the one with
/// the least load, and no request goes farther while such a server has free capacity nearer.
#[test]
fn the_least_cost_and_so_near_capacity_comes_first() {
    each_case(|candidates, request, _, chosen| {
        let Some(chosen) = chosen else { return };
        let with_room = || candidates.iter().filter(|one| one.utilization() <= MAX_UTILIZATION);
        for one in with_room() {
            assert!(chosen.cost(request) <= one.cost(request), "{chosen:?} of {candidates:?}");
            let is_alike = one.relative_latency <= chosen.relative_latency
                && one.concurrency == chosen.concurrency
                && one.round_trip_ms <= chosen.round_trip_ms
                && one.is_connected >= chosen.is_connected;
            if is_alike && one.distance == chosen.distance {
                assert!(chosen.load <= one.load, "{chosen:?} of {candidates:?}");
            }
            // Half of its concurrency costs others nothing.
            let has_room = one.load + 1.0 <= (one.concurrency / 2.0).max(1.0);
            let is_passed_over = one.distance < Distance::Region
                && chosen.distance >= Distance::Region
                && has_room
                && is_alike;
            assert!(!is_passed_over, "{chosen:?} of {candidates:?}");
        }
    });
    // A farther server with less load gains a tenth of the service time at the most.
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
    each_case(|candidates, request, _, chosen| {
        let Some(chosen) = chosen else { return };
        if *request != LARGE || chosen.distance < Distance::Region {
            return;
        }
        let near = candidates.iter().filter(|one| one.distance < Distance::Region);
        for one in near.filter(|one| one.relative_latency <= 1.5) {
            assert!(one.utilization() > 2.0, "{chosen:?} of {candidates:?}");
        }
    });
}

/// The last free unit of a near server is used after uncongested ones of the region and far away, and
/// a slow server's first one after a fast server's next.
#[test]
fn the_last_free_unit_is_left_where_others_have_capacity() {
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

/// A server is congested for a request that would be late in its queue; one with free capacity never
/// is, however long requests take, for its responses show when they no longer do.
#[test]
fn a_queue_is_congested_where_it_would_be_late() {
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

/// Neither the draw nor the order of the candidates changes anything but which of equal ones it is.
#[test]
fn the_draw_decides_among_equals_only() {
    let mut draw = Draw(5);
    each_case(|candidates, request, random, chosen| {
        let Some(chosen) = chosen else { return };
        let mut shuffled = candidates.to_vec();
        for index in (1..shuffled.len()).rev() {
            shuffled.swap(index, draw.below(index as u64 + 1) as usize);
        }
        for random in [0, 1, random / 3, u64::MAX] {
            let other = choose(&shuffled, request, random).expect("there is one");
            let other = candidates.iter().find(|one| one.index == other).expect("one of them");
            assert_eq!(
                (other.cost(request), other.distance),
                (chosen.cost(request), chosen.distance)
            );
        }
    });
}

/// Of equal candidates each gets its part.
#[test]
fn equal_candidates_share_the_requests() {
    let candidates: Vec<Candidate> = (0..5).map(|index| candidate(index, 1.0)).collect();
    let mut draw = Draw(3);
    let mut counts = [0; 5];
    for _ in 0..5000 {
        counts[choose(&candidates, &SMALL, draw.next()).expect("there is one")] += 1;
    }
    assert!(counts.iter().all(|count| (850..1150).contains(count)), "{counts:?}");
}

/// More load, a higher latency, no connection or a longer round trip never draws requests to a server
/// that would have gone elsewhere.
#[test]
fn more_load_never_attracts() {
    let mut draw = Draw(17);
    each_case(|candidates, request, random, chosen| {
        if candidates.is_empty() {
            return;
        }
        let at = draw.below(candidates.len() as u64) as usize;
        for what in 0..4 {
            let mut heavier = candidates.to_vec();
            match what {
                0 => heavier[at].load += 1.0,
                1 => heavier[at].relative_latency *= 1.2,
                2 => heavier[at].is_connected = false,
                _ => heavier[at].round_trip_ms += 5.0,
            }
            let was_chosen = chosen.is_some_and(|one| one.index == candidates[at].index);
            let is_chosen = choose(&heavier, request, random) == Some(candidates[at].index);
            assert!(was_chosen || !is_chosen, "{candidates:?} at {at}");
        }
    });
}

/// Where requests go one after the other, none of which ends.
#[test]
fn a_rising_load_spreads_from_near_to_far() {
    let mut shown = String::new();
    for request in [SMALL, LARGE] {
        let all = [Distance::Subset, Distance::Zone, Distance::Region, Distance::OtherRegion];
        let mut candidates: Vec<Candidate> = all
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
        shown += &format!("{} kB: {order}\n", request.kilobytes);
    }
    expect_test::expect![[r#"
        4 kB: ozrfozrfozrfozrfozrfozrfozrfozrf
        90 kB: ozozozozozozozozrfrfrfrfrfrfrfrf
    "#]]
    .assert_eq(&shown);
}
