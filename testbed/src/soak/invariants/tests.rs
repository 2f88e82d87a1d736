use super::super::record::{
    AcknowledgedConfig, Arrival, DrainedZone, Fault, FaultInterval, Observations, Request,
    RequestEnd, RequestKind, RevisionReading, ServerIncarnation, Usage, UsageComparison,
};
use super::check;
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn request(request_id: &str, kind: RequestKind, sent: u64, ended: u64, end: RequestEnd) -> Request {
    let request_id = request_id.to_string();
    Request { request_id, kind, proxy: 1, sent_at: ms(sent), ended_at: ms(ended), end }
}

fn served() -> RequestEnd {
    RequestEnd::Response { status: 200, execution: "ran".to_string(), is_correct: true }
}

fn rejected(execution: &str) -> RequestEnd {
    RequestEnd::Response { status: 503, execution: execution.to_string(), is_correct: false }
}

/// The observations of a correct soak with one lookup and one filing.
fn correct() -> Observations {
    let arrival = |at: u64, request_id: &str, path: &str| Arrival {
        at: ms(at),
        request_id: request_id.to_string(),
        path: path.to_string(),
    };
    Observations {
        requests: vec![
            request("n1", RequestKind::Lookup, 1000, 1010, served()),
            request("n2", RequestKind::Filing, 2000, 2010, served()),
        ],
        servers: vec![ServerIncarnation {
            id: "ordering-1".to_string(),
            app: "ordering".to_string(),
            zone: "north-1".to_string(),
            draining_since: None,
            arrivals: vec![arrival(1005, "n1", "/stock/n1"), arrival(2005, "n2", "/orders")],
        }],
        execution_counts: [("n1".to_string(), 1), ("n2".to_string(), 1)].into(),
        stable_at: Some(ms(60_000)),
        ..Observations::default()
    }
}

/// The violations after a change to the observations of the correct soak.
fn found(change: impl FnOnce(&mut Observations)) -> String {
    let mut observations = correct();
    change(&mut observations);
    check(&observations).join("\n")
}

#[test]
fn a_correct_soak_has_no_violations() {
    assert_eq!(found(|_| {}), "");
}

#[test]
fn a_request_sent_late_to_a_draining_server_is_found() {
    let late = |observations: &mut Observations| {
        observations.servers[0].draining_since = Some(ms(1000));
        observations.servers[0].arrivals[1].at = ms(5001);
        observations.requests[1].ended_at = ms(5002);
    };
    let expected = "request n2 reached ordering-1 4001 ms after the list showed it as leaving";
    assert_eq!(found(late), expected);
    let with = |fault: Fault, from: u64, to: u64| {
        found(|observations| {
            late(observations);
            observations.fault_intervals.push(FaultInterval { fault, from: ms(from), to: ms(to) });
        })
    };
    // A platform fault extends the deadline, and an isolated proxy gets no updates.
    assert_eq!(with(Fault::Platform, 900, 1200), "");
    assert_eq!(with(Fault::ProxyLink(1), 1500, 3000), "");
    // A suspended proxy and a fault of a core machine are no excuse.
    assert_eq!(with(Fault::Proxy(1), 1500, 4900), expected);
    assert_eq!(with(Fault::Core, 900, 3000), expected);
    assert_eq!(with(Fault::ProxyLink(2), 1500, 3000), expected);
}

