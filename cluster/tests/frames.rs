//! What daemons say to each other, byte for byte: programs of two versions talk to each other while they
//! are replaced one by one (design 5.1).

use std::fmt::Write as _;
use vanepath_cluster::wire::{
    Card, Delta, Detail, Disk, Greeting, ListRead, Mark, News, Plan, Pull, Reply, Report, Request,
    Role, SYSTEM, Sight, Word, decode, encode, short_name,
};
use vanepath_config::endpoint_list::{EndpointList, EndpointListDelta, Server};

#[derive(Default)]
struct Frames {
    text: String,
}

impl Frames {
    /// Notes a message's bytes and shows that they are read as that very message.
    fn add<T>(&mut self, label: &str, message: &T)
    where
        T: serde::Serialize + serde::de::DeserializeOwned,
    {
        let bytes = encode(message);
        let read: T = decode(&bytes).unwrap_or_else(|| panic!("{label} is not read"));
        assert_eq!(encode(&read), bytes, "{label}");
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        let _ = writeln!(self.text, "{label} {hex}");
    }
}

fn mark() -> Mark {
    Mark { life: 11, counter: 12, edition: 13, detail: 14 }
}

fn card(role: Role) -> Card {
    Card {
        name: "one".to_string(),
        role,
        region: "north".to_string(),
        zone: "north-1".to_string(),
        address: "127.0.0.1:7000".parse().unwrap(),
        sibling_address: "127.0.0.1:7001".parse().unwrap(),
    }
}

fn report() -> Report {
    Report {
        ready: true,
        leaving: false,
        revision: 21,
        blank: false,
        settled: true,
        disk: Some(Disk { incarnation: 31, founds: true, seat: Some(2) }),
        whole: true,
    }
}

fn sight() -> Sight {
    Sight {
        server: "server-1".to_string(),
        phase: 3,
        age_ms: 41,
        steady_ms: 42,
        demand_milli: 43,
        refused: true,
    }
}

fn detail() -> Detail {
    Detail {
        sights: vec![sight()],
        in_hand: vec![1, 2],
        waiting: vec![3, 4],
        taken: [("orders".to_string(), 51)].into(),
    }
}

fn bare_delta() -> Delta {
    let name = "one".to_string();
    Delta { name, mark: mark(), age_ms: 61, card: None, report: None, detail: None }
}

fn full_delta() -> Delta {
    Delta {
        card: Some(card(Role::Proxy)),
        report: Some(report()),
        detail: Some(detail()),
        ..bare_delta()
    }
}

fn word() -> Word {
    Word {
        revision: 71,
        setup_revision: 72,
        setup_version: 73,
        setup: b"setup".to_vec(),
        emptied: ["north-1".to_string()].into(),
        further_orders: [("north-1".to_string(), 2)].into(),
    }
}

fn plan() -> Plan {
    Plan {
        epoch: 81,
        counter: 82,
        holder: "registry-0".to_string(),
        revision: 83,
        moved: [(
            "orders".to_string(),
            [("north-1".to_string(), [("north-2".to_string(), 250)].into())].into(),
        )]
        .into(),
        cold: [("server-1".to_string(), (84, true)), ("server-2".to_string(), (85, false))].into(),
        away: ["server-3".to_string()].into(),
    }
}

fn server() -> Server {
    Server {
        id: "server-1".to_string(),
        address: "127.0.0.9:80".parse().unwrap(),
        region: "north".to_string(),
        zone: "north-1".to_string(),
        labels: [("app".to_string(), "orders".to_string())].into(),
        draining: true,
        warming_up: true,
        concurrency: 6,
    }
}

fn list() -> EndpointList {
    EndpointList { revision: 91, servers: vec![server()] }
}

fn list_delta() -> EndpointListDelta {
    EndpointListDelta {
        base: 90,
        revision: 91,
        changed: vec![server()],
        removed: vec!["server-7".to_string()],
        digest: 92,
    }
}

fn bare_pull() -> Pull {
    Pull {
        vector: None,
        word: 101,
        platform: 102,
        plan: (103, 104),
        own: bare_delta(),
        wait_ms: 700,
        wants_detail: false,
        light: true,
        silent: 0,
        list_age_ms: None,
    }
}

fn full_pull() -> Pull {
    Pull {
        vector: Some(vec![(short_name("one"), mark()), (short_name("two"), Mark::default())]),
        own: full_delta(),
        wants_detail: true,
        light: false,
        silent: 105,
        list_age_ms: Some(106),
        ..bare_pull()
    }
}

#[test]
fn requests_keep_their_bytes() {
    let mut frames = Frames::default();
    let (system, fleet, name) = (SYSTEM.to_string(), "fleet".to_string(), "one".to_string());
    frames.add("greeting", &Greeting { system, fleet, name });
    frames.add("pull-bare", &Request::Pull(bare_pull()));
    frames.add("pull-full", &Request::Pull(full_pull()));
    frames.add("store", &Request::Store(vec![1, 2, 3].into()));
    frames.add("floor", &Request::Floor);
    expect_test::expect_file!["fixtures/requests.txt"].assert_eq(&frames.text);
}

#[test]
fn replies_keep_their_bytes() {
    let mut frames = Frames::default();
    frames.add("news-bare", &Reply::News(News::default()));
    let full = News {
        deltas: vec![bare_delta(), full_delta()],
        word: Some(word()),
        platform: Some(list()),
        platform_delta: Some(list_delta()),
        list_read: Some(ListRead { revision: 91, age_ms: 5 }),
        plan: Some(plan()),
        silent: Some(vec![short_name("two")]),
        resend: true,
        floor: Some(70),
    };
    frames.add("news-full", &Reply::News(full));
    frames.add("store", &Reply::Store(vec![1, 2, 3].into()));
    frames.add("no-duty", &Reply::NoDuty);
    frames.add("floor-none", &Reply::Floor(None));
    frames.add("floor", &Reply::Floor(Some(12)));
    expect_test::expect_file!["fixtures/replies.txt"].assert_eq(&frames.text);
}

/// Each part by itself, with what may be absent absent.
#[test]
fn parts_keep_their_bytes() {
    let mut frames = Frames::default();
    for role in [Role::Proxy, Role::Registry, Role::Store] {
        frames.add(&format!("card-{role}"), &card(role));
    }
    frames.add("report-bare", &Report::default());
    frames.add("report-full", &report());
    frames.add("disk-without-seat", &Disk::default());
    for phase in 0..=4 {
        frames.add(&format!("sight-{phase}"), &Sight { phase, ..sight() });
    }
    frames.add("detail-bare", &Detail::default());
    frames.add("detail-full", &detail());
    frames.add("word-bare", &Word::default());
    frames.add("word-full", &word());
    frames.add("plan-bare", &Plan::default());
    frames.add("plan-full", &plan());
    frames.add("mark", &mark());
    frames.add("delta-bare", &bare_delta());
    frames.add("delta-full", &full_delta());
    frames.add("list", &list());
    frames.add("list-delta", &list_delta());
    frames.add("list-read", &ListRead { revision: 91, age_ms: 5 });
    expect_test::expect_file!["fixtures/parts.txt"].assert_eq(&frames.text);
}
