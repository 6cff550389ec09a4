//! State shared by all threads of the daemon.

use crate::caller_memory::CallerMemory;
use crate::clock::monotonic_ms;
use crate::control::ControlHandle;
use crate::control_directory::{ControlAddresses, ControlDirectory};
use crate::gateway::Dispatchers;
use crate::known_leader::KnownLeader;
use crate::listener_slots::ListenerSlots;
use crate::lock::lock;
use crate::metrics::Metrics;
use crate::pause_detector::PauseDetector;
use crate::peer::PeerClients;
use crate::published::Published;
use crate::pushback::Pushback;
use crate::request_bodies::RequestBodies;
use crate::scope_dispatchers::ScopeDispatchers;
use crate::server_dialer::{ServerDialer, TcpDialer};
use crate::settings::Settings;
use crate::suspects::{Suspects, count_suspects};
use crate::timeline::Timeline;
use crate::watch_hub::WatchHub;
use arc_swap::ArcSwap;
use dockwood_api::peer::DaemonRecord;
use dockwood_api::resource::Isolation;
use dockwood_control::LEASE_MS;
use dockwood_routing::gateway::{ServerPaths, TunnelPeers};
use dockwood_routing::{EntryCandidate, Millis, entry_order};
use dockwood_state::Tables;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::{Notify, Semaphore, watch};

/// Maximum number of tunnels through one daemon; each takes two file descriptors.
const MAX_TUNNELS: usize = 1_000;
/// Maximum number of remembered daemons that requested a lease here; any of them may know the leader.
const MAX_LEASE_REQUESTERS: usize = 32;
/// Maximum number of addresses in an entry answer.
const MAX_ENTRY_ADDRESSES: usize = 4;

/// State shared by all threads of the daemon.
pub struct Shared {
    /// Settings of the daemon.
    pub settings: Settings,
    /// Identifies this run of the daemon: its start time, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// Memory that is held for clients.
    pub caller_memory: Arc<CallerMemory>,
    /// Reads the bodies of clients' requests.
    pub request_bodies: RequestBodies,
    /// Connections of clients.
    pub listener_slots: ListenerSlots,
    /// Timeline of the daemon.
    pub timeline: Timeline,
    /// Recent changes, for watches.
    pub watch_hub: WatchHub,
    /// Clients for calls to other daemons.
    pub peers: PeerClients,
    /// Clients for consensus calls to the other voters, whose connections are handled by a separate thread.
    pub voter_peers: PeerClients,
    /// Selects the daemons that assign requests to groups.
    pub dispatchers: Dispatchers,
    /// The scopes for which this daemon is the dispatcher.
    pub scope_dispatchers: ScopeDispatchers,
    /// State on suspected poison requests.
    pub suspects: Suspects,
    /// Pushback state of servers.
    pub pushback: Pushback,
    server_paths: Mutex<ServerPaths>,
    /// Permits for tunnels through this daemon.
    pub tunnel_permits: Semaphore,
    /// Daemons that recently could not provide a tunnel to a server.
    pub tunnel_peers: Mutex<TunnelPeers>,
    /// Connects to servers.
    pub server_dialer: Arc<dyn ServerDialer>,
    /// The control leader as last known.
    pub known_leader: KnownLeader,
    /// Sends messages to the control thread.
    pub control: ControlHandle,
    published: ArcSwap<Published>,
    publications: watch::Sender<u64>,
    lease_until: AtomicU64,
    /// When the newest granted lease was requested.
    lease_requested_at: AtomicU64,
    /// Detects pauses of this process.
    pub pause_detector: PauseDetector,
    leader_term: watch::Sender<u64>,
    seeds: ArcSwap<Vec<SocketAddr>>,
    control_directory: ControlDirectory,
    knows_control_leader: AtomicBool,
    is_voter: AtomicBool,
    /// Daemons that recently requested a lease from this one, newest last.
    lease_requesters: Mutex<VecDeque<SocketAddr>>,
    leaving: AtomicBool,
    leaving_begun: Notify,
    in_flight: AtomicU32,
}

/// Guard that counts a request in flight until it is dropped.
pub struct InFlight {
    shared: Arc<Shared>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::SeqCst);
        self.shared.metrics.in_flight.dec();
    }
}