#[test]
fn a_request_sent_late_to_a_drained_zone_is_found() {
    let late = |to: u64| {
        found(|observations| {
            let zone = "north-1".to_string();
            observations.drained_zones.push(DrainedZone { zone, from: ms(1), to: ms(to) });
            observations.servers[0].arrivals[1].at = ms(5002);
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
    let expected = found(|observations| observations.servers[0].app = "documents".to_string());
    assert!(
        expected.starts_with("request n1 for /stock/n1 reached ordering-1 of documents"),
        "{expected}"
    );
}

#[test]
fn double_execution_and_wrong_execution_status_are_found() {
    let twice = found(|observations| {
        observations.execution_counts.insert("n2".to_string(), 2);
    });
    assert!(twice.contains("n2") && twice.contains("ran 2 times"), "{twice}");
    let promised = found(|observations| observations.requests[1].end = rejected("not-run"));
    assert!(promised.contains("ran 1 times"), "{promised}");
    assert_eq!(found(|observations| observations.requests[1].end = rejected("may-have-run")), "");
    let lookups = found(|observations| {
        observations.execution_counts.insert("n1".to_string(), 2);
    });
    assert_eq!(lookups, "", "a lookup may run again");
}

#[test]
fn a_mismatched_response_is_found() {
    let wrong = found(|observations| {
        observations.requests[0].end =
            RequestEnd::Response { status: 200, execution: "ran".to_string(), is_correct: false };
    });
    assert_eq!(wrong, "lookup n1 got what is not its own");
}

#[test]
fn a_lost_request_in_flight_is_found() {
    let cut = |observations: &mut Observations| {
        observations.requests[0].end = RequestEnd::ConnectionClosed
    };
    assert!(found(cut).contains("ran, and its connection ended"));
    for (fault, is_excuse) in [
        (Fault::Proxy(1), true),
        (Fault::ProxyLink(1), true),
        (Fault::Server, true),
        (Fault::Proxy(2), false),
        (Fault::Core, false),
        (Fault::Platform, false),
    ] {
        let found = found(|observations| {
            cut(observations);
            let fault = fault.clone();
            observations.fault_intervals.push(FaultInterval { fault, from: ms(900), to: ms(1001) });
        });
        assert_eq!(found.is_empty(), is_excuse, "{fault:?}: {found}");
    }
    let untouched = found(|observations| {
        cut(observations);
        observations.execution_counts.remove("n1");
    });
    assert_eq!(untouched, "", "no server had it");
}

#[test]
fn late_rejections_and_timeouts_are_found() {
    let late = found(|observations| {
        observations.requests[0].end = rejected("not-run");
        observations.requests[0].ended_at = ms(6001);
    });
    assert!(late.contains("only after 5001 ms"), "{late}");
    let silent = found(|observations| observations.requests[0].end = RequestEnd::Timeout);
    assert!(silent.contains("Silence"), "{silent}");
}

#[test]
fn a_revision_regression_is_found() {
    let reading = |daemon: &str, at: u64, revision: u64| RevisionReading {
        daemon: daemon.to_string(),
        requested_at: ms(at),
        revision,
    };
    let back = found(|observations| {
        observations.proxy_revisions =
            vec![reading("proxy-1", 1, 7), reading("proxy-2", 2, 5), reading("proxy-1", 3, 6)];
    });
    assert_eq!(back, "proxy-1 went from revision 7 back to 6");
    let started = found(|observations| {
        observations.proxy_revisions =
            vec![reading("proxy-1", 1, 7), reading("proxy-1", 3, 0), reading("proxy-1", 4, 7)];
    });
    assert_eq!(started, "", "one that goes by none yet says so");
    let read = found(|observations| {
        observations.acknowledged.push(AcknowledgedConfig { revision: 8, at: ms(10) });
        observations.config_reads = vec![reading("registry-0", 9, 7), reading("registry-0", 11, 7)];
    });
    assert_eq!(read, "registry-0 read out revision 7, and 8 was acknowledged before");
}

#[test]
fn instability_at_the_end_is_found() {
    assert!(found(|observations| observations.stable_at = None).starts_with("not ready and calm"));
    let failed = found(|observations| {
        let end = rejected("not-run");
        observations.requests.push(request("n3", RequestKind::Lookup, 60_500, 60_600, end));
    });
    assert!(failed.contains("n3 in the calm at the end"), "{failed}");
}

#[test]
fn a_process_that_has_grown_is_found() {
    let before = Usage { memory_kb: 9000, open_files: 40, threads: 5 };
    let grown = |after: Usage| {
        found(|observations| {
            let daemon = "proxy-1".to_string();
            observations.usage.push(UsageComparison { daemon, before, after });
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

/// Incident 0019: an answer of the proxy's own in place of the response of a server that worked on the request.
#[test]
fn a_request_given_up_at_a_server_at_work_is_found() {
    let given_up = |change: fn(&mut Observations)| {
        found(|observations| {
            observations.aborted_requests.insert("n1".to_string());
            observations.requests[0].end = RequestEnd::Response {
                status: 504,
                execution: "may-have-run".to_string(),
                is_correct: false,
            };
            change(observations);
        })
    };
    let expected = given_up(|_| {});
    assert!(expected.contains("n1 of proxy 1 was given up at a server at work"), "{expected}");
    // A fault of a server, and of another proxy, is no excuse.
    fn with_fault(observations: &mut Observations, fault: Fault) {
        observations.fault_intervals.push(FaultInterval { fault, from: ms(900), to: ms(1200) });
    }
    assert_eq!(given_up(|observations| with_fault(observations, Fault::Server)), expected);
    assert_eq!(given_up(|observations| with_fault(observations, Fault::Proxy(2))), expected);
    assert_eq!(given_up(|observations| with_fault(observations, Fault::Proxy(1))), "");
    // At its deadline a request may end.
    assert_eq!(given_up(|observations| observations.requests[0].ended_at = ms(5000)), "");
    // A server is let go of once another one has responded.
    assert_eq!(given_up(|observations| observations.requests[0].end = served()), "");
}
