//! The serialized form of the messages between nodes, byte for byte: nodes of two versions communicate during
//! a rolling upgrade (design 5.1). The labels are those of the fixtures.

use std::fmt::Write as _;
use vanepath_cluster::wire::{
    CommittedConfig, DiskStatus, EndpointListRead, Handshake, ListReading, NodeDelta, NodeInfo,
    NodeStatus, NodeVersion, PlanVersion, ProxyObservations, PullRequest, PullResponse, Reply,
    Request, RevisionConfirmation, Role, SYSTEM, ServerObservation, ServerPhase, TrafficShiftPlan,
    WarmUp, decode, encode, name_hash,
};
use vanepath_config::endpoint_list::{EndpointList, EndpointListDelta, Server};

#[derive(Default)]
struct Frames {
    text: String,
}

impl Frames {
    /// Records a message's bytes, and checks that they decode to the same message.
    fn add<T>(&mut self, label: &str, message: &T)
    where
        T: serde::Serialize + serde::de::DeserializeOwned,
    {
        let bytes = encode(message);
        let decoded: T =
            decode(&bytes).unwrap_or_else(|error| panic!("cannot decode {label}: {error}"));
        assert_eq!(encode(&decoded), bytes, "{label}");
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        let _ = writeln!(self.text, "{label} {hex}");
    }
}

fn version() -> NodeVersion {
    NodeVersion { incarnation: 11, counter: 12, status_version: 13, observations_version: 14 }
}

fn node_info(role: Role) -> NodeInfo {
    NodeInfo {
        name: "one".to_string(),
        role,
        region: "north".to_string(),
        zone: "north-1".to_string(),
        address: "127.0.0.1:7000".parse().unwrap(),
        cluster_address: "127.0.0.1:7001".parse().unwrap(),
    }
}

fn status() -> NodeStatus {
    NodeStatus {
        ready: true,
        draining: false,
        revision: 21,
        empty_disk: false,
        synced: true,
        disk: Some(DiskStatus { incarnation: 31, may_bootstrap: true, slot: Some(2) }),
        hears_majority: true,
    }
}

fn server_observation() -> ServerObservation {
    ServerObservation {
        server: "server-1".to_string(),
        phase: ServerPhase::Healthy,
        age_ms: 41,
        in_contact_ms: 42,
        load_milli: 43,
        connection_refused: true,
    }
}

fn observations() -> ProxyObservations {
    ProxyObservations {
        servers: vec![server_observation()],
        in_flight: vec![1, 2],
        queued: vec![3, 4],
        request_rates: [("orders".to_string(), 51)].into(),
    }
}

fn bare_delta() -> NodeDelta {
    let name = "one".to_string();
    NodeDelta { name, version: version(), age_ms: 61, info: None, status: None, observations: None }
}

fn full_delta() -> NodeDelta {
    NodeDelta {
        info: Some(node_info(Role::Proxy)),
        status: Some(status()),
        observations: Some(observations()),
        ..bare_delta()
    }
}

fn config() -> CommittedConfig {
    CommittedConfig {
        revision: 71,
        config_revision: 72,
        config_version: 73,
        document: b"setup".to_vec(),
        drained_zones: ["north-1".to_string()].into(),
        extra_drain_orders: [("north-1".to_string(), 2)].into(),
    }
}

