//! A whole fleet as processes on one machine: each daemon at a loopback address of its own.

use crate::stub::{ListedServer, StubPlatform, StubServer};
use crate::topology::Topology;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

pub struct Daemon {
    pub name: String,
    pub role: &'static str,
    pub zone: &'static str,
    pub region: &'static str,
    pub address: SocketAddr,
    pub cluster_address: SocketAddr,
    settings: std::path::PathBuf,
    child: Option<std::process::Child>,
    relays: Vec<crate::relay::Relay>,
}

impl Daemon {
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(std::process::Child::id)
    }
}

pub struct Fleet {
    pub topology: Topology,
    pub folder: std::path::PathBuf,
    pub daemons: Vec<Daemon>,
    pub platform: StubPlatform,
    pub servers: Vec<StubServer>,
    net: [u8; 2],
    is_relayed: bool,
}

static FLEETS: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);
const PORT: u16 = 7000;

/// Where the programs lie: beside this very test or tool.
fn program(role: &str) -> std::path::PathBuf {
    let own = std::env::current_exe().expect("a running program has a path");
    let name = format!("vanepath-{role}");
    own.ancestors()
        .skip(1)
        .take(3)
        .map(|folder| folder.join(&name))
        .find(|path| path.exists())
        .unwrap_or_else(|| panic!("{name} is not built: run 'cargo build --workspace' first"))
}