impl Shared {
    /// Creates the shared state at the start of the process.
    pub fn new(settings: Settings, incarnation: u64, metrics: Metrics, control: ControlHandle) -> Shared {
        let caller_memory = Arc::new(CallerMemory::new(settings.limits.memory_bytes, &metrics.clients));
        Shared {
            request_bodies: RequestBodies::new(caller_memory.clone(), &metrics.clients),
            caller_memory,
            listener_slots: ListenerSlots::new(&settings, &metrics.clients),
            timeline: Timeline::new(&settings.name),
            watch_hub: WatchHub::default(),
            peers: PeerClients::default(),
            voter_peers: PeerClients::default(),
            dispatchers: Dispatchers::new(
                settings.gateway.as_ref().map_or(usize::MAX, |gateway| gateway.leader_dispatches_up_to),
            ),
            scope_dispatchers: ScopeDispatchers::new(settings.cold_limit()),
            published: ArcSwap::default(),
            publications: watch::channel(0).0,
            lease_until: AtomicU64::new(0),
            lease_requested_at: AtomicU64::new(0),
            pause_detector: PauseDetector::default(),
            suspects: Suspects::default(),
            pushback: Pushback::default(),
            server_paths: Mutex::default(),
            tunnel_permits: Semaphore::new(MAX_TUNNELS),
            tunnel_peers: Mutex::default(),
            server_dialer: Arc::new(TcpDialer),
            known_leader: KnownLeader::default(),
            lease_requesters: Mutex::default(),
            leader_term: watch::channel(0).0,
            seeds: ArcSwap::default(),
            control_directory: ControlDirectory::default(),
            knows_control_leader: AtomicBool::new(false),
            is_voter: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            leaving_begun: Notify::new(),
            in_flight: AtomicU32::new(0),
            settings,
            incarnation,
            metrics,
            control,
        }
    }

    /// Replaces how connections to servers are established.
    pub fn with_server_dialer(self, server_dialer: Arc<dyn ServerDialer>) -> Shared {
        Shared { server_dialer, ..self }
    }

