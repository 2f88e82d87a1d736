/// The sizes of any two subsets differ by one server at most, and the numbers of subsets that any two
/// servers are in differ by one at most. No subset is empty, and every server is in a subset.
#[test]
fn subsets_of_a_zone_are_even_and_complete() {
    for proxies in 1..20 {
        for servers in 1..40 {
            let is_owned = |rank: usize, position: usize| {
                super::is_in_subset(rank, proxies, position, servers)
            };
            let of_proxy: Vec<usize> = (0..proxies)
                .map(|rank| (0..servers).filter(|position| is_owned(rank, *position)).count())
                .collect();
            let of_server: Vec<usize> = (0..servers)
                .map(|position| (0..proxies).filter(|rank| is_owned(*rank, position)).count())
                .collect();
            for counts in [of_proxy, of_server] {
                let (min, max) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
                assert!(*min >= 1 && max - min <= 1, "{proxies} {servers}: {counts:?}");
            }
        }
    }
}
