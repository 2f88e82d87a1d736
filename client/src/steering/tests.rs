use super::{Pathway, Steering, SteeringResponse, SteeringRule};
use std::net::SocketAddr;
use std::time::Duration;

fn response(revision: u64) -> SteeringResponse {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    SteeringResponse {
        ttl: Duration::from_secs(2),
        reload_uri: format!("/v1/steer?state={revision}"),
        revision,
        registries: Vec::new(),
        priority: vec!["a".into(), "b".into()],
        pathways: vec![
            Pathway { id: "a".into(), addresses: vec![address(1), address(2)] },
            Pathway { id: "b".into(), addresses: vec![address(3)] },
        ],
        rules: vec![SteeringRule {
            name: "r".into(),
            methods: vec!["POST".into()],
            host: None,
            path_prefix: "/f".into(),
            is_at_most_once: true,
            priority: vec!["b".into(), "a".into()],
        }],
    }
}

fn ports(steering: &mut Steering, now_s: u64, method: &str, path: &str) -> Vec<u16> {
    let order = steering.attempt_order(Duration::from_secs(now_s), method, "h", path);
    order.iter().map(|address| address.port()).collect()
}

/// The proxies that a response with status 421 names are tried next, except those tried already and those
/// that the response in use does not list.
#[test]
fn a_redirected_request_goes_to_the_named_proxies_next() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let mut steering = Steering::new(vec![address(8)], "/v1/steer".into(), 0);
    let now = Duration::from_secs(1);
    steering.start_poll(now);
    steering.finish_poll(now, Some(response(5)));
    let ports =
        |order: &[SocketAddr]| -> Vec<u16> { order.iter().map(|address| address.port()).collect() };
    let mut order = vec![address(1), address(2), address(3)];
    steering.redirect(now, &mut order, 1, &[address(3), address(1), address(77)]);
    assert_eq!(ports(&order), [1, 3]);
    assert!(
        steering.start_poll(now).is_some(),
        "the steering response is outdated, so a poll is due"
    );
    // If no untried address is named, the rest of the order is still tried.
    let mut order = vec![address(1), address(2), address(3)];
    steering.redirect(now, &mut order, 1, &[address(1)]);
    assert_eq!(ports(&order), [1, 2, 3]);
}

#[test]
fn steering_follows_responses_penalties_and_suspicion() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let registries = vec![address(8), address(9)];
    let mut steering = Steering::new(registries, "/v1/steer".into(), 0);
    let now = Duration::from_secs;
    assert_eq!(steering.start_poll(now(0)), Some((address(8), "/v1/steer".into())));
    assert_eq!(steering.start_poll(now(0)), None, "only one poll at a time");
    // The next registry is polled after one that does not respond.
    steering.finish_poll(now(0), None);
    assert_eq!(steering.start_poll(now(1)), Some((address(9), "/v1/steer".into())));
    steering.finish_poll(now(1), Some(response(5)));
    assert_eq!(ports(&mut steering, 1, "GET", "/x"), [1, 2, 3]);
    assert_eq!(ports(&mut steering, 1, "POST", "/f/1")[0], 3);
    assert!(steering.is_at_most_once("POST", "h", "/f/1"));
    assert!(steering.is_listed(&address(3)) && !steering.is_listed(&address(4)));
    // Requests avoid a penalized address until its penalty ends: they go to the next address of the pathway,
    // then to the next pathway.
    steering.penalize(now(1), address(1));
    assert_eq!(ports(&mut steering, 1, "GET", "/x"), [2, 3, 1]);
    steering.penalize(now(1), address(2));
    assert_eq!(ports(&mut steering, 1, "GET", "/x")[0], 3);
    assert_eq!(steering.switches, 1);
    assert_eq!(ports(&mut steering, 5, "GET", "/x")[0], 1);
    // The poll sends the state token, and a response of an older revision is ignored.
    assert_eq!(steering.start_poll(now(5)).unwrap().1, "/v1/steer?state=5");
    steering.finish_poll(now(5), Some(response(4)));
    assert_eq!(steering.response().unwrap().revision, 5);
    // An address that answers no request within the time-out is suspect until it answers one.
    steering.request_started(now(5), address(1));
    assert_eq!(ports(&mut steering, 5, "GET", "/x")[0], 1);
    assert_eq!(ports(&mut steering, 6, "GET", "/x"), [2, 3, 1]);
    steering.request_started(now(6), address(1));
    steering.request_finished(now(6), address(1), true);
    assert_eq!(ports(&mut steering, 6, "GET", "/x")[0], 1);
    steering.request_finished(now(6), address(1), true);
    // An at-most-once request reuses a connection only shortly after an answer, an idempotent one always.
    assert!(steering.may_reuse_connection(now(6), &address(1), true));
    assert!(!steering.may_reuse_connection(now(7), &address(1), true));
    assert!(steering.may_reuse_connection(now(7), &address(1), false));
    assert!(!steering.may_reuse_connection(now(6), &address(3), true), "it has not answered yet");
    steering.request_finished(now(6), address(1), false);
    assert!(!steering.may_reuse_connection(now(6), &address(1), true), "its last request failed");
    // The last response stays in use while polls fail.
    steering.finish_poll(now(6), None);
    assert_eq!(ports(&mut steering, 600, "GET", "/x")[0], 1);
}

/// A response that every proxy would give is not retried; one for which another proxy may have a better
/// result is retried while the retry budget lasts.
#[test]
fn only_retries_take_from_the_retry_budget() {
    use vanepath_config::ExecutionStatus::{MayHaveRun, NotRun, Ran};
    let mut steering = Steering::new(Vec::new(), String::new(), 0);
    let now = Duration::from_secs(1);
    for _ in 0..100 {
        assert!(!steering.should_retry(now, 200, Ran) && !steering.should_retry(now, 404, NotRun));
        assert!(!steering.should_retry(now, 500, MayHaveRun));
        assert!(steering.should_retry(now, 421, NotRun), "a redirection takes no token");
    }
    let mut retries = || (0..10).filter(|_| steering.should_retry(now, 503, NotRun)).count();
    assert_eq!((retries(), retries()), (2, 0));
}

/// A suspect proxy that accepts no connections is abandoned at once. Abandoning one that does takes a token
/// from the retry budget. One that has answered since is not abandoned.
#[test]
fn abandoning_a_reachable_proxy_takes_a_retry() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut steering = Steering::new(Vec::new(), String::new(), 0);
    let now = Duration::from_secs;
    steering.request_started(now(1), address);
    assert!(!steering.may_abandon(now(1), &address, false), "the time-out has not passed yet");
    let mut abandoned = |accepts_connections: bool| {
        (0..10).filter(|_| steering.may_abandon(now(4), &address, accepts_connections)).count()
    };
    assert_eq!((abandoned(true), abandoned(false)), (2, 10));
    steering.request_started(now(4), address);
    steering.request_finished(now(5), address, true);
    assert!(!steering.may_abandon(now(5), &address, false));
}
