//! A small fleet with the limits of the smallest machine, and what must hold of it whatever clients send.

use super::MAX_BODY_BYTES;
use super::crowd::{Crowd, Script};
use super::fixture::{Daemon, Fleet, FleetOptions, LIMIT, READINESS_PORT, configuration};
use super::queued_bytes::wait_until_read;
use super::servers::FakeServer;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Memory of the smallest machine.
const MEMORY_MEGABYTES: u64 = 112;
/// File descriptors of the smallest machine.
const DESCRIPTORS: usize = 2_870;
/// Descriptors where a crowd is to be larger than their number.
pub const FEW_DESCRIPTORS: usize = 300;
/// Pause of an ordinary caller that is refused.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Where clients connect to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    Frontend,
    Directory,
    Readiness,
    /// Of the entry.
    ResourceApi,
    /// Of a member of the control group.
    Operators,
    /// Of a member of the control group.
    Peer,
}

/// Three members of the control group, an entry, and a plain server.
pub struct SmallFleet {
    fleet: Fleet,
    pub server: Arc<FakeServer>,
    descriptors: usize,
}

impl SmallFleet {
    pub async fn start() -> SmallFleet {
        SmallFleet::start_with_descriptors(DESCRIPTORS).await
    }

    /// Returns once the entry serves.
    pub async fn start_with_descriptors(descriptors: usize) -> SmallFleet {
        let fleet = Fleet::start_with(FleetOptions {
            entries: 1,
            limits: json!({ "memoryMegabytes": MEMORY_MEGABYTES, "fileDescriptors": descriptors }),
            ..FleetOptions::default()
        });
        let server = fleet.plain_server(0).await;
        let mut configuration = configuration(1);
        configuration["limits"]["max_body_bytes"] = json!(MAX_BODY_BYTES);
        fleet.configure(&configuration).await;
        fleet.wait_until_known(1).await;
        fleet.wait_until_served("/plain/1").await;
        SmallFleet { fleet, server, descriptors }
    }

    fn address(&self, listener: Listener) -> SocketAddr {
        match listener {
            Listener::Frontend => self.fleet.frontend(0),
            Listener::Directory => self.fleet.directory_address(0),
            Listener::Readiness => SocketAddr::new(self.fleet.frontend(0).ip(), READINESS_PORT),
            Listener::ResourceApi => self.fleet.http_address(self.fleet.entry_host(0)),
            Listener::Operators => self.fleet.operators()[0],
            Listener::Peer => self.fleet.peer_addresses(0).1,
        }
    }

    /// Connects a crowd, and returns when the daemon has read what its clients sent, or does not read it.
    pub async fn send(&self, listener: Listener, clients: usize, script: Script) -> Crowd {
        let address = self.address(listener);
        let crowd = Crowd::send(address, clients, script).await;
        wait_until_read(address).await;
        crowd
    }

    /// Checks everything while a crowd is connected.
    pub async fn assert_withstands(&mut self, listener: Listener, clients: usize, script: Script) {
        let crowd = self.send(listener, clients, script).await;
        self.assert_serves(listener).await;
        self.assert_sound();
        drop(crowd);
    }

    /// Checks that an ordinary caller of a listener is served, if it repeats what was refused.
    pub async fn assert_serves(&self, listener: Listener) {
        let started = Instant::now();
        while !self.is_served(listener).await {
            assert!(started.elapsed() < LIMIT, "an ordinary request to {listener:?} is not served");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn is_served(&self, listener: Listener) -> bool {
        let get = |path: &str| {
            self.fleet.http.get(format!("http://{}{path}", self.address(listener))).timeout(LIMIT).send()
        };
        let response = match listener {
            Listener::Frontend => self.fleet.request(0, "/plain/1", "ordinary").body("x").send().await,
            Listener::Directory => get("/v1/entries?zone=z").await,
            Listener::Readiness => get("/readyz").await,
            Listener::ResourceApi => get("/healthz").await,
            Listener::Operators => get("/v1/gateway/configuration").await,
            Listener::Peer => return self.fleet.version_at(self.fleet.operators()[0]).await.is_some(),
        };
        response.is_ok_and(|response| response.status().is_success())
    }

    /// Checks that each process lives, and that its memory and its descriptors are within the limits.
    pub fn assert_sound(&mut self) {
        for (number, daemon) in self.fleet.members.iter_mut().chain(&mut self.fleet.entries).enumerate() {
            assert!(!daemon.has_exited(), "daemon {number} has ended");
            let peak = daemon.memory_status("VmHWM:") >> 20;
            let open = open_descriptors(daemon);
            println!("daemon {number} has used {peak} MB and has {open} descriptors open");
            assert!(peak > 0 && peak < MEMORY_MEGABYTES, "daemon {number} has used {peak} MB");
            assert!(open > 0 && open < self.descriptors, "daemon {number} has {open} descriptors open");
        }
    }
}

/// Returns the number of file descriptors that a process has open; 0 if it does not run.
fn open_descriptors(daemon: &Daemon) -> usize {
    let Some(process) = daemon.process_id() else { return 0 };
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}
