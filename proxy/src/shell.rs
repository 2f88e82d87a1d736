//! The proxy as a daemon: the loops that keep the servers and classes as the news wants them,
//! probes, readiness and the way to stop (design 8.8).

use crate::forward::{Counter, Proxy};
use crate::health::{Failure, ServerPhase};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use vanepath_cluster::{gossip, node, wire};

/// Runs a proxy until it is told to stop.
pub async fn run(settings: vanepath_config::settings::Settings) -> Result<(), miette::Report> {
    let listener = node::bind("listen", settings.listen).await?;
    let grace = settings.shutdown_grace;
    let daemon = node::Node::start(settings, None).await?;
    let proxy = Arc::new(Proxy::new(daemon.clone()));
    let keeper = xtra::spawn_tokio(
        Keeper {
            proxy: proxy.clone(),
            revision: crate::endpoints::TableRevision::new(u64::MAX, u64::MAX),
            plan: None,
            paces: crate::endpoints::ProbeSchedule::default(),
            telling: crate::endpoints::ObservationReporter::default(),
            parted: None,
            part_at: Duration::ZERO,
        },
        xtra::Mailbox::unbounded(),
    );
    let mut view = daemon.view.clone();
    tokio::spawn(async move {
        let mut pulse = tokio::time::interval(Duration::from_millis(50));
        pulse.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            // News is in force at once, and not with the next beat.
            tokio::select! {
                _ = pulse.tick() => {}
                Ok(()) = view.changed() => {}
            }
            if keeper.send(Pulse).await.is_err() {
                return;
            }
        }
    });

    // Clients are still on their way when the order to stop comes: they are served for as long
    // as a receipt of the directory may hold, and told to come back elsewhere.
    let (close_sender, close) = tokio::sync::watch::channel(false);
    let mut stop = daemon.stop.clone();
    let leaver = proxy.clone();
    let linger = Duration::from_millis(3500).min(grace / 2);
    tokio::spawn(async move {
        let _ = stop.wait_for(|stop| *stop).await;
        leaver.is_leaving.store(true, Ordering::Relaxed);
        tokio::time::sleep(linger).await;
        close_sender.send_replace(true);
        std::future::pending::<()>().await;
    });
    let http = node::HttpSettings {
        header_timeout: Duration::from_secs(30),
        preserve_header_case: true,
        max_buffer_bytes: 64 << 10,
    };
    let has_pages = proxy.daemon.settings.admin_listen.is_some();
    if let Some(address) = proxy.daemon.settings.admin_listen {
        let listener = node::bind("pagesListen", address).await?;
        let proxy = proxy.clone();
        let pages = move |request: hyper::Request<hyper::body::Incoming>| {
            let receipt = answer_own(&proxy, request.uri().path());
            async move { receipt }
        };
        // Until the process ends: who asks whether it is ready is told so to the last.
        let (keeper, never) = tokio::sync::watch::channel(false);
        let http = node::HttpSettings::default();
        tokio::spawn(async move {
            let _keeper = keeper;
            node::serve_http(listener, never, http, pages).await;
        });
    }
    let served = proxy.clone();
    let serve = move |stream, stop| serve(served.clone(), stream, stop, http, has_pages);
    let mut stop = daemon.stop.clone();
    let cut = async {
        let _ = stop.wait_for(|stop| *stop).await;
        tokio::time::sleep(grace).await;
    };
    tokio::select! {
        _ = node::accept(listener, close, serve) => log::info!("stopped"),
        _ = cut => log::warn!("stopped at the end of the grace period with work in hand"),
    }
    Ok(())
}

