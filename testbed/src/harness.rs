//! A whole fleet as processes on one machine: each daemon at a loopback address of its own, with stub
//! servers and a stub platform in this process.

mod daemon;
mod queries;
mod subnet;
mod wait;

pub use daemon::Daemon;
pub use wait::wait_until;

use crate::relay::Link;
use crate::stub::{ListedServer, StubPlatform, StubServer};
use crate::topology::Topology;
use daemon::program;
use jzon::JsonValue;
use rustix::process::Signal;
use std::path::{Path, PathBuf};
use subnet::{
    CLUSTER_PORT, FIRST_PROXY_HOST, FIRST_REGISTRY_HOST, FIRST_STORE_HOST, HTTP_PORT,
    LAST_HOST_BEFORE_SERVERS, PLATFORM_HOST, RELAY_PORT_OFFSET, Subnet,
};

/// Time that daemons give requests in flight when they are terminated.
const SHUTDOWN_GRACE_MS: u64 = 15_000;
/// Seeds that the settings of a daemon name.
const SEED_COUNT: usize = 3;

/// A fleet; its processes are killed and its folder is removed when it is dropped.
pub struct Fleet {
    /// The deployment that it was started as.
    pub topology: Topology,
    /// Settings, logs and data of its daemons.
    pub folder: PathBuf,
    /// All daemons, running or not; functions refer to them by index.
    pub daemons: Vec<Daemon>,
    /// Serves the endpoint list.
    pub platform: StubPlatform,
    /// The stub servers, in the order of the topology.
    pub servers: Vec<StubServer>,
    subnet: Subnet,
    /// Whether daemons are reached through relays.
    has_relays: bool,
}

impl Fleet {
    /// Starts stubs and daemons, with a relay in front of every address of every daemon.
    pub async fn start_with_relays(topology: Topology) -> Fleet {
        Self::start_all(topology, true).await
    }

    /// Starts stubs and daemons, and does not wait until these are ready.
    pub async fn start(topology: Topology) -> Fleet {
        Self::start_all(topology, false).await
    }

    async fn start_all(topology: Topology, has_relays: bool) -> Fleet {
        let subnet = Subnet::new();
        let folder = std::env::temp_dir().join(subnet.folder_name());
        // Left behind by an earlier process of the same number, if it is there.
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("the folder for temporary files takes a folder");
        let platform = StubPlatform::start(subnet.address(PLATFORM_HOST, HTTP_PORT));
        let platform = platform.await.expect("the address is free");
        let mut fleet = Fleet {
            topology,
            folder,
            daemons: Vec::new(),
            platform,
            servers: Vec::new(),
            subnet,
            has_relays,
        };
        fleet.start_servers().await;
        fleet.add_core();
        fleet.add_proxies();
        for index in 0..fleet.daemons.len() {
            if has_relays {
                fleet.daemons[index].start_relays().await;
            }
            fleet.start_daemon(index);
        }
        fleet
    }

