use super::{HintWriter, Hints};
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::{node::ClusterView, wire};

fn view(counter: u64, unreachable: &str) -> ClusterView {
    let node_info = |port: u16| {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
        wire::NodeInfo {
            name: format!("d{port}"),
            role: wire::Role::Proxy,
            region: "a".to_string(),
            zone: "a1".to_string(),
            address,
            cluster_address: address,
        }
    };
    let plan = wire::TrafficShiftPlan {
        epoch: 1,
        counter,
        unreachable: [unreachable.to_string()].into(),
        ..Default::default()
    };
    let live = (1..4).map(|port| (node_info(port), wire::NodeStatus::default())).collect();
    ClusterView { live, plan: Arc::new(plan), is_fresh: true, ..ClusterView::default() }
}

/// Hints are written only after a change, at most `MAX_WRITES_PER_MINUTE` times a minute, and keep the known
/// addresses while no other node is live.
#[test]
fn hint_writes_are_rate_limited_and_keep_known_addresses() {
    let mut hint_writer = HintWriter::new(Hints::default());
    let first =
        hint_writer.step(Duration::ZERO, &view(1, "s1")).expect("the first hints are written");
    assert_eq!(first.nodes.len(), 2);
    assert_eq!(hint_writer.step(Duration::from_secs(1), &view(1, "s1")), None);
    let mut written = 0;
    for step in 0..600_u64 {
        let now = Duration::from_millis(1000 + 100 * step);
        written +=
            usize::from(hint_writer.step(now, &view(2 + step, &format!("s{step}"))).is_some());
    }
    assert!((10..=12).contains(&written), "{written} writes in a minute");
    let mut isolated_view = view(9000, "s9");
    isolated_view.live.truncate(1);
    let last = hint_writer
        .step(Duration::from_secs(200), &isolated_view)
        .expect("a changed plan is written");
    assert_eq!((last.nodes.len(), last.plan.counter), (2, 9000));
}
