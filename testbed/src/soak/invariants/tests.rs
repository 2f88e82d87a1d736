use super::super::record::{
    Acknowledged, Arrival, Emptied, End, Kind, Observed, Request, ServerLife, Span, Told, Trouble,
    Usage, UsageOf,
};
use super::judge;
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn request(number: &str, kind: Kind, sent: u64, ended: u64, end: End) -> Request {
    let number = number.to_string();
    Request { number, kind, proxy: 1, sent_at: ms(sent), ended_at: ms(ended), end }
}

fn served() -> End {
    End::Answered { status: 200, verdict: "ran".to_string(), is_right: true }
}

fn refused(verdict: &str) -> End {
    End::Answered { status: 503, verdict: verdict.to_string(), is_right: false }
}

/// A soak on which nothing is wrong: one lookup and one filing.
fn good() -> Observed {
    let arrival = |at: u64, number: &str, path: &str| Arrival {
        at: ms(at),
        number: number.to_string(),
        path: path.to_string(),
    };
    Observed {
        requests: vec![
            request("n1", Kind::Lookup, 1000, 1010, served()),
            request("n2", Kind::Filing, 2000, 2010, served()),
        ],
        servers: vec![ServerLife {
            id: "ordering-1".to_string(),
            app: "ordering".to_string(),
            zone: "north-1".to_string(),
            leaving_at: None,
            arrivals: vec![arrival(1005, "n1", "/stock/n1"), arrival(2005, "n2", "/orders")],
        }],
        runs: [("n1".to_string(), 1), ("n2".to_string(), 1)].into(),
        calm_at: Some(ms(60_000)),
        ..Observed::default()
    }
}

/// What the judges say of the good soak with this change.
fn found(change: impl FnOnce(&mut Observed)) -> String {
    let mut observed = good();
    change(&mut observed);
    judge(&observed).join("\n")
}

#[test]
fn a_good_soak_has_no_faults() {
    assert_eq!(found(|_| {}), "");
}

#[test]
fn a_request_that_reaches_a_leaving_server_late_is_found() {
    let late = |observed: &mut Observed| {
        observed.servers[0].leaving_at = Some(ms(1000));
        observed.servers[0].arrivals[1].at = ms(5001);
        observed.requests[1].ended_at = ms(5002);
    };
    let fault = "request n2 reached ordering-1 4001 ms after the list showed it as leaving";
    assert_eq!(found(late), fault);
    let with = |what: Trouble, from: u64, to: u64| {
        found(|observed| {
            late(observed);
            observed.spans.push(Span { what, from: ms(from), to: ms(to) });
        })
    };
    // A platform that is not to be had stops the clock, and a proxy that is cut off knows of nothing.
    assert_eq!(with(Trouble::Platform, 900, 1200), "");
    assert_eq!(with(Trouble::ProxyLink(1), 1500, 3000), "");
    // Whoever only stood still, or a core machine in trouble, is no excuse.
    assert_eq!(with(Trouble::Proxy(1), 1500, 4900), fault);
    assert_eq!(with(Trouble::Core, 900, 3000), fault);
    assert_eq!(with(Trouble::ProxyLink(2), 1500, 3000), fault);
}

#[test]
fn a_request_that_reaches_an_emptied_zone_late_is_found() {
    let late = |to: u64| {
        found(|observed| {
            let zone = "north-1".to_string();
            observed.emptied.push(Emptied { zone, from: ms(1), to: ms(to) });
            observed.servers[0].arrivals[1].at = ms(5002);
        })
    };
    assert_eq!(
        late(6000),
        "request n2 reached ordering-1 in north-1 5001 ms after that was emptied"
    );
    assert_eq!(late(5000), "", "it was taken back before");
}

#[test]
fn a_request_at_another_service_is_found() {
    let fault = found(|observed| observed.servers[0].app = "documents".to_string());
    assert!(
        fault.starts_with("request n1 for /stock/n1 reached ordering-1 of documents"),
        "{fault}"
    );
}

