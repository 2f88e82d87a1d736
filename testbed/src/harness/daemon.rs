//! A daemon of a fleet: its settings, its process and the relays in front of it.

use super::subnet::{CLUSTER_PORT, HTTP_PORT};
use crate::relay::{Link, Relay};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A daemon of a fleet, running or not.
pub struct Daemon {
    /// Its name in its settings.
    pub name: String,
    /// `proxy`, `registry` or `store`.
    pub role: &'static str,
    /// Its zone.
    pub zone: &'static str,
    /// Region of its zone.
    pub region: &'static str,
    /// Advertised address of its HTTP interface.
    pub address: SocketAddr,
    /// Advertised address for connections from other daemons.
    pub cluster_address: SocketAddr,
    pub(super) settings: PathBuf,
    pub(super) child: Option<Child>,
    pub(super) relays: Vec<Relay>,
}

impl Daemon {
    /// Process identifier if it is running.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Where the process itself listens for HTTP, whether or not there is a relay in front of it.
    pub fn listen_address(&self) -> SocketAddr {
        SocketAddr::new(self.address.ip(), HTTP_PORT)
    }

    /// Starts a relay in front of each of its two addresses.
    pub(super) async fn start_relays(&mut self) {
        for (address, port) in [(self.address, HTTP_PORT), (self.cluster_address, CLUSTER_PORT)] {
            let target = SocketAddr::new(address.ip(), port);
            let relay = Relay::start(address, target).await;
            self.relays.push(relay.expect("the address is free"));
        }
    }

    pub(super) fn set_links(&self, link: Link) {
        for relay in &self.relays {
            relay.set(link);
        }
    }

    /// Starts the process and appends its log to a file in this folder.
    pub(super) fn start(&mut self, folder: &Path) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_file(folder))
            .expect("the folder is writable");
        let child = Command::new(program_path(self.role))
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program can be started");
        self.child = Some(child);
    }

    pub(super) fn log_file(&self, folder: &Path) -> PathBuf {
        folder.join(format!("{}.log", self.name))
    }

    pub(super) fn data_folder(&self, folder: &Path) -> PathBuf {
        folder.join(format!("{}-data", self.name))
    }

    pub(super) fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child
            && let Some(pid) = Pid::from_raw(child.id() as i32)
        {
            // The process may have exited already.
            let _ = kill_process(pid, signal);
        }
    }

    pub(super) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub(super) fn is_running(&mut self) -> bool {
        let Some(child) = &mut self.child else { return false };
        let has_ended = matches!(child.try_wait(), Ok(Some(_)) | Err(_));
        if has_ended {
            self.child = None;
        }
        !has_ended
    }

    pub(super) async fn terminate(&mut self) -> bool {
        self.signal(Signal::TERM);
        let Some(mut child) = self.child.take() else {
            return false;
        };
        let ended = tokio::task::spawn_blocking(move || child.wait());
        matches!(ended.await, Ok(Ok(status)) if status.success())
    }
}

/// The path of a program of the workspace, which is searched in the folder of the running program and in
/// the two folders above it.
pub(super) fn program_path(role: &str) -> PathBuf {
    let own_path = std::env::current_exe().expect("a running program has a path");
    let name = format!("vanepath-{role}");
    own_path
        .ancestors()
        .skip(1)
        .take(3)
        .map(|folder| folder.join(&name))
        .find(|path| path.exists())
        .unwrap_or_else(|| panic!("{name} is not built: run 'cargo build --workspace' first"))
}