/// Waits until the condition holds. Panics, saying what was awaited, after the limit.
pub async fn wait_until(
    what: &str,
    limit: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> Duration {
    let start = std::time::Instant::now();
    loop {
        if condition().await {
            return start.elapsed();
        }
        assert!(start.elapsed() < limit, "not within {limit:?}: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

impl Fleet {
    fn at(net: [u8; 2], host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, net[0], net[1], host), port))
    }

    /// The same, with a relay in front of every address of every daemon.
    pub async fn start_with_relays(topology: Topology) -> Fleet {
        Self::start_as(topology, true).await
    }

    /// Stand-ins and processes, all started; nothing is awaited yet.
    pub async fn start(topology: Topology) -> Fleet {
        Self::start_as(topology, false).await
    }

    async fn start_as(topology: Topology, is_relayed: bool) -> Fleet {
        let pid = std::process::id();
        let number = FLEETS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let net = [64 + (pid % 128) as u8, (pid / 128 % 8) as u8 * 32 + number % 32];
        let folder = std::env::temp_dir().join(format!("vanepath-testbed-{pid}-{number}"));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("the folder for temporary files takes a folder");
        let platform =
            StubPlatform::start(Self::at(net, 250, PORT)).await.expect("the address is free");
        let mut fleet = Fleet {
            topology,
            folder,
            daemons: Vec::new(),
            platform,
            servers: Vec::new(),
            net,
            is_relayed,
        };
        fleet.start_servers().await;
        let core: Vec<(&'static str, &'static str)> =
            fleet.topology.zones[..fleet.topology.stores].to_vec();
        for (seat, (zone, region)) in core.iter().enumerate() {
            fleet.add_store(seat, zone, region, "", 11 + seat as u8);
            fleet.add_daemon(
                "registry",
                &format!("registry-{seat}"),
                zone,
                region,
                1 + seat as u8,
                &[],
            );
        }
        for index in 0..fleet.topology.proxies {
            let (zone, region) = fleet.topology.zones[index % fleet.topology.zones.len()];
            fleet.add_daemon(
                "proxy",
                &format!("proxy-{index}"),
                zone,
                region,
                21 + index as u8,
                &[],
            );
        }
        for index in 0..fleet.daemons.len() {
            if is_relayed {
                let member = &mut fleet.daemons[index];
                for (at, to) in [(member.address, PORT), (member.cluster_address, PORT + 1)] {
                    let to = SocketAddr::new(at.ip(), to);
                    let relay = crate::relay::Relay::start(at, to).await;
                    member.relays.push(relay.expect("the address is free"));
                }
            }
            fleet.start_daemon(index);
        }
        fleet
    }

    /// Sets all links towards a daemon; what it asks of others goes by theirs.
    pub fn set_links(&self, index: usize, link: crate::relay::Link) {
        for relay in &self.daemons[index].relays {
            relay.set(link);
        }
    }

    async fn start_servers(&mut self) {
        let mut listed = Vec::new();
        let mut host = 100;
        for (app, count) in self.topology.servers.clone() {
            for index in 0..count {
                host += 1;
                let (zone, region) = self.topology.zones[index % self.topology.zones.len()];
                let id = format!("{app}-{index}");
                let address = Self::at(self.net, host, PORT);
                let server = StubServer::start(&id, address).await.expect("the address is free");
                self.servers.push(server);
                listed.push(ListedServer {
                    id,
                    address,
                    region: region.to_string(),
                    zone: zone.to_string(),
                    labels: vec![("app".to_string(), app.to_string())],
                    draining: false,
                });
            }
        }
        self.platform.update_list(|list| *list = listed);
    }

    /// A store with an empty data folder of its own; `suffix` tells replacements apart.
    pub fn add_store(
        &mut self,
        seat: usize,
        zone: &'static str,
        region: &'static str,
        suffix: &str,
        host: u8,
    ) -> usize {
        let name = format!("store-{seat}{suffix}");
        let data = self.folder.join(format!("{name}-data"));
        let data = data.to_string_lossy().to_string();
        let mut more = vec![
            ("stores", jzon::JsonValue::from(self.topology.stores)),
            ("dataFolder", jzon::JsonValue::from(data)),
        ];
        more.extend(self.running_seeds());
        self.add_daemon("store", &name, zone, region, host, &more)
    }

    /// Once daemons run, whoever installs another one names some of those as its seeds.
    pub fn running_seeds(&self) -> Option<(&'static str, jzon::JsonValue)> {
        let live = self.daemons.iter().filter(|member| member.child.is_some());
        let core = live.filter(|member| member.role != "proxy");
        let seeds: Vec<jzon::JsonValue> =
            core.take(3).map(|member| member.cluster_address.to_string().into()).collect();
        (!seeds.is_empty()).then(|| ("seeds", seeds.into()))
    }

    pub fn add_daemon(
        &mut self,
        role: &'static str,
        name: &str,
        zone: &'static str,
        region: &'static str,
        host: u8,
        more: &[(&str, jzon::JsonValue)],
    ) -> usize {
        let listen = Self::at(self.net, host, PORT);
        let sibling_listen = Self::at(self.net, host, PORT + 1);
        // Through relays others reach it a hundred ports higher.
        let shift = if self.is_relayed { 100 } else { 0 };
        let address = Self::at(self.net, host, PORT + shift);
        let sibling_address = Self::at(self.net, host, PORT + 1 + shift);
        let seed = |seat: u8| Self::at(self.net, 1 + seat, PORT + 1 + shift).to_string();
        let seeds: Vec<jzon::JsonValue> = (0..3).map(|seat| seed(seat).into()).collect();
        let mut value = jzon::object! {
            "fleet": format!("fleet-{}-{}", self.net[0], self.net[1]),
            "name": name,
            "region": region,
            "zone": zone,
            "listen": listen.to_string(),
            "advertise": address.to_string(),
            "siblingListen": sibling_listen.to_string(),
            "siblingAdvertise": sibling_address.to_string(),
            "seeds": seeds,
            "graceMs": 15000,
        };
        if role == "registry" {
            value["platform"] = format!("http://{}/servers", self.platform.address).into();
        }
        for (key, one) in more {
            value[*key] = one.clone();
        }
        let settings = self.folder.join(format!("{name}.json"));
        std::fs::write(&settings, value.pretty(2)).expect("the folder takes files");
        self.daemons.push(Daemon {
            name: name.to_string(),
            role,
            zone,
            region,
            address,
            cluster_address: sibling_address,
            settings,
            child: None,
            relays: Vec::new(),
        });
        self.daemons.len() - 1
    }

    pub fn start_daemon(&mut self, index: usize) {
        let member = &mut self.daemons[index];
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", member.name)))
            .expect("the folder takes files");
        let child = std::process::Command::new(program(member.role))
            .arg("--settings")
            .arg(&member.settings)
            .stdin(std::process::Stdio::null())
            .stdout(std::process::Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        member.child = Some(child);
    }

    /// Sends a signal to a daemon that runs.
    pub fn signal(&self, index: usize, signal: rustix::process::Signal) {
        if let Some(child) = &self.daemons[index].child
            && let Some(pid) = rustix::process::Pid::from_raw(child.id() as i32)
        {
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Kills at once, as power loss to the process does.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.daemons[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn suspend(&self, index: usize) {
        self.signal(index, rustix::process::Signal::STOP);
    }

    pub fn resume(&self, index: usize) {
        self.signal(index, rustix::process::Signal::CONT);
    }

    /// Whether a daemon runs; one that ended is taken note of.
    pub fn is_running(&mut self, index: usize) -> bool {
        let member = &mut self.daemons[index];
        let Some(child) = &mut member.child else { return false };
        let has_ended = matches!(child.try_wait(), Ok(Some(_)) | Err(_));
        if has_ended {
            member.child = None;
        }
        !has_ended
    }

    /// Asks it to stop and waits until it has; whether it ended well.
    pub async fn terminate(&mut self, index: usize) -> bool {
        self.signal(index, rustix::process::Signal::TERM);
        let Some(mut child) = self.daemons[index].child.take() else {
            return false;
        };
        let ended = tokio::task::spawn_blocking(move || child.wait());
        matches!(ended.await, Ok(Ok(status)) if status.success())
    }

    /// Kills every daemon of these places, and ends their servers.
    pub fn kill_zones(&mut self, is_hit: impl Fn(&str, &str) -> bool) -> Vec<usize> {
        let hit: Vec<usize> = (0..self.daemons.len())
            .filter(|index| is_hit(self.daemons[*index].zone, self.daemons[*index].region))
            .filter(|index| self.daemons[*index].child.is_some())
            .collect();
        for index in &hit {
            self.kill(*index);
        }
        for index in self.servers_in(&is_hit) {
            self.servers[index].stop();
        }
        hit
    }

    /// The stand-in servers of these places.
    pub fn servers_in(&self, is_hit: impl Fn(&str, &str) -> bool) -> Vec<usize> {
        let zones = &self.topology.zones;
        let counts = self.topology.servers.iter().flat_map(|(_, count)| 0..*count);
        let places = counts.map(|index| zones[index % zones.len()]);
        let numbered = places.enumerate().filter(|(_, (zone, region))| is_hit(zone, region));
        numbered.map(|(index, _)| index).collect()
    }

    /// Starts a server again at its address, with its counts.
    pub async fn restart_server(&mut self, index: usize) {
        let (state, address) = (self.servers[index].state.clone(), self.servers[index].address);
        self.servers[index] = loop {
            match StubServer::start_with(state.clone(), address).await {
                Ok(server) => break server,
                Err(_) => tokio::task::yield_now().await,
            }
        };
    }

    /// Removes a store's data, as a lost disk does. It must not be running.
    pub fn wipe_data(&self, index: usize) {
        let data = self.folder.join(format!("{}-data", self.daemons[index].name));
        let _ = std::fs::remove_dir_all(data);
    }

    pub fn data_folder(&self, index: usize) -> std::path::PathBuf {
        self.folder.join(format!("{}-data", self.daemons[index].name))
    }

    pub fn settings_file(&self, index: usize) -> &std::path::Path {
        &self.daemons[index].settings
    }

    pub fn program(&self, role: &str) -> std::path::PathBuf {
        program(role)
    }

    pub fn index_of(&self, name: &str) -> usize {
        self.daemons
            .iter()
            .position(|member| member.name == name)
            .unwrap_or_else(|| panic!("no daemon is named {name}"))
    }

    pub fn with_role(&self, role: &str) -> Vec<usize> {
        (0..self.daemons.len()).filter(|index| self.daemons[*index].role == role).collect()
    }

    pub fn registry_addresses(&self) -> Vec<SocketAddr> {
        self.with_role("registry").into_iter().map(|index| self.daemons[index].address).collect()
    }

    pub async fn get(&self, index: usize, path: &str) -> Option<crate::http::Response> {
        crate::http::call(self.daemons[index].address, "GET", path, &[], b"").await
    }

    /// A daemon's own page (`status`, `metrics`, `ready`), wherever it keeps them.
    pub async fn page(&self, index: usize, page: &str) -> jzon::JsonValue {
        let prefix = if self.daemons[index].role == "proxy" { "/vanepath" } else { "" };
        match self.get(index, &format!("{prefix}/v1/{page}")).await {
            Some(reply) => reply.json(),
            None => jzon::JsonValue::Null,
        }
    }

    /// Gives the operator's setup to the first registry that takes it; its revision.
    pub async fn put_config(&self, setup: &str) -> u64 {
        let mut last = String::new();
        let start = std::time::Instant::now();
        while start.elapsed() < Duration::from_secs(20) {
            for address in self.registry_addresses() {
                let call = crate::http::call(address, "PUT", "/v1/setup", &[], setup.as_bytes());
                match call.await {
                    Some(reply) if reply.status == 200 => {
                        return reply.json()["revision"].as_u64().expect("a receipt says it");
                    }
                    Some(reply) => last = String::from_utf8_lossy(&reply.body).to_string(),
                    None => last = format!("{address} does not reply"),
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("no registry takes the setup: {last}");
    }

    /// Until every running proxy goes by this revision or a later one, and is ready.
    pub async fn wait_until_active(&self, revision: u64, limit: Duration) -> Duration {
        let proxies: Vec<usize> = self
            .with_role("proxy")
            .into_iter()
            .filter(|index| self.daemons[*index].child.is_some())
            .collect();
        let proxies = &proxies;
        wait_until(&format!("revision {revision} at all proxies"), limit, async || {
            for index in proxies {
                let ready = self.page(*index, "ready").await;
                let is_there = ready["ready"].as_bool() == Some(true)
                    && ready["revision"].as_u64().is_some_and(|there| there >= revision);
                if !is_there {
                    return false;
                }
            }
            true
        })
        .await
    }

    /// How often each request ran, over all servers.
    pub fn execution_counts(&self) -> std::collections::HashMap<String, u32> {
        let mut all = std::collections::HashMap::new();
        for server in &self.servers {
            for (number, count) in server.state.runs.lock().expect("no panic").iter() {
                *all.entry(number.clone()).or_default() += count;
            }
        }
        all
    }

    /// The logs of all daemons, for a failed test.
    pub fn logs(&self) -> String {
        let mut all = String::new();
        for member in &self.daemons {
            let path = self.folder.join(format!("{}.log", member.name));
            let text = std::fs::read_to_string(path).unwrap_or_default();
            let lines: Vec<&str> = text.lines().rev().take(12).collect();
            all += &format!("--- {}\n", member.name);
            for line in lines.iter().rev() {
                all += &format!("{line}\n");
            }
        }
        all
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}", self.logs());
        }
        for member in &mut self.daemons {
            if let Some(mut child) = member.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