#[test]
fn what_runs_twice_or_is_told_wrongly_is_found() {
    let twice = found(|observed| {
        observed.runs.insert("n2".to_string(), 2);
    });
    assert!(twice.contains("n2") && twice.contains("ran 2 times"), "{twice}");
    let promised = found(|observed| observed.requests[1].end = refused("not-run"));
    assert!(promised.contains("ran 1 times"), "{promised}");
    assert_eq!(found(|observed| observed.requests[1].end = refused("may-have-run")), "");
    let lookups = found(|observed| {
        observed.runs.insert("n1".to_string(), 2);
    });
    assert_eq!(lookups, "", "a lookup may run again");
}

#[test]
fn an_answer_that_is_not_its_own_is_found() {
    let wrong = found(|observed| {
        observed.requests[0].end =
            End::Answered { status: 200, verdict: "ran".to_string(), is_right: false };
    });
    assert_eq!(wrong, "lookup n1 got what is not its own");
}

#[test]
fn work_in_hand_that_is_lost_is_found() {
    let cut = |observed: &mut Observed| observed.requests[0].end = End::Cut;
    assert!(found(cut).contains("ran, and its connection ended"));
    for (what, is_excuse) in [
        (Trouble::Proxy(1), true),
        (Trouble::ProxyLink(1), true),
        (Trouble::Server, true),
        (Trouble::Proxy(2), false),
        (Trouble::Core, false),
        (Trouble::Platform, false),
    ] {
        let found = found(|observed| {
            cut(observed);
            let what = what.clone();
            observed.spans.push(Span { what, from: ms(900), to: ms(1001) });
        });
        assert_eq!(found.is_empty(), is_excuse, "{what:?}: {found}");
    }
    let untouched = found(|observed| {
        cut(observed);
        observed.runs.remove("n1");
    });
    assert_eq!(untouched, "", "no server had it");
}

#[test]
fn a_late_refusal_and_silence_are_found() {
    let late = found(|observed| {
        observed.requests[0].end = refused("not-run");
        observed.requests[0].ended_at = ms(6001);
    });
    assert!(late.contains("only after 5001 ms"), "{late}");
    let silent = found(|observed| observed.requests[0].end = End::Silence);
    assert!(silent.contains("Silence"), "{silent}");
}

#[test]
fn an_older_configuration_is_found() {
    let told = |daemon: &str, at: u64, revision: u64| Told {
        daemon: daemon.to_string(),
        asked_at: ms(at),
        revision,
    };
    let back = found(|observed| {
        observed.told = vec![told("proxy-1", 1, 7), told("proxy-2", 2, 5), told("proxy-1", 3, 6)];
    });
    assert_eq!(back, "proxy-1 went from revision 7 back to 6");
    let started = found(|observed| {
        observed.told = vec![told("proxy-1", 1, 7), told("proxy-1", 3, 0), told("proxy-1", 4, 7)];
    });
    assert_eq!(started, "", "one that goes by none yet says so");
    let read = found(|observed| {
        observed.acknowledged.push(Acknowledged { revision: 8, at: ms(10) });
        observed.reads = vec![told("registry-0", 9, 7), told("registry-0", 11, 7)];
    });
    assert_eq!(read, "registry-0 read out revision 7, and 8 was acknowledged before");
}

#[test]
fn what_is_not_calm_at_the_end_is_found() {
    assert!(found(|observed| observed.calm_at = None).starts_with("not ready and calm"));
    let failed = found(|observed| {
        let end = refused("not-run");
        observed.requests.push(request("n3", Kind::Lookup, 60_500, 60_600, end));
    });
    assert!(failed.contains("n3 in the calm at the end"), "{failed}");
}

#[test]
fn a_process_that_has_grown_is_found() {
    let before = Usage { memory_kb: 9000, open_files: 40, threads: 5 };
    let grown = |after: Usage| {
        found(|observed| {
            let daemon = "proxy-1".to_string();
            observed.usage.push(UsageOf { daemon, before, after });
        })
    };
    assert_eq!(grown(Usage { memory_kb: 20_000, open_files: 90, threads: 5 }), "");
    for after in [
        Usage { memory_kb: 90_000, ..before },
        Usage { open_files: 400, ..before },
        Usage { threads: 20, ..before },
    ] {
        assert!(grown(after).starts_with("proxy-1 had"), "{after:?}");
    }
}
