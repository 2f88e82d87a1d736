use super::State;

#[test]
fn only_a_good_list_takes_the_last_ones_place() {
    let list = |revision: u64, is_empty: bool| {
        let server = r#"{"id": "s", "address": "127.0.0.1:9", "region": "a", "zone": "a1",
                         "state": "ready"}"#;
        let servers = if is_empty { "" } else { server };
        let text = format!(r#"{{"revision": {revision}, "servers": [{servers}]}}"#);
        vanepath_setup::platform::parse(text.as_bytes()).unwrap()
    };
    let last = list(5, false);
    assert_eq!(super::judge(&last, &list(6, false)), State::Good);
    assert_eq!(super::judge(&last, &list(4, false)), State::Older);
    assert_eq!(super::judge(&last, &list(6, true)), State::Empty);
    // Whoever knows none yet may be the only one: the others' list has servers.
    assert_eq!(super::judge(&list(0, true), &list(1, true)), State::Empty);
    assert_eq!(super::judge(&list(0, true), &list(0, false)), State::Good);
}

fn server(id: &str) -> vanepath_setup::platform::Server {
    vanepath_setup::platform::Server {
        id: id.to_string(),
        address: "127.0.0.1:9".parse().unwrap(),
        region: "a".to_string(),
        zone: "a1".to_string(),
        labels: Default::default(),
        leaving: false,
        cold: false,
        slots: 2,
    }
}

/// Lists without a number of their own: one that differs is the next one, whatever the order in which
/// it came, and one that does not is the same.
#[test]
fn lists_without_numbers_are_numbered_by_what_changes() {
    let numbered = |last: &vanepath_setup::platform::PlatformList, ids: &[&str]| {
        super::numbered(last, None, ids.iter().map(|id| server(id)).collect())
    };
    let ids = |list: &vanepath_setup::platform::PlatformList| -> Vec<String> {
        list.servers.iter().map(|one| one.id.clone()).collect()
    };
    let first = numbered(&Default::default(), &["b", "a"]);
    assert_eq!((first.revision, ids(&first)), (1, vec!["a".to_string(), "b".to_string()]));
    let same = numbered(&first, &["a", "b"]);
    assert_eq!(same, first);
    // A server that moved from one page to the next while they were read stands on both.
    assert_eq!(numbered(&first, &["a", "b", "a"]), first);
    let fewer = numbered(&first, &["b"]);
    assert_eq!((fewer.revision, ids(&fewer)), (2, vec!["b".to_string()]));
    assert_eq!(super::judge(&first, &fewer), State::Good);
    let mut changed = vec![server("a"), server("b")];
    changed[1].leaving = true;
    let changed = super::numbered(&first, None, changed);
    assert_eq!(changed.revision, 2);
    let back = super::numbered(&changed, None, vec![server("a"), server("b")]);
    assert_eq!((back.revision, &back.servers), (3, &first.servers));
    let none = numbered(&back, &[]);
    assert_eq!(super::judge(&back, &none), State::Empty, "not believed");
}

/// Where the platform numbers its lists, its numbers and its order count.
#[test]
fn lists_with_numbers_keep_them() {
    let last = super::numbered(&Default::default(), Some(7), vec![server("b"), server("a")]);
    assert_eq!(last.revision, 7);
    assert_eq!(last.servers[0].id, "b");
    let older = super::numbered(&last, Some(6), vec![server("c")]);
    assert_eq!(super::judge(&last, &older), State::Older);
}

fn view(registries: &[(&str, bool)]) -> vanepath_sibling::daemon::View {
    use vanepath_sibling::wire;
    let address = "127.0.0.1:9".parse().unwrap();
    let live = registries.iter().map(|(name, leaving)| {
        let role = if name.starts_with('p') { wire::Role::Proxy } else { wire::Role::Registry };
        let card = wire::Card {
            name: name.to_string(),
            role,
            region: "a".to_string(),
            zone: "a1".to_string(),
            address,
            sibling_address: address,
        };
        (card, wire::Report { leaving: *leaving, ..wire::Report::default() })
    });
    vanepath_sibling::daemon::View { live: live.collect(), ..Default::default() }
}

/// One registry reads often and the others seldom, so that the list is asked for no more often than it
/// must be; whoever is cut off, leaves or is no registry does not have that duty.
#[test]
fn one_registry_reads_the_list_often() {
    let turn = |view: &vanepath_sibling::daemon::View, own: &str, after_ms: u64| {
        let read_at = std::time::Duration::from_secs(5);
        let now = read_at + std::time::Duration::from_millis(after_ms);
        super::is_turn(view, own, now, Some(read_at))
    };
    let all = view(&[("p0", false), ("r2", false), ("r1", false), ("r3", false)]);
    assert!(turn(&all, "r1", 600) && !turn(&all, "r1", 599));
    assert!(!turn(&all, "r2", 3999) && turn(&all, "r2", 4000));
    let without = view(&[("r2", false), ("r1", true), ("r3", false)]);
    assert!(turn(&without, "r2", 600), "the first is leaving: the next one has the duty");
    assert!(!turn(&without, "r3", 600));
    let mut cut = view(&[("r1", false)]);
    cut.is_alone = true;
    assert!(!turn(&cut, "r1", 600) && turn(&cut, "r1", 2000), "others may have the duty");
    let first = std::time::Duration::from_millis(3);
    assert!(super::is_turn(&all, "r3", first, None), "who has read nothing yet reads at once");
}

/// So many registries, each going by what it knows: together they keep within the platform's rate.
#[test]
fn all_registries_together_read_seldom_enough() {
    let names = ["r1", "r2", "r3", "r4", "r5"];
    let all = view(&names.map(|name| (name, false)));
    let mut read_at = [None; 5];
    let mut reads = Vec::new();
    for now_ms in (0..60_000).step_by(50) {
        let now = std::time::Duration::from_millis(now_ms);
        for (index, name) in names.iter().enumerate() {
            if super::is_turn(&all, name, now, read_at[index]) {
                read_at[index] = Some(now);
                reads.push(now_ms);
            }
        }
    }
    let per_second = reads.len() as f64 / 60.0;
    assert!(per_second < 4.0, "{per_second}");
    let longest = reads.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(longest <= Some(600), "{longest:?} ms without a read");
}
