/// Parts are even: no proxy has more than one server more than another, and the other way round where
/// there are fewer servers than proxies; nobody is left out.
#[test]
fn parts_of_a_zone_are_even_and_whole() {
    for proxies in 1..20 {
        for servers in 1..40 {
            let owns =
                |rank: usize, place: usize| super::is_in_subset(rank, proxies, place, servers);
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