    async fn start_servers(&mut self) {
        let mut listed = Vec::new();
        let mut host = LAST_HOST_BEFORE_SERVERS;
        for (app, count) in self.topology.servers.clone() {
            for index in 0..count {
                host += 1;
                let (zone, region) = self.topology.zone(index);
                let id = format!("{app}-{index}");
                let address = self.subnet.address(host, HTTP_PORT);
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

    /// The core machines, with a store and a registry each.
    fn add_core(&mut self) {
        for machine in 0..self.topology.stores {
            let (zone, region) = self.topology.zones[machine];
            self.add_store(machine, zone, region, "", FIRST_STORE_HOST + machine as u8);
            let name = format!("registry-{machine}");
            let host = FIRST_REGISTRY_HOST + machine as u8;
            self.add_daemon("registry", &name, zone, region, host, &[]);
        }
    }

    fn add_proxies(&mut self) {
        for index in 0..self.topology.proxies {
            let (zone, region) = self.topology.zone(index);
            let name = format!("proxy-{index}");
            self.add_daemon("proxy", &name, zone, region, FIRST_PROXY_HOST + index as u8, &[]);
        }
    }

    /// Adds a store with an empty data folder and returns its index; `suffix` distinguishes replacements.
    pub fn add_store(
        &mut self,
        machine: usize,
        zone: &'static str,
        region: &'static str,
        suffix: &str,
        host: u8,
    ) -> usize {
        let name = format!("store-{machine}{suffix}");
        let data = self.folder.join(format!("{name}-data"));
        let data = data.to_string_lossy().to_string();
        let mut settings = vec![
            ("stores", JsonValue::from(self.topology.stores)),
            ("dataFolder", JsonValue::from(data)),
        ];
        settings.extend(self.running_seeds());
        self.add_daemon("store", &name, zone, region, host, &settings)
    }

    /// The setting `seeds` for a daemon that is added to a running fleet: some of its registries and
    /// stores. `None` if none of these runs.
    pub fn running_seeds(&self) -> Option<(&'static str, JsonValue)> {
        let running = self.daemons.iter().filter(|daemon| daemon.child.is_some());
        let core = running.filter(|daemon| daemon.role != "proxy");
        let seeds: Vec<JsonValue> =
            core.take(SEED_COUNT).map(|daemon| daemon.cluster_address.to_string().into()).collect();
        (!seeds.is_empty()).then(|| ("seeds", seeds.into()))
    }

    /// Adds a daemon, writes its settings and returns its index. `settings` are added to the common ones, or
    /// replace them.
    pub fn add_daemon(
        &mut self,
        role: &'static str,
        name: &str,
        zone: &'static str,
        region: &'static str,
        host: u8,
        settings: &[(&str, JsonValue)],
    ) -> usize {
        let port_offset = if self.has_relays { RELAY_PORT_OFFSET } else { 0 };
        let address = self.subnet.address(host, HTTP_PORT + port_offset);
        let cluster_address = self.subnet.address(host, CLUSTER_PORT + port_offset);
        let seed = |machine: u8| {
            let address =
                self.subnet.address(FIRST_REGISTRY_HOST + machine, CLUSTER_PORT + port_offset);
            JsonValue::from(address.to_string())
        };
        let seeds: Vec<JsonValue> = (0..SEED_COUNT as u8).map(seed).collect();
        let mut document = jzon::object! {
            "fleet": self.subnet.fleet_name(),
            "name": name,
            "region": region,
            "zone": zone,
            "listen": self.subnet.address(host, HTTP_PORT).to_string(),
            "advertise": address.to_string(),
            "siblingListen": self.subnet.address(host, CLUSTER_PORT).to_string(),
            "siblingAdvertise": cluster_address.to_string(),
            "seeds": seeds,
            "graceMs": SHUTDOWN_GRACE_MS,
        };
        if role == "registry" {
            document["platform"] = format!("http://{}/servers", self.platform.address).into();
        }
        for (key, value) in settings {
            document[*key] = value.clone();
        }
        let settings = self.folder.join(format!("{name}.json"));
        std::fs::write(&settings, document.pretty(2)).expect("the folder takes files");
        self.daemons.push(Daemon {
            name: name.to_string(),
            role,
            zone,
            region,
            address,
            cluster_address,
            settings,
            child: None,
            relays: Vec::new(),
        });
        self.daemons.len() - 1
    }

    /// Starts the process of a daemon.
    pub fn start_daemon(&mut self, index: usize) {
        self.daemons[index].start(&self.folder);
    }

    /// Sets the state of all links towards a daemon; its own connections to others use their links.
    pub fn set_links(&self, index: usize, link: Link) {
        self.daemons[index].set_links(link);
    }

    /// Sends a signal to a daemon, if it runs.
    pub fn signal(&self, index: usize, signal: Signal) {
        self.daemons[index].signal(signal);
    }

    /// Kills a daemon at once, which is what a power loss is to the process.
    pub fn kill(&mut self, index: usize) {
        self.daemons[index].kill();
    }

    /// Suspends a daemon, as a long pause of its machine does.
    pub fn suspend(&self, index: usize) {
        self.signal(index, Signal::STOP);
    }

    /// Resumes a suspended daemon.
    pub fn resume(&self, index: usize) {
        self.signal(index, Signal::CONT);
    }

    /// Whether a daemon runs.
    pub fn is_running(&mut self, index: usize) -> bool {
        self.daemons[index].is_running()
    }

    /// Terminates a daemon, waits until it has ended, and returns whether it ended with success.
    pub async fn terminate(&mut self, index: usize) -> bool {
        self.daemons[index].terminate().await
    }

    /// Kills the running daemons and stops the servers of all zones for which `is_affected` holds (it gets zone
    /// and region). Returns the indices of the daemons.
    pub fn kill_zones(&mut self, is_affected: impl Fn(&str, &str) -> bool) -> Vec<usize> {
        let affected: Vec<usize> = (0..self.daemons.len())
            .filter(|index| is_affected(self.daemons[*index].zone, self.daemons[*index].region))
            .filter(|index| self.daemons[*index].child.is_some())
            .collect();
        for index in &affected {
            self.kill(*index);
        }
        for index in self.servers_in(&is_affected) {
            self.servers[index].stop();
        }
        affected
    }

    /// Starts a stopped server again at its address, with its state.
    pub async fn restart_server(&mut self, index: usize) {
        let (state, address) = (self.servers[index].state.clone(), self.servers[index].address);
        self.servers[index] = loop {
            match StubServer::start_with_state(state.clone(), address).await {
                Ok(server) => break server,
                Err(_) => tokio::task::yield_now().await,
            }
        };
    }

    /// Removes a store's data, as the loss of its disk does. The store must not be running.
    pub fn wipe_data(&self, index: usize) {
        // It may have no data yet.
        let _ = std::fs::remove_dir_all(self.data_folder(index));
    }

    /// The folder of a store's data.
    pub fn data_folder(&self, index: usize) -> PathBuf {
        self.daemons[index].data_folder(&self.folder)
    }

    /// The settings file of a daemon.
    pub fn settings_file(&self, index: usize) -> &Path {
        &self.daemons[index].settings
    }

    /// The path of a program of the workspace, by its name without the prefix.
    pub fn program(&self, role: &str) -> PathBuf {
        program(role)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}", self.logs());
        }
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        // A folder that cannot be removed does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
