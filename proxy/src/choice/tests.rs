use super::{Candidate, Distance, FILL_MOST, choose};

/// Numbers that are the same in each run.
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
                distance: [Distance::Own, Distance::Zone, Distance::Region, Distance::Far]
                    [self.below(4) as usize],
                load: self.below(80) as f64 / 4.0,
                slots: (1 + self.below(6)) as f64,
            })
            .collect()
    }
}

const CASES: usize = 4000;

fn each_case(mut check: impl FnMut(&[Candidate], bool, u64, Option<&Candidate>)) {
    let mut draw = Draw(11);
    for case in 0..CASES {
        let candidates = draw.candidates();
        let random = draw.next();
        let is_bulk = case % 2 == 0;
        let chosen = choose(&candidates, is_bulk, random);
        let chosen = chosen
            .map(|index| candidates.iter().find(|one| one.index == index).expect("one of them"));
        check(&candidates, is_bulk, random, chosen);
    }
}

/// Somebody is chosen as long as somebody has room, and never one that is full.
#[test]
fn one_with_room_is_found_and_a_full_one_never() {
    let mut none = 0;
    each_case(|candidates, _, _, chosen| {
        let has_room = candidates.iter().any(|one| one.fill() <= FILL_MOST);
        assert_eq!(chosen.is_some(), has_room, "{candidates:?}");
        none += usize::from(chosen.is_none());
        assert!(chosen.is_none_or(|one| one.fill() <= FILL_MOST), "{chosen:?} of {candidates:?}");
    });
    assert!(none > 100 && none < CASES / 2, "{none} cases without room");
}

/// No request goes farther while a slot is free nearer, and never to a fuller one than another at the
/// same distance.
#[test]
fn a_free_slot_near_by_comes_first_and_the_least_filled_of_equals() {
    each_case(|candidates, is_bulk, _, chosen| {
        let Some(chosen) = chosen else { return };
        let least = |distance: Distance| {
            let there = candidates.iter().filter(|one| one.distance == distance);
            there.map(Candidate::fill).min_by(f64::total_cmp)
        };
        assert_eq!(least(chosen.distance), Some(chosen.fill()), "{chosen:?} of {candidates:?}");
        for nearer in [Distance::Zone, Distance::Region] {
            // Large answers do not leave the zone for a slot in the region, nor that for one far away.
            let most = if is_bulk { 1.5 } else { 1.0 };
            let is_free = least(nearer).is_some_and(|fill| fill <= most);
            let is_passed_over = chosen.distance > nearer && is_free;
            assert!(!is_passed_over, "{chosen:?} of {candidates:?}");
        }
        if is_bulk && chosen.distance > Distance::Zone {
            assert!(least(Distance::Zone).is_none_or(|fill| fill > 2.5), "{chosen:?}");
        }
    });
}

/// Neither the draw nor the order of the candidates changes anything but which of equal ones it is.
#[test]
fn the_draw_decides_among_equals_only() {
    let mut draw = Draw(5);
    each_case(|candidates, is_bulk, random, chosen| {
        let Some(chosen) = chosen else { return };
        let mut shuffled = candidates.to_vec();
        for index in (1..shuffled.len()).rev() {
            shuffled.swap(index, draw.below(index as u64 + 1) as usize);
        }
        for random in [0, 1, random / 3, u64::MAX] {
            let other = choose(&shuffled, is_bulk, random).expect("there is one");
            let other = candidates.iter().find(|one| one.index == other).expect("one of them");
            assert_eq!((other.fill(), other.distance), (chosen.fill(), chosen.distance));
        }
    });
}

/// Of equal ones each gets its part.
#[test]
fn equals_share() {
    let equal = |index| Candidate { index, distance: Distance::Zone, load: 1.0, slots: 4.0 };
    let candidates: Vec<Candidate> = (0..5).map(equal).collect();
    let mut draw = Draw(3);
    let mut counts = [0; 5];
    for _ in 0..5000 {
        counts[choose(&candidates, false, draw.next()).expect("there is one")] += 1;
    }
    assert!(counts.iter().all(|count| (850..1150).contains(count)), "{counts:?}");
}

/// More load on one never draws requests to it that would have gone elsewhere.
#[test]
fn more_load_never_attracts() {
    let mut draw = Draw(17);
    each_case(|candidates, is_bulk, random, chosen| {
        if candidates.is_empty() {
            return;
        }
        let at = draw.below(candidates.len() as u64) as usize;
        let mut heavier = candidates.to_vec();
        heavier[at].load += 1.0;
        let was_chosen = chosen.is_some_and(|one| one.index == candidates[at].index);
        let is_chosen = choose(&heavier, is_bulk, random) == Some(candidates[at].index);
        let is_equal = chosen.is_some_and(|one| {
            one.fill() == heavier[at].fill() && one.distance == heavier[at].distance
        });
        assert!(was_chosen || !is_chosen || is_equal, "{candidates:?} at {at}");
    });
}

/// One request after the other, none of which ends: where they go.
#[test]
fn a_rising_load_spreads_from_near_to_far() {
    let mut shown = String::new();
    for is_bulk in [false, true] {
        let all = [Distance::Own, Distance::Zone, Distance::Region, Distance::Far];
        let mut candidates: Vec<Candidate> = all
            .into_iter()
            .enumerate()
            .map(|(index, distance)| Candidate { index, distance, load: 0.0, slots: 2.0 })
            .collect();
        let mut order = String::new();
        while let Some(index) = choose(&candidates, is_bulk, 0) {
            candidates[index].load += 1.0;
            order += ["o", "z", "r", "f"][index];
        }
        shown += &format!("bulk {is_bulk}: {order}\n");
    }
    expect_test::expect![[r#"
        bulk false: ooozzzrrrozrffozrozrffffozrfozrf
        bulk true: oozzozozozrrrrrozrffffffozrfozrf
    "#]]
    .assert_eq(&shown);
}

/// Parts are even: no proxy has more than one server more than another, and the other way round where
/// there are fewer servers than proxies; nobody is left out.
#[test]
fn parts_of_a_zone_are_even_and_whole() {
    for proxies in 1..20 {
        for servers in 1..40 {
            let owns = |rank: usize, place: usize| super::is_own(rank, proxies, place, servers);
            let of_proxy: Vec<usize> = (0..proxies)
                .map(|rank| (0..servers).filter(|place| owns(rank, *place)).count())
                .collect();
            let of_server: Vec<usize> = (0..servers)
                .map(|place| (0..proxies).filter(|rank| owns(*rank, place)).count())
                .collect();
            for counts in [of_proxy, of_server] {
                let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
                assert!(*least >= 1 && most - least <= 1, "{proxies} {servers}: {counts:?}");
            }
        }
    }
}