    /// Returns what is known of the paths to servers. It must not be held while waiting.
    pub fn server_paths(&self) -> MutexGuard<'_, ServerPaths> {
        lock(&self.server_paths)
    }

    /// Returns the record that describes this daemon to others.
    pub fn record(&self) -> DaemonRecord {
        DaemonRecord {
            name: self.settings.name.clone(),
            http: self.settings.http,
            peer: self.settings.peer,
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            frontend: self.settings.gateway.as_ref().and_then(|gateway| gateway.frontend),
            operators: self.settings.gateway.as_ref().and_then(|gateway| gateway.operators),
        }
    }

    /// Returns the newest published state.
    pub fn published(&self) -> Arc<Published> {
        self.published.load_full()
    }

    /// Returns the newest published tables.
    pub fn tables(&self) -> Arc<Tables> {
        self.published.load().tables.clone()
    }

    /// Replaces the published state. Called only by the control thread.
    pub fn publish(&self, next: Published) {
        self.metrics.revision.set(next.tables.revision as i64);
        self.metrics.in_force_revision.set(next.in_force_revision as i64);
        count_suspects(&self.metrics, &next.tables.gateway);
        self.published.store(Arc::new(next));
        self.publications.send_modify(|count| *count += 1);
    }

    /// Subscribes to publications.
    pub fn watch_publications(&self) -> watch::Receiver<u64> {
        self.publications.subscribe()
    }

    /// Waits until the published state has reached a revision; returns false after the time limit.
    pub async fn wait_for_revision(&self, revision: u64, limit: std::time::Duration) -> bool {
        let mut publications = self.watch_publications();
        let reached = async {
            while self.published.load().tables.revision < revision {
                if publications.changed().await.is_err() {
                    return;
                }
            }
        };
        tokio::time::timeout(limit, reached).await.is_ok()
    }

    /// Extends the configuration lease by a grant whose request was sent at `sent_at`.
    pub fn extend_lease(&self, sent_at: Millis) {
        let gateway = self.settings.gateway.as_ref();
        let lease_ms = gateway.and_then(|gateway| gateway.lease_limit_ms()).unwrap_or(LEASE_MS);
        self.lease_until.fetch_max(sent_at + lease_ms.min(LEASE_MS), Ordering::SeqCst);
        self.lease_requested_at.fetch_max(sent_at, Ordering::SeqCst);
    }

    /// Returns whether the configuration lease is valid at this moment. After a pause of this process, it must be renewed
    /// first: an entry that was stopped for less than the duration of its lease forwarded a request that had been quarantined
    /// meanwhile, in 1 of 4 runs of a test that stops it.
    pub fn holds_lease(&self) -> bool {
        !self.paused_since_lease() && monotonic_ms() < self.lease_until.load(Ordering::SeqCst)
    }

    /// Returns whether this process paused after it requested the newest granted lease.
    pub fn paused_since_lease(&self) -> bool {
        let resumed_at = self.pause_detector.observe(monotonic_ms());
        self.lease_requested_at.load(Ordering::SeqCst) < resumed_at
    }

    /// Returns the remaining time of the configuration lease, in milliseconds.
    pub fn lease_left_ms(&self) -> Millis {
        self.lease_until.load(Ordering::SeqCst).saturating_sub(monotonic_ms())
    }

    /// Returns whether new work may be sent to a pool now: if there is a lease, or if the deployment is configured to be
    /// served without one.
    pub fn may_dispatch(&self, deployment: &str) -> bool {
        let serves_without_lease = || {
            let tables = self.tables();
            tables.deployment(deployment).is_some_and(|spec| spec.isolation == Isolation::ServeLast)
        };
        self.holds_lease() || serves_without_lease()
    }

    /// Returns the addresses of the control group, from the settings and as learned since.
    pub fn control_addresses(&self) -> Arc<ControlAddresses> {
        let mut known_peers = self.settings.control_peers();
        known_peers.extend(self.seeds.load().iter().copied());
        known_peers.extend(self.known_leader.address());
        self.control_directory.addresses(&self.tables(), &known_peers)
    }

    /// Replaces the seeds after the settings have changed.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.seeds.store(Arc::new(seeds));
    }

    /// Sets whether this member of the control group knows a leader.
    pub fn set_knows_control_leader(&self, knows_leader: bool) {
        self.knows_control_leader.store(knows_leader, Ordering::SeqCst);
    }

    /// Returns whether this member of the control group knows a leader.
    pub fn knows_control_leader(&self) -> bool {
        self.knows_control_leader.load(Ordering::SeqCst)
    }

    /// Sets whether this daemon is a voter.
    pub fn set_is_voter(&self, is_voter: bool) {
        self.is_voter.store(is_voter, Ordering::SeqCst);
    }

    /// Records a daemon that requested a lease.
    pub fn record_lease_requester(&self, peer: SocketAddr) {
        let mut lease_requesters = lock(&self.lease_requesters);
        lease_requesters.retain(|known| *known != peer);
        lease_requesters.push_back(peer);
        if lease_requesters.len() > MAX_LEASE_REQUESTERS {
            lease_requesters.pop_front();
        }
    }

    /// Returns a daemon that requested a lease, rotating through all recorded ones.
    pub fn next_lease_requester(&self) -> Option<SocketAddr> {
        let mut lease_requesters = lock(&self.lease_requesters);
        let requester = lease_requesters.pop_front()?;
        lease_requesters.push_back(requester);
        Some(requester)
    }

    /// Returns the target of calls to the control leader.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.known_leader.ask_first()
    }

    /// Returns the leader that a daemon is referred to if this one can't answer its call. A voter returns `None`, as it refers
    /// only to the current leader of its group: during an election, the last leader is gone.
    pub fn leader_for_others(&self) -> Option<SocketAddr> {
        if self.is_voter.load(Ordering::SeqCst) {
            return None;
        }
        let leader = self.known_leader.address_for_others(monotonic_ms());
        leader.filter(|leader| *leader != self.settings.peer)
    }

    /// Sets the term of the leader that granted the lease.
    pub fn set_leader_term(&self, term: u64) {
        self.leader_term.send_if_modified(|known| {
            let changed = *known != term;
            *known = term;
            changed
        });
    }

    /// Returns the term of the leader that granted the lease.
    pub fn leader_term(&self) -> u64 {
        *self.leader_term.borrow()
    }

    /// Starts a graceful shutdown.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        self.leaving_begun.notify_waiters();
    }

    /// Completes when a graceful shutdown starts; never completes if it has started before the call.
    pub async fn leaving_begun(&self) {
        self.leaving_begun.notified().await;
    }

    /// Returns whether a graceful shutdown has started.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        self.metrics.in_flight.inc();
        InFlight { shared: self.clone() }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Returns the addresses of daemons that accept new work, in order of preference for a session; without this daemon if it
    /// is shutting down.
    pub fn entry_addresses(&self, session: &str, zone: Option<&str>) -> Vec<String> {
        let tables = self.tables();
        let leaving = self.is_leaving();
        let candidates: Vec<EntryCandidate<'_>> = tables
            .reachable_daemons()
            .filter(|daemon| !(leaving && daemon.record.name == self.settings.name))
            .map(|daemon| EntryCandidate {
                name: &daemon.record.name,
                zone: &daemon.record.zone,
                address: daemon.record.http,
            })
            .collect();
        let ordered = entry_order(&candidates, session, zone, MAX_ENTRY_ADDRESSES);
        ordered.iter().map(|candidate| format!("http://{}", candidate.address)).collect()
    }

    /// Returns the peer address of a daemon.
    pub fn peer_address(&self, daemon: &str) -> Option<SocketAddr> {
        self.published.load().tables.daemons.get(daemon).map(|row| row.record.peer)
    }
}