/// One client's connection, read ahead of the library (design 8.9).
async fn serve(
    proxy: Arc<Proxy>,
    stream: tokio::net::TcpStream,
    stop: tokio::sync::watch::Receiver<bool>,
    http: node::HttpSettings,
    has_pages: bool,
) {
    let ahead = crate::pipelining::Pipeline::new(stream);
    let (beginner, handed) = (proxy.clone(), ahead.clone());
    let io = crate::pipelining::Io {
        ahead: ahead.clone(),
        begin: Box::new(move |head| crate::forward::begin(&beginner, head)),
    };
    let server = proxy.clone();
    let service = hyper::service::service_fn(move |request| {
        let (proxy, ahead) = (server.clone(), handed.clone());
        async move {
            let answer = take(&proxy, &ahead, request, has_pages).await;
            let watch = |body| {
                http_body_util::BodyExt::boxed_unsync(crate::pipelining::Watched { body, ahead })
            };
            Ok::<_, std::convert::Infallible>(answer.map(watch))
        }
    });
    let connection = http.builder().serve_connection(hyper_util::rt::TokioIo::new(io), service);
    tokio::pin!(connection);
    let mut stopped = stop.clone();
    let stopping = async move { stopped.wait_for(|stop| *stop).await.is_ok() };
    tokio::pin!(stopping);
    let mut is_stopping = false;
    std::future::poll_fn(|context| {
        if !is_stopping && stopping.as_mut().poll(context).is_ready() {
            is_stopping = true;
            connection.as_mut().graceful_shutdown();
        }
        let begin = |head: &crate::pipelining::Head| crate::forward::begin(&proxy, head);
        ahead.poll(context, &begin);
        let polled = connection.as_mut().poll(context).map(|_| ());
        if polled.is_pending() {
            // The library may have taken a request just now: what is behind it is awaited too.
            ahead.poll(context, &begin);
        }
        polled
    })
    .await;
}

/// One request as the library gives it.
async fn take(
    proxy: &Arc<Proxy>,
    ahead: &crate::pipelining::Pipeline,
    request: hyper::Request<hyper::body::Incoming>,
    has_pages: bool,
) -> hyper::Response<node::Body> {
    let target = request.uri().path_and_query().map_or("", |target| target.as_str());
    let begun = ahead.take(request.method().as_str(), target);
    let own = request.uri().path().strip_prefix(crate::forward::OWN_PREFIX);
    if let Some(path) = own.filter(|_| !has_pages) {
        return answer_own(proxy, &format!("/{path}"));
    }
    if let Some(begun) = begun
        && let Ok(answer) = (Wanted { task: begun }).await
    {
        return answer;
    }
    let boxed = |body: hyper::body::Incoming| {
        use http_body_util::BodyExt;
        body.map_err(node::BodyError::from).boxed_unsync()
    };
    crate::forward::carry(proxy.clone(), request.map(boxed)).await
}

/// A request that was begun before its turn, and ends when nobody waits for it any more.
struct Wanted {
    task: tokio::task::JoinHandle<crate::pipelining::Answer>,
}

impl Future for Wanted {
    type Output = Result<crate::pipelining::Answer, tokio::task::JoinError>;

    fn poll(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Self::Output> {
        std::pin::Pin::new(&mut self.task).poll(context)
    }
}

impl Drop for Wanted {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Brings servers, classes and readiness to what the news wants, pulse by pulse.
#[derive(xtra::Actor)]
struct Keeper {
    proxy: Arc<Proxy>,
    revision: crate::endpoints::TableRevision,
    /// The plan and the revision for which it was heard last.
    plan: Option<(wire::PlanVersion, crate::endpoints::TableRevision)>,
    paces: crate::endpoints::ProbeSchedule,
    telling: crate::endpoints::ObservationReporter,
    /// For which revision and how many live daemons its part was made, and when it is made anew.
    parted: Option<(crate::endpoints::TableRevision, usize)>,
    part_at: Duration,
}

const PART_EVERY: Duration = Duration::from_secs(2);

struct Pulse;

impl xtra::Handler<Pulse> for Keeper {
    type Return = ();

    async fn handle(&mut self, _: Pulse, _: &mut xtra::Context<Self>) {
        let view = self.proxy.daemon.table.load_full();
        let now = self.proxy.daemon.clock.now();
        self.adopt(now, &view);
        self.pulse_servers(now, &view);
        self.tell(now, &view).await;
    }
}

impl Keeper {
    fn adopt(&mut self, now: Duration, view: &node::ClusterView) {
        let revision = crate::endpoints::revision_of(view);
        if revision == self.revision {
            return;
        }
        if self.revision.config != revision.config {
            let mut classes = self.proxy.classes.lock().expect("no panic under this lock");
            classes.adopt(&view.config);
            let woken = classes.wake();
            drop(classes);
            self.proxy.wake(woken);
            let mut request_counts =
                self.proxy.request_counts.lock().expect("no panic under this lock");
            request_counts.adopt(view.config.services.iter().map(|one| one.name.as_str()));
        }
        self.revision = revision;
        self.paces.renew();
        let own = self.proxy.daemon.settings.name.as_str();
        let notes = self.proxy.servers.update(
            now,
            revision,
            &view.config,
            &view.endpoints,
            |server, services| crate::endpoints::slow_start_rate(view, own, server, services),
        );
        if let Some(read_at) = view.endpoint_list_read_at.filter(|_| !notes.is_empty()) {
            let age_ms = now.saturating_sub(read_at).as_millis();
            log::info!("platform list {}, read {age_ms} ms ago", view.endpoints.revision);
        }
        for note in notes {
            log::info!("{note}");
        }
    }

