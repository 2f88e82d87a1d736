use super::{EndpointList, Server};

fn server(number: u64, flags: u64) -> Server {
    Server {
        id: format!("s{number}"),
        address: ([127, 0, 0, 1], 9000 + number as u16).into(),
        region: "a".to_string(),
        zone: format!("a{}", number % 3),
        labels: Default::default(),
        draining: flags & 1 > 0,
        warming_up: flags & 2 > 0,
        concurrency: 2,
    }
}

/// A delta applied to its base gives the target list, whatever changed. Applied to another list, even one of
/// the same revision, it never gives a wrong list.
#[test]
fn a_delta_gives_its_target_list_from_its_base_only() {
    let mut seed = 5_u64;
    let mut draw = |bound: u64| {
        seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (seed >> 33) % bound
    };
    for revision in 1..300 {
        let mut list = |revision: u64| EndpointList {
            revision,
            servers: (0..20)
                .filter(|_| draw(4) > 0)
                .collect::<Vec<u64>>()
                .into_iter()
                .map(|number| server(number, draw(8)))
                .collect(),
        };
        let (base, next, other) = (list(revision), list(revision + 1), list(revision));
        let delta = next.delta_since(&base);
        let result = base.with_delta(&delta).expect("a delta applies to its base");
        let sorted = |list: &EndpointList| {
            let mut servers = list.servers.clone();
            servers.sort_by(|left, right| left.id.cmp(&right.id));
            servers
        };
        assert_eq!((result.revision, sorted(&result)), (next.revision, sorted(&next)));
        if sorted(&other) != sorted(&base) {
            assert!(other.with_delta(&delta).is_none_or(|result| sorted(&result) == sorted(&next)));
        }
        assert_eq!(next.with_delta(&delta), None, "the list has another revision");
        // Two deltas together give the same list as one after the other.
        let last = list(revision + 2);
        let both = delta.followed_by(&last.delta_since(&next));
        let result = base.with_delta(&both).expect("a delta applies to its base");
        assert_eq!((result.revision, sorted(&result)), (last.revision, sorted(&last)));
    }
}
