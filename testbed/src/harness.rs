//! Runs a whole fleet on one machine. Each daemon is a process with its own loopback address; the stub
//! servers and the stub platform run in this process.

mod daemon;
mod queries;
mod subnet;
mod wait;

pub use daemon::Daemon;
pub use wait::wait_until;

use crate::relay::Link;
use crate::stub::{ListedServer, StubPlatform, StubServer};
use crate::topology::Topology;
use daemon::program_path;
use jzon::JsonValue;
use rustix::process::Signal;
use std::path::{Path, PathBuf};
use subnet::{
    CLUSTER_PORT, FIRST_PROXY_HOST, FIRST_REGISTRY_HOST, FIRST_STORE_HOST, HTTP_PORT,
    LAST_HOST_BEFORE_SERVERS, PLATFORM_HOST, RELAY_PORT_OFFSET, Subnet,
};

/// Grace period of terminated daemons for their requests in flight.
const SHUTDOWN_GRACE_MS: u64 = 15_000;
/// Number of seeds in the settings of a daemon.
const SEED_COUNT: usize = 3;

/// A running fleet. When it is dropped, its processes are killed and its folder is removed.
pub struct Fleet {
    /// The deployment from which it was started.
    pub topology: Topology,
    /// Folder with the settings, logs and data of its daemons.
    pub folder: PathBuf,
    /// All daemons, running or not. Functions identify a daemon by its index here.
    pub daemons: Vec<Daemon>,
    /// The stub platform, which serves the endpoint list.
    pub platform: StubPlatform,
    /// The stub servers, in the order of the topology.
    pub servers: Vec<StubServer>,
    subnet: Subnet,
    /// Whether daemons are reached through TCP relays.
    has_relays: bool,
}

impl Fleet {
    /// Like [`Fleet::start`], with a TCP relay in front of every address of every daemon.
    pub async fn start_with_relays(topology: Topology) -> Fleet {
        Self::start_all(topology, true).await
    }

    /// Starts the stubs and the daemons, without waiting until the daemons are ready.
    pub async fn start(topology: Topology) -> Fleet {
        Self::start_all(topology, false).await
    }

    async fn start_all(topology: Topology, has_relays: bool) -> Fleet {
        let subnet = Subnet::new();
        let folder = std::env::temp_dir().join(subnet.folder_name());
        // An earlier process with the same process identifier may have left a folder of this name.
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("the folder for temporary files is writable");
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

    /// Adds the core machines, with a store and a registry each.
    fn add_core(&mut self) {
        for machine in 0..self.topology.stores {
            let (zone, region) = self.topology.zone(machine);
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

    /// Adds a store with an empty data folder and returns its index. `suffix` is appended to its name, so
    /// that the name of a replacement differs.
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

    /// The setting `seeds` for a daemon that is added to a running fleet: a few of its running registries and
    /// stores. `None` if none is running.
    pub fn running_seeds(&self) -> Option<(&'static str, JsonValue)> {
        let running = self.daemons.iter().filter(|daemon| daemon.child.is_some());
        let core = running.filter(|daemon| daemon.role != "proxy");
        let seeds: Vec<JsonValue> =
            core.take(SEED_COUNT).map(|daemon| daemon.cluster_address.to_string().into()).collect();
        (!seeds.is_empty()).then(|| ("seeds", seeds.into()))
    }

    /// Adds a daemon, writes its settings file and returns its index. `settings` are added to the common
    /// settings or replace them. The process is not started.
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
        std::fs::write(&settings, document.pretty(2)).expect("the folder is writable");
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

    /// Sets the state of all links to a daemon. Connections that it opens to other daemons use the links of
    /// those.
    pub fn set_links(&self, index: usize, link: Link) {
        self.daemons[index].set_links(link);
    }

    /// Sends a signal to a daemon if it is running.
    pub fn signal(&self, index: usize, signal: Signal) {
        self.daemons[index].signal(signal);
    }

    /// Kills a daemon, as a power loss does.
    pub fn kill(&mut self, index: usize) {
        self.daemons[index].kill();
    }

    /// Suspends a daemon (SIGSTOP), as a long pause of its machine does.
    pub fn suspend(&self, index: usize) {
        self.signal(index, Signal::STOP);
    }

    /// Resumes a suspended daemon.
    pub fn resume(&self, index: usize) {
        self.signal(index, Signal::CONT);
    }

    /// Whether a daemon is running.
    pub fn is_running(&mut self, index: usize) -> bool {
        self.daemons[index].is_running()
    }

    /// Terminates a daemon, waits until it has exited, and returns whether it exited with status 0.
    pub async fn terminate(&mut self, index: usize) -> bool {
        self.daemons[index].terminate().await
    }

    /// Kills the running daemons and stops the servers of all zones for which `is_affected` holds (its
    /// arguments are zone and region). Returns the indices of the killed daemons.
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

    /// Restarts a stopped server at the same address and with the same state.
    pub async fn restart_server(&mut self, index: usize) {
        let (state, address) = (self.servers[index].state.clone(), self.servers[index].address);
        self.servers[index] = loop {
            match StubServer::start_with_state(state.clone(), address).await {
                Ok(server) => break server,
                Err(_) => tokio::task::yield_now().await,
            }
        };
    }

    /// Removes the data of a store, as the loss of its disk does. The store must not be running.
    pub fn wipe_data(&self, index: usize) {
        // The folder does not exist if the store has not saved any data yet.
        let _ = std::fs::remove_dir_all(self.data_folder(index));
    }

    /// The data folder of a store.
    pub fn data_folder(&self, index: usize) -> PathBuf {
        self.daemons[index].data_folder(&self.folder)
    }

    /// The settings file of a daemon.
    pub fn settings_file(&self, index: usize) -> &Path {
        &self.daemons[index].settings
    }

    /// The path of a program of the workspace, given its name without the prefix `vanepath-`.
    pub fn program(&self, role: &str) -> PathBuf {
        program_path(role)
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
        // Failing to remove the folder is harmless.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
