/// Subsets are even: no proxy has more than one server more than another, and the other way round where
/// there are fewer servers than proxies; none is left out.
#[test]
fn subsets_of_a_zone_are_even_and_complete() {
    for proxies in 1..20 {
        for servers in 1..40 {
            let owns = |rank: usize, position: usize| {
                super::is_in_subset(rank, proxies, position, servers)
            };
            let of_proxy: Vec<usize> = (0..proxies)
                .map(|rank| (0..servers).filter(|position| owns(rank, *position)).count())
                .collect();
            let of_server: Vec<usize> = (0..servers)
                .map(|position| (0..proxies).filter(|rank| owns(*rank, position)).count())
                .collect();
            for counts in [of_proxy, of_server] {
                let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
                assert!(*least >= 1 && most - least <= 1, "{proxies} {servers}: {counts:?}");
            }
        }
    }
}