fn plan() -> TrafficShiftPlan {
    TrafficShiftPlan {
        epoch: 81,
        counter: 82,
        leader: "registry-0".to_string(),
        revision: 83,
        shifted: [(
            "orders".to_string(),
            [("north-1".to_string(), [("north-2".to_string(), 250)].into())].into(),
        )]
        .into(),
        warming_up: [
            ("server-1".to_string(), WarmUp { age_ms: 84, connection_refused: true }),
            ("server-2".to_string(), WarmUp { age_ms: 85, connection_refused: false }),
        ]
        .into(),
        unreachable: ["server-3".to_string()].into(),
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

fn endpoint_list() -> EndpointList {
    EndpointList { revision: 91, servers: vec![server()] }
}

fn endpoint_list_delta() -> EndpointListDelta {
    EndpointListDelta {
        base: 90,
        revision: 91,
        changed: vec![server()],
        removed: vec!["server-7".to_string()],
        digest: 92,
    }
}

fn bare_pull() -> PullRequest {
    PullRequest {
        known_versions: None,
        config_revision: 101,
        endpoint_list_revision: 102,
        plan_version: PlanVersion { epoch: 103, counter: 104 },
        sender: bare_delta(),
        wait_ms: 700,
        wants_observations: false,
        is_leaf: true,
        unreachable_digest: 0,
        list_read_age_ms: None,
    }
}

fn full_pull() -> PullRequest {
    PullRequest {
        known_versions: Some(vec![
            (name_hash("one"), version()),
            (name_hash("two"), NodeVersion::default()),
        ]),
        sender: full_delta(),
        wants_observations: true,
        is_leaf: false,
        unreachable_digest: 105,
        list_read_age_ms: Some(106),
        ..bare_pull()
    }
}

#[test]
fn requests_keep_their_bytes() {
    let mut frames = Frames::default();
    let (system, fleet, name) = (SYSTEM.to_string(), "fleet".to_string(), "one".to_string());
    frames.add("greeting", &Handshake { system, fleet, name });
    frames.add("pull-bare", &Request::Pull(bare_pull()));
    frames.add("pull-full", &Request::Pull(full_pull()));
    frames.add("store", &Request::Store(vec![1, 2, 3].into()));
    frames.add("floor", &Request::ReadIndex);
    expect_test::expect_file!["fixtures/requests.txt"].assert_eq(&frames.text);
}

#[test]
fn replies_keep_their_bytes() {
    let mut frames = Frames::default();
    frames.add("news-bare", &Reply::Pull(PullResponse::default()));
    let full = PullResponse {
        nodes: vec![bare_delta(), full_delta()],
        config: Some(config()),
        endpoint_list: Some(endpoint_list()),
        endpoint_list_delta: Some(endpoint_list_delta()),
        list_read: Some(EndpointListRead { revision: 91, age_ms: 5 }),
        list_reading: None,
        plan: Some(plan()),
        unreachable: Some(vec![name_hash("two")]),
        resend_versions: true,
        read_index: Some(70),
        confirmation: None,
    };
    frames.add("news-full", &Reply::Pull(full));
    for (name, age_ms) in [("news-confirmed", 6), ("news-confirmed-afterwards", -6)] {
        let confirmation = Some(RevisionConfirmation { revision: 71, age_ms });
        let reply = PullResponse { confirmation, ..PullResponse::default() };
        frames.add(name, &Reply::Pull(reply));
    }
    for (name, reading) in
        [("news-able", ListReading::Able(120)), ("news-unable", ListReading::Unable)]
    {
        let reply = PullResponse { list_reading: Some(reading), ..PullResponse::default() };
        frames.add(name, &Reply::Pull(reply));
    }
    frames.add("store", &Reply::Store(vec![1, 2, 3].into()));
    frames.add("no-duty", &Reply::Unsupported);
    frames.add("floor-none", &Reply::ReadIndex(None));
    frames.add("floor", &Reply::ReadIndex(Some(12)));
    expect_test::expect_file!["fixtures/replies.txt"].assert_eq(&frames.text);
}

/// The parts of messages by themselves, with and without their optional fields.
#[test]
fn parts_keep_their_bytes() {
    let mut frames = Frames::default();
    for role in [Role::Proxy, Role::Registry, Role::Store] {
        frames.add(&format!("card-{role}"), &node_info(role));
    }
    frames.add("report-bare", &NodeStatus::default());
    frames.add("report-full", &status());
    frames.add("disk-without-seat", &DiskStatus::default());
    let phases = [
        ServerPhase::Unknown,
        ServerPhase::WarmingUp,
        ServerPhase::SlowStart,
        ServerPhase::Healthy,
        ServerPhase::Suspect,
    ];
    for (number, phase) in phases.into_iter().enumerate() {
        frames
            .add(&format!("sight-{number}"), &ServerObservation { phase, ..server_observation() });
    }
    frames.add("detail-bare", &ProxyObservations::default());
    frames.add("detail-full", &observations());
    frames.add("word-bare", &CommittedConfig::default());
    frames.add("word-full", &config());
    frames.add("plan-bare", &TrafficShiftPlan::default());
    frames.add("plan-full", &plan());
    frames.add("mark", &version());
    frames.add("delta-bare", &bare_delta());
    frames.add("delta-full", &full_delta());
    frames.add("list", &endpoint_list());
    frames.add("list-delta", &endpoint_list_delta());
    frames.add("list-read", &EndpointListRead { revision: 91, age_ms: 5 });
    expect_test::expect_file!["fixtures/parts.txt"].assert_eq(&frames.text);
}