    fn pulse_servers(&mut self, now: Duration, view: &node::ClusterView) {
        let proxy = &self.proxy;
        proxy.live_proxies.store(crate::endpoints::live_proxies(view), Ordering::Relaxed);
        let table = proxy.servers.table.load_full();
        let plan = view.plan.version();
        if self.plan != Some((plan, self.revision)) {
            self.plan = Some((plan, self.revision));
            proxy.servers.apply_plan(now, &view.plan);
        }
        let live = view.live.len();
        if self.parted != Some((self.revision, live)) || now >= self.part_at {
            self.parted = Some((self.revision, live));
            self.part_at = now + PART_EVERY;
            proxy.servers.assign_subset(view, &proxy.daemon.info);
        }
        self.paces.pulse(now, view, &proxy.daemon.info, &table);
        let pulsed = proxy.servers.pulse(now, &self.paces);
        if pulsed.has_changes {
            proxy.is_news.store(true, Ordering::Relaxed);
        }
        for note in pulsed.log_lines {
            log::info!("{note}");
        }
        for index in pulsed.probes {
            let entry = table.endpoints[index].clone();
            let service = table.config.services[entry.services[0]].clone();
            tokio::spawn(probe(proxy.clone(), entry, service));
        }
    }

    /// Tells siblings what is in force here, and registries what this proxy sees.
    async fn tell(&mut self, now: Duration, view: &node::ClusterView) {
        let proxy = &self.proxy;
        let is_leaving = proxy.is_leaving.load(Ordering::Relaxed);
        let ready = proxy.servers.is_ready(now, view.is_fresh, self.revision) && !is_leaving;
        if proxy.is_ready.swap(ready, Ordering::Relaxed) != ready {
            log::info!("{}", if ready { "ready" } else { "not ready" });
        }
        let (leaving, revision) = (is_leaving, view.committed.revision);
        let report =
            wire::NodeStatus { ready, draining: leaving, revision, ..wire::NodeStatus::default() };
        proxy.daemon.publish_status(report).await;
        if !self.telling.is_due(now, proxy.is_news.load(Ordering::Relaxed)) {
            return;
        }
        proxy.is_news.store(false, Ordering::Relaxed);
        let sights = proxy.servers.observations(now);
        let services = &proxy.servers.table.load().config.services;
        if services.iter().all(|service| service.probes_suspects_only) {
            // Nobody plans by told demand where servers are judged by traffic.
            let detail =
                wire::ProxyObservations { servers: sights, ..wire::ProxyObservations::default() };
            let _ = proxy
                .daemon
                .gossip
                .send(node::HandleEvent(gossip::Event::ObservationsChanged(detail)))
                .await;
            return;
        }
        let counts = proxy.classes.lock().expect("no panic under this lock").counts();
        let detail = wire::ProxyObservations {
            servers: sights,
            in_flight: counts.iter().map(|one| one.2 as u32).collect(),
            queued: counts.iter().map(|one| one.3 as u32).collect(),
            request_rates: proxy.request_counts.lock().expect("no panic under this lock").tell(now),
        };
        let _ = proxy
            .daemon
            .gossip
            .send(node::HandleEvent(gossip::Event::ObservationsChanged(detail)))
            .await;
    }
}

/// A liveness check, over a resting connection where one is there.
async fn probe(
    proxy: Arc<Proxy>,
    entry: crate::endpoints::Endpoint,
    service: vanepath_config::model::Service,
) {
    proxy.tally.increment(Counter::Probes);
    let dialect = proxy.daemon.settings.wire_format;
    let mut kept_for = crate::endpoints::MAX_IDLE_TIME;
    let now = proxy.daemon.clock.now();
    let fit = |idle: &crate::endpoints::IdleConnection<crate::connector::Sender>| {
        idle.connection.is_ready()
    };
    let mut outcome = None;
    let mut is_used = false;
    if let Some(idle) = proxy.servers.take_idle(now, entry.slot, fit) {
        is_used = idle.is_used;
        kept_for = idle.keep_alive;
        let mut sender = idle.connection;
        match crate::connector::greet(dialect, &mut sender, &entry, &service).await {
            Ok(greeted) => outcome = Some(Ok((sender, greeted))),
            // Closed while it rested, which says nothing of the server.
            Err(Failure::Broken) => {}
            Err(failure) => outcome = Some(Err(failure)),
        }
    }
    let outcome = match outcome {
        Some(outcome) => outcome,
        None => {
            is_used = false;
            let untidy = proxy.untidy(entry.slot, &entry.server.id);
            crate::connector::connect(dialect, &entry, &service, untidy).await
        }
    };
    let now = proxy.daemon.clock.now();
    match outcome {
        Ok((connection, greeted)) => {
            proxy.note_good(entry.slot, &entry.server.id);
            if let Some(demand_milli) = greeted.demand_milli {
                proxy.servers.observe_load(now, entry.slot, demand_milli);
            }
            let moved = proxy.servers.update_health(entry.slot, |liveness| {
                if greeted.says_cold && liveness.phase == ServerPhase::Healthy {
                    liveness.restart_slow_start(now, Duration::ZERO);
                }
            });
            if let Some(phase) = moved {
                log::info!("server {} says that it is {phase}", entry.server.id);
            }
            let idle = crate::endpoints::IdleConnection {
                connection,
                verified_at: now,
                idle_since: now,
                keep_alive: kept_for,
                is_used,
            };
            proxy.servers.put_idle(entry.slot, idle);
        }
        Err(failure) => {
            proxy.tally.increment(Counter::ProbesFailed);
            proxy.note_bad(entry.slot, &entry.server.id, failure);
        }
    }
    proxy.servers.with(entry.slot, |quick| quick.probing = false);
}

fn answer_own(proxy: &Proxy, path: &str) -> hyper::Response<node::Body> {
    let ready = proxy.is_ready.load(Ordering::Relaxed);
    if let Some(receipt) =
        node::common_pages(&proxy.daemon, path, ready, |all| proxy.tally.write_json(all))
    {
        return receipt;
    }
    if path != "/v1/status" {
        let error = jzon::object! { "error": "no such path" };
        return node::json_response(hyper::StatusCode::NOT_FOUND, &error);
    }
    let view = proxy.daemon.table.load();
    let now = proxy.daemon.clock.now();
    let table = proxy.servers.table.load();
    let servers: Vec<jzon::JsonValue> = table
        .endpoints
        .iter()
        .filter_map(|entry| {
            proxy.servers.with(entry.slot, |quick| {
                let phase: &'static str = quick.health.phase.into();
                let why = if entry.server.draining {
                    "no work: the platform says that it is leaving"
                } else if view.committed.drained_zones.contains(&entry.server.zone) {
                    "no work: its zone is emptied"
                } else if entry.services.is_empty() {
                    "no work: no service selects it"
                } else {
                    match quick.health.phase {
                        ServerPhase::Unknown => "not yet heard of",
                        ServerPhase::WarmingUp => "just back: at most its modest rate",
                        ServerPhase::SlowStart => "back for a while: its rate is rising",
                        ServerPhase::Healthy if quick.health.is_limping(now, false) => {
                            "no work while others are there: it lost some that it had in hand"
                        }
                        ServerPhase::Healthy => "given work",
                        ServerPhase::Suspect => "no work while others are there: it failed lately",
                    }
                };
                jzon::object! {
                    "id": entry.server.id.as_str(),
                    "zone": entry.server.zone.as_str(),
                    "phase": phase,
                    "why": why,
                    "inHand": quick.in_flight,
                    "demand": f64::from(quick.demand(now)) / 1000.0,
                }
            })
        })
        .collect();
    let classes: Vec<jzon::JsonValue> = proxy
        .classes
        .lock()
        .expect("no panic under this lock")
        .counts()
        .into_iter()
        .map(|(name, room, used, waiting)| {
            jzon::object! { "name": name, "room": room, "used": used, "waiting": waiting }
        })
        .collect();
    let status = jzon::object! {
        "name": proxy.daemon.settings.name.as_str(),
        "ready": ready,
        "fresh": view.is_fresh,
        "floor": view.read_index_json(),
        "leaving": proxy.is_leaving.load(Ordering::Relaxed),
        "revision": view.committed.revision,
        "setupRevision": view.committed.config_revision,
        "platformRevision": view.endpoints.revision,
        "emptied": view.committed.drained_zones.iter().map(|one| one.as_str().into()).collect::<Vec<jzon::JsonValue>>(),
        "epoch": view.plan.epoch,
        "holder": view.plan.leader.as_str(),
        "classes": classes,
        "servers": servers,
    };
    node::json_response(hyper::StatusCode::OK, &status)
}
