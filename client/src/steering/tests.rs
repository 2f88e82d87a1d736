use super::{RuleOrder, Steering, SteeringResponse};
use std::time::Duration;

fn receipt(revision: u64) -> SteeringResponse {
    let address = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    SteeringResponse {
        ttl: Duration::from_secs(2),
        reload: format!("/v1/steer?state={revision}"),
        revision,
        directories: Vec::new(),
        priority: vec!["a".into(), "b".into()],
        places: vec![("a".into(), vec![address(1), address(2)]), ("b".into(), vec![address(3)])],
        rules: vec![RuleOrder {
            name: "r".into(),
            methods: vec!["POST".into()],
            host: None,
            path_prefix: "/f".into(),
            once: true,
            places: vec!["b".into(), "a".into()],
        }],
    }
}

fn ports(steering: &mut Steering, now_s: u64, method: &str, path: &str) -> Vec<u16> {
    let order = steering.order(Duration::from_secs(now_s), method, "h", path);
    order.iter().map(|address| address.port()).collect()
}

/// What a 421 names comes next, each address once, and only what the receipt in force lists.
#[test]
fn who_is_sent_elsewhere_goes_there_next() {
    let address = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let mut steering = Steering::new(vec![address(8)], "/v1/steer".into(), 0);
    let now = Duration::from_secs(1);
    steering.start_poll(now);
    steering.polled(now, Some(receipt(5)));
    let ports = |order: &[std::net::SocketAddr]| -> Vec<u16> {
        order.iter().map(|address| address.port()).collect()
    };
    let mut order = vec![address(1), address(2), address(3)];
    steering.misplaced(now, &mut order, 1, &[address(3), address(1), address(77)]);
    assert_eq!(ports(&order), [1, 3]);
    assert!(steering.start_poll(now).is_some(), "its receipt is an old one");
    // Nobody new is named: the rest of the order is tried all the same.
    let mut order = vec![address(1), address(2), address(3)];
    steering.misplaced(now, &mut order, 1, &[address(1)]);
    assert_eq!(ports(&order), [1, 2, 3]);
}

#[test]
fn the_routine_of_the_source() {
    let directory = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let directories = vec![directory(8), directory(9)];
    let mut steering = Steering::new(directories, "/v1/steer".into(), 0);
    let now = Duration::from_secs;
    assert_eq!(steering.start_poll(now(0)), Some((directory(8), "/v1/steer".into())));
    assert_eq!(steering.start_poll(now(0)), None, "one poll at a time");
    // A directory that does not reply: the next one is asked.
    steering.polled(now(0), None);
    assert_eq!(steering.start_poll(now(1)), Some((directory(9), "/v1/steer".into())));
    steering.polled(now(1), Some(receipt(5)));
    assert_eq!(ports(&mut steering, 1, "GET", "/x"), [1, 2, 3]);
    assert_eq!(ports(&mut steering, 1, "POST", "/f/1")[0], 3);
    assert!(steering.is_once("POST", "h", "/f/1"));
    assert!(steering.is_listed(&directory(3)) && !steering.is_listed(&directory(4)));
    // Penalised: the next of the place, then the next place, and back after a while.
    steering.penalise(now(1), directory(1));
    assert_eq!(ports(&mut steering, 1, "GET", "/x"), [2, 3, 1]);
    steering.penalise(now(1), directory(2));
    assert_eq!(ports(&mut steering, 1, "GET", "/x")[0], 3);
    assert_eq!(steering.switches, 1);
    assert_eq!(ports(&mut steering, 5, "GET", "/x")[0], 1);
    // The echo goes out; an older receipt is not taken; with no reply the last one is kept.
    assert_eq!(steering.start_poll(now(5)).unwrap().1, "/v1/steer?state=5");
    steering.polled(now(5), Some(receipt(4)));
    assert_eq!(steering.receipt().unwrap().revision, 5);
    // One that owes a reply for too long is doubted until it gives a sign.
    steering.sent(now(5), directory(1));
    assert_eq!(ports(&mut steering, 5, "GET", "/x")[0], 1);
    assert_eq!(ports(&mut steering, 6, "GET", "/x"), [2, 3, 1]);
    steering.sent(now(6), directory(1));
    steering.heard(now(6), directory(1), true);
    assert_eq!(ports(&mut steering, 6, "GET", "/x")[0], 1);
    steering.heard(now(6), directory(1), true);
    // A filing goes over an open connection only close after a sign, a lookup always.
    assert!(steering.may_use_open(now(6), &directory(1), true));
    assert!(!steering.may_use_open(now(7), &directory(1), true));
    assert!(steering.may_use_open(now(7), &directory(1), false));
    assert!(!steering.may_use_open(now(6), &directory(3), true), "never heard of");
    steering.heard(now(6), directory(1), false);
    assert!(!steering.may_use_open(now(6), &directory(1), true), "it broke");
    steering.polled(now(6), None);
    assert_eq!(ports(&mut steering, 600, "GET", "/x")[0], 1);
}

/// What no other place would answer otherwise takes no further try; who can be helped elsewhere goes on
/// while tries are left.
#[test]
fn only_what_goes_on_takes_a_further_try() {
    use vanepath_config::ExecutionStatus::{MayHaveRun, NotRun, Ran};
    let mut steering = Steering::new(Vec::new(), String::new(), 0);
    let now = Duration::from_secs(1);
    for _ in 0..100 {
        assert!(!steering.goes_on(now, 200, Ran) && !steering.goes_on(now, 404, NotRun));
        assert!(!steering.goes_on(now, 500, MayHaveRun));
        assert!(steering.goes_on(now, 421, NotRun), "only sent elsewhere");
    }
    let mut further = || (0..10).filter(|_| steering.goes_on(now, 503, NotRun)).count();
    assert_eq!((further(), further()), (2, 0));
}

/// Who doubts a proxy knocks there: one that is gone is left at once, one that is there takes a further
/// try, and one that gave a sign meanwhile is not left at all.
#[test]
fn who_leaves_a_proxy_that_is_there_takes_a_further_try() {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let mut steering = Steering::new(Vec::new(), String::new(), 0);
    let now = Duration::from_secs;
    steering.sent(now(1), address);
    assert!(!steering.may_leave(now(1), &address, false), "it has not been silent for long");
    let mut left =
        |is_there: bool| (0..10).filter(|_| steering.may_leave(now(4), &address, is_there)).count();
    assert_eq!((left(true), left(false)), (2, 10));
    steering.sent(now(4), address);
    steering.heard(now(5), address, true);
    assert!(!steering.may_leave(now(5), &address, false));
}
