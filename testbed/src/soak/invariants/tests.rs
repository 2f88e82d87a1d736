use super::super::api_keys::ApiKey;
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
    let key = ApiKey::Permanent;
    Request { request_id, kind, key, proxy: 1, sent_at: ms(sent), ended_at: ms(ended), end }
}

fn served() -> RequestEnd {
    RequestEnd::Response { status: 200, execution: "ran".to_string(), is_correct: true }
}

fn rejected(execution: &str) -> RequestEnd {
    RequestEnd::Response { status: 503, execution: execution.to_string(), is_correct: false }
}

/// The observations of a correct soak test with one lookup and one filing.
fn correct() -> Observations {
    let arrival = |at: u64, request_id: &str, path: &str| Arrival {
        at: ms(at),
        request_id: request_id.to_string(),
        path: path.to_string(),
        tenant: ApiKey::Permanent.tenant().to_string(),
        has_key: false,
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

/// The violations that are found after a change to the observations of the correct soak test.
fn violations_after(change: impl FnOnce(&mut Observations)) -> String {
    let mut observations = correct();
    change(&mut observations);
    check(&observations).join("\n")
}

#[test]
fn a_correct_soak_has_no_violations() {
    assert_eq!(violations_after(|_| {}), "");
}

#[test]
fn a_server_that_gets_a_key_or_a_wrong_tenant_is_found() {
    let with_key = violations_after(|observations| {
        observations.servers[0].arrivals[0].has_key = true;
    });
    assert_eq!(with_key, "the server of request n1 got its API key");
    let of_other_tenant = violations_after(|observations| {
        observations.servers[0].arrivals[1].tenant = "other".to_string();
    });
    assert_eq!(of_other_tenant, "request n2 of tenant permanent was sent for tenant 'other'");
}

#[test]
fn a_request_with_a_key_that_was_taken_away_too_long_ago_is_found() {
    let after = |removed_at: u64| {
        violations_after(|observations| {
            let removal = AcknowledgedConfig { revision: 5, version: 5, at: ms(removed_at) };
            observations.acknowledged.push(removal);
            observations.requests[0].key = ApiKey::OfVersion(4);
            observations.requests[0].sent_at = ms(7000);
            observations.requests[0].ended_at = ms(7010);
            observations.servers[0].arrivals[0].at = ms(7005);
            observations.servers[0].arrivals[0].tenant = "rotating".to_string();
        })
    };
    assert_eq!(after(2000), "");
    let expected =
        "request n1 was sent 5001 ms after its key had been taken away, and reached a server";
    assert_eq!(after(1999), expected);
}

#[test]
fn a_valid_key_that_is_rejected_for_good_is_found() {
    let found = violations_after(|observations| {
        let end = RequestEnd::Response {
            status: 401,
            execution: "not-run".to_string(),
            is_correct: false,
        };
        observations.requests[0].end = end;
        observations.servers[0].arrivals.remove(0);
        observations.execution_counts.remove("n1");
    });
    assert!(found.contains("request n1 with a valid key was rejected with 401"), "{found}");
}

#[test]
fn a_request_sent_late_to_a_draining_server_is_found() {
    let late = |observations: &mut Observations| {
        observations.servers[0].draining_since = Some(ms(1000));
        observations.servers[0].arrivals[1].at = ms(5001);
        observations.requests[1].ended_at = ms(5002);
    };
    let expected =
        "request n2 reached ordering-1 4001 ms after the endpoint list showed it as draining";
    assert_eq!(violations_after(late), expected);
    let with = |fault: Fault, from: u64, to: u64| {
        violations_after(|observations| {
            late(observations);
            observations.fault_intervals.push(FaultInterval { fault, from: ms(from), to: ms(to) });
        })
    };
    // A platform fault extends the deadline, and an isolated proxy gets no updates.
    assert_eq!(with(Fault::Platform, 900, 1200), "");
    assert_eq!(with(Fault::ProxyLink(1), 1500, 3000), "");
    // The suspension of the proxy, a fault of a core machine and the isolation of another proxy do not
    // explain it.
    assert_eq!(with(Fault::Proxy(1), 1500, 4900), expected);
    assert_eq!(with(Fault::Core, 900, 3000), expected);
    assert_eq!(with(Fault::ProxyLink(2), 1500, 3000), expected);
}

#[test]
fn a_request_sent_late_to_a_drained_zone_is_found() {
    let late = |to: u64| {
        violations_after(|observations| {
            let zone = "north-1".to_string();
            observations.drained_zones.push(DrainedZone { zone, from: ms(1), to: ms(to) });
            observations.servers[0].arrivals[1].at = ms(5002);
        })
    };
    assert_eq!(
        late(6000),
        "request n2 reached ordering-1 in zone north-1 5001 ms after the zone was drained"
    );
    assert_eq!(late(5000), "", "the zone was restored before the request arrived");
}

#[test]
fn a_request_at_another_service_is_found() {
    let expected =
        violations_after(|observations| observations.servers[0].app = "documents".to_string());
    assert!(
        expected
            .starts_with("request n1 for /stock/n1 reached server ordering-1 of service documents"),
        "{expected}"
    );
}

#[test]
fn double_execution_and_wrong_execution_status_are_found() {
    let twice = violations_after(|observations| {
        observations.execution_counts.insert("n2".to_string(), 2);
    });
    assert!(twice.contains("n2") && twice.contains("was executed 2 times"), "{twice}");
    let misreported =
        violations_after(|observations| observations.requests[1].end = rejected("not-run"));
    assert!(misreported.contains("was executed 1 times"), "{misreported}");
    assert_eq!(
        violations_after(|observations| observations.requests[1].end = rejected("may-have-run")),
        ""
    );
    let lookups = violations_after(|observations| {
        observations.execution_counts.insert("n1".to_string(), 2);
    });
    assert_eq!(lookups, "", "a lookup may be executed repeatedly");
}

#[test]
fn a_mismatched_response_is_found() {
    let wrong = violations_after(|observations| {
        observations.requests[0].end =
            RequestEnd::Response { status: 200, execution: "ran".to_string(), is_correct: false };
    });
    assert_eq!(wrong, "lookup n1 got a response that is not its own");
}

#[test]
fn a_lost_rejection_is_found() {
    for (end, is_lost) in [
        (RequestEnd::ConnectionReset, true),
        (RequestEnd::ConnectionClosed, true),
        (rejected("not-run"), false),
    ] {
        let add_upload = |observations: &mut Observations| {
            let kind = RequestKind::RejectedUpload;
            observations.requests.push(request("n3", kind, 3000, 3010, end.clone()));
        };
        let violations = violations_after(add_upload);
        assert_eq!(violations.contains("rejected-upload n3"), is_lost, "{end}: {violations}");
        for (fault, is_explained) in [(Fault::Proxy(1), true), (Fault::Server, false)] {
            let violations = violations_after(|observations| {
                add_upload(observations);
                let fault = FaultInterval { fault: fault.clone(), from: ms(2900), to: ms(3001) };
                observations.fault_intervals.push(fault);
            });
            assert_eq!(violations.is_empty(), is_explained || !is_lost, "{end}: {violations}");
        }
    }
}

#[test]
fn a_lost_request_in_flight_is_found() {
    let lose_request = |observations: &mut Observations| {
        observations.requests[0].end = RequestEnd::ConnectionClosed
    };
    assert!(violations_after(lose_request).contains("was executed, but ended as ConnectionClosed"));
    let reset = violations_after(|observations| {
        observations.requests[0].end = RequestEnd::ConnectionReset;
    });
    assert!(reset.contains("was executed, but ended as ConnectionReset"), "{reset}");
    // A proxy may take a client that has closed its sending side for one that has left.
    let left = violations_after(|observations| {
        observations.requests[0].end = RequestEnd::LeftByClient;
    });
    assert!(left.is_empty(), "{left}");
    for (fault, is_explained) in [
        (Fault::Proxy(1), true),
        (Fault::ProxyLink(1), true),
        (Fault::Server, true),
        (Fault::Proxy(2), false),
        (Fault::Core, false),
        (Fault::Platform, false),
    ] {
        let violations = violations_after(|observations| {
            lose_request(observations);
            let fault = fault.clone();
            observations.fault_intervals.push(FaultInterval { fault, from: ms(900), to: ms(1001) });
        });
        assert_eq!(violations.is_empty(), is_explained, "{fault:?}: {violations}");
    }
    let not_executed = violations_after(|observations| {
        lose_request(observations);
        observations.execution_counts.remove("n1");
    });
    assert_eq!(not_executed, "", "no server executed it");
}

#[test]
fn late_rejections_and_timeouts_are_found() {
    let late = violations_after(|observations| {
        observations.requests[0].end = rejected("not-run");
        observations.requests[0].ended_at = ms(6001);
    });
    assert!(late.contains("only after 5001 ms"), "{late}");
    let timed_out =
        violations_after(|observations| observations.requests[0].end = RequestEnd::Timeout);
    assert!(timed_out.contains("Timeout"), "{timed_out}");
}

#[test]
fn a_revision_regression_is_found() {
    let reading = |daemon: &str, at: u64, revision: u64| RevisionReading {
        daemon: daemon.to_string(),
        requested_at: ms(at),
        revision,
    };
    let back = violations_after(|observations| {
        observations.proxy_revisions =
            vec![reading("proxy-1", 1, 7), reading("proxy-2", 2, 5), reading("proxy-1", 3, 6)];
    });
    assert_eq!(back, "proxy-1 went back from revision 7 to 6");
    let restarted = violations_after(|observations| {
        observations.proxy_revisions =
            vec![reading("proxy-1", 1, 7), reading("proxy-1", 3, 0), reading("proxy-1", 4, 7)];
    });
    assert_eq!(restarted, "", "a restarted proxy has no active revision yet");
    let read = violations_after(|observations| {
        observations.acknowledged.push(AcknowledgedConfig { revision: 8, version: 8, at: ms(10) });
        observations.config_reads = vec![reading("registry-0", 9, 7), reading("registry-0", 11, 7)];
    });
    assert_eq!(read, "registry-0 returned revision 7 after 8 was acknowledged");
}

#[test]
fn instability_at_the_end_is_found() {
    assert!(
        violations_after(|observations| observations.stable_at = None)
            .starts_with("fleet is not stable")
    );
    let failed = violations_after(|observations| {
        let end = rejected("not-run");
        observations.requests.push(request("n3", RequestKind::Lookup, 60_500, 60_600, end));
    });
    assert!(failed.contains("n3 failed after the fleet was stable"), "{failed}");
}

#[test]
fn a_resource_leak_is_found() {
    let before = Usage { memory_kb: 9000, open_files: 40, threads: 5 };
    let grown = |after: Usage| {
        violations_after(|observations| {
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
        assert!(grown(after).starts_with("proxy-1 grew from"), "{after:?}");
    }
}

/// Guards against incident 0019: a proxy abandoned a request that a server was still executing, and sent an
/// error response of its own.
#[test]
fn a_request_abandoned_during_execution_is_found() {
    let violations_with = |change: fn(&mut Observations)| {
        violations_after(|observations| {
            observations.aborted_requests.insert("n1".to_string());
            observations.requests[0].end = RequestEnd::Response {
                status: 504,
                execution: "may-have-run".to_string(),
                is_correct: false,
            };
            change(observations);
        })
    };
    let expected = violations_with(|_| {});
    assert!(
        expected.contains("n1 of proxy 1 was abandoned while a server was executing it"),
        "{expected}"
    );
    // Faults of servers and of other proxies do not explain it.
    fn add_fault(observations: &mut Observations, fault: Fault) {
        observations.fault_intervals.push(FaultInterval { fault, from: ms(900), to: ms(1200) });
    }
    assert_eq!(violations_with(|observations| add_fault(observations, Fault::Server)), expected);
    assert_eq!(violations_with(|observations| add_fault(observations, Fault::Proxy(2))), expected);
    assert_eq!(violations_with(|observations| add_fault(observations, Fault::Proxy(1))), "");
    // A request may be abandoned at its deadline.
    assert_eq!(violations_with(|observations| observations.requests[0].ended_at = ms(5000)), "");
    // A server's attempt may be abandoned once another server has responded.
    assert_eq!(violations_with(|observations| observations.requests[0].end = served()), "");
}

/// A zone that is still drained after it was restored is a violation.
#[test]
fn a_zone_that_stays_drained_is_found() {
    let violation = violations_after(|observations| {
        observations.zones_left_drained = vec!["north-1".to_string()];
    });
    assert!(violation.contains("north-1 is still drained"), "{violation}");
}
