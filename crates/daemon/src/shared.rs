//! What all threads of the daemon share.

use crate::clock::monotonic_ms;
use crate::control::ControlHandle;
use crate::control_directory::{ControlAddresses, ControlDirectory};
use crate::gateway::Dispatchers;
use crate::known_leader::KnownLeader;
use crate::lock::lock;
use crate::metrics::Metrics;
use crate::peer::PeerClients;
use crate::published::Published;
use crate::pushback::Pushback;
use crate::scope_dispatchers::ScopeDispatchers;
use crate::settings::Settings;
use crate::suspects::{Suspects, count_suspects};
use crate::timeline::Timeline;
use crate::wakefulness::Wakefulness;
use crate::watch_hub::WatchHub;
use arc_swap::ArcSwap;
use dockwood_api::peer::DaemonRecord;
use dockwood_api::resource::Isolation;
use dockwood_control::LEASE_MS;
use dockwood_routing::{EntryCandidate, Millis, entry_order};
use dockwood_state::Tables;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::{Notify, watch};

/// Daemons that are remembered because they asked for a lease: any of them may know the leader.
const ASKERS: usize = 32;
/// Addresses in an entry answer, at most.
const ENTRY_ADDRESSES: usize = 4;

/// State shared by all threads.
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// Distinguishes restarts of this daemon: its start, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Metrics.
    pub metrics: Metrics,
    /// Time line.
    pub timeline: Timeline,
    /// Retained changes.
    pub watch_hub: WatchHub,
    /// Clients of other daemons.
    pub peers: PeerClients,
    /// Clients of the other voters, for consensus alone: its connections have a thread of their own.
    pub voter_peers: PeerClients,
    /// Who assigns requests to groups.
    pub dispatchers: Dispatchers,
    /// The scopes that this daemon dispatches.
    pub scope_dispatchers: ScopeDispatchers,
    /// Requests that may end the servers that run them.
    pub suspects: Suspects,
    /// Servers that asked for rest, or said that they leave.
    pub pushback: Pushback,
    /// The control leader as it was last heard of.
    pub known_leader: KnownLeader,
    /// Messages to the control thread.
    pub control: ControlHandle,
    published: ArcSwap<Published>,
    publications: watch::Sender<u64>,
    lease_until: AtomicU64,
    /// When the newest lease was asked for.
    lease_asked_at: AtomicU64,
    /// Whether this process runs without a break.
    pub wakefulness: Wakefulness,
    leader_term: watch::Sender<u64>,
    seeds: ArcSwap<Vec<SocketAddr>>,
    control_directory: ControlDirectory,
    hears_control_leader: AtomicBool,
    is_voter: AtomicBool,
    /// Daemons that lately asked this one for a lease, newest last.
    askers: Mutex<VecDeque<SocketAddr>>,
    leaving: AtomicBool,
    leaving_begun: Notify,
    in_flight: AtomicU32,
}

/// Counts a request in flight for as long as it lives.
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
    /// Shared state at the start of the process.
    pub fn new(settings: Settings, incarnation: u64, metrics: Metrics, control: ControlHandle) -> Shared {
        Shared {
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
            lease_asked_at: AtomicU64::new(0),
            wakefulness: Wakefulness::default(),
            suspects: Suspects::default(),
            pushback: Pushback::default(),
            known_leader: KnownLeader::default(),
            askers: Mutex::default(),
            leader_term: watch::channel(0).0,
            seeds: ArcSwap::default(),
            control_directory: ControlDirectory::default(),
            hears_control_leader: AtomicBool::new(false),
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

    /// This daemon's record.
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

    /// The newest published copy.
    pub fn published(&self) -> Arc<Published> {
        self.published.load_full()
    }

    /// The newest tables.
    pub fn tables(&self) -> Arc<Tables> {
        self.published.load().tables.clone()
    }

    /// Replaces the published copy. Only the control thread calls this.
    pub fn publish(&self, next: Published) {
        self.metrics.revision.set(next.tables.revision as i64);
        self.metrics.in_force_revision.set(next.in_force_revision as i64);
        count_suspects(&self.metrics, &next.tables.gateway.suspicion);
        self.published.store(Arc::new(next));
        self.publications.send_modify(|count| *count += 1);
    }

    /// Follows publications.
    pub fn watch_publications(&self) -> watch::Receiver<u64> {
        self.publications.subscribe()
    }

    /// Waits until the published copy has reached a revision; false if it has not by `limit`.
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

    /// Extends the configuration lease that was asked for at `sent_at`.
    pub fn extend_lease(&self, sent_at: Millis) {
        let gateway = self.settings.gateway.as_ref();
        let lease_ms = gateway.and_then(|gateway| gateway.lease_limit_ms()).unwrap_or(LEASE_MS);
        self.lease_until.fetch_max(sent_at + lease_ms.min(LEASE_MS), Ordering::SeqCst);
        self.lease_asked_at.fetch_max(sent_at, Ordering::SeqCst);
    }

    /// Whether the configuration lease holds at this moment. After this process stood still it is asked for anew first: an
    /// entry that was stopped for less than its lease sent a request on that had come under quarantine meanwhile, in 1 of
    /// 4 runs of a test that stops it.
    pub fn holds_lease(&self) -> bool {
        !self.stood_still_since_lease() && monotonic_ms() < self.lease_until.load(Ordering::SeqCst)
    }

    /// Whether this process stood still since it asked for the newest lease that it was granted.
    pub fn stood_still_since_lease(&self) -> bool {
        let woke_at = self.wakefulness.observe(monotonic_ms());
        self.lease_asked_at.load(Ordering::SeqCst) < woke_at
    }

    /// What is left of the configuration lease, in milliseconds.
    pub fn lease_left_ms(&self) -> Millis {
        self.lease_until.load(Ordering::SeqCst).saturating_sub(monotonic_ms())
    }

    /// Whether new work may go to a pool now: with a lease, or where the operator chose to serve on without.
    pub fn may_dispatch(&self, deployment: &str) -> bool {
        let serves_on = || {
            let tables = self.tables();
            tables.deployment(deployment).is_some_and(|spec| spec.isolation == Isolation::ServeLast)
        };
        self.holds_lease() || serves_on()
    }

    /// Where the control group can be asked for: by the settings, and as learnt since.
    pub fn control_addresses(&self) -> Arc<ControlAddresses> {
        let mut known_peers = self.settings.control_peers();
        known_peers.extend(self.seeds.load().iter().copied());
        known_peers.extend(self.known_leader.address());
        self.control_directory.addresses(&self.tables(), &known_peers)
    }

    /// Takes seeds from settings that have changed.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.seeds.store(Arc::new(seeds));
    }

    /// Notes whether this member of the control group knows a leader.
    pub fn set_hears_control_leader(&self, hears: bool) {
        self.hears_control_leader.store(hears, Ordering::SeqCst);
    }

    /// Whether this member of the control group knows a leader.
    pub fn hears_control_leader(&self) -> bool {
        self.hears_control_leader.load(Ordering::SeqCst)
    }

    /// Notes whether this daemon is one of the voters.
    pub fn set_is_voter(&self, is_voter: bool) {
        self.is_voter.store(is_voter, Ordering::SeqCst);
    }

    /// Remembers a daemon that asked for a lease.
    pub fn note_asker(&self, peer: SocketAddr) {
        let mut askers = lock(&self.askers);
        askers.retain(|known| *known != peer);
        askers.push_back(peer);
        if askers.len() > ASKERS {
            askers.pop_front();
        }
    }

    /// A daemon that asked for a lease, another one each time.
    pub fn next_asker(&self) -> Option<SocketAddr> {
        let mut askers = lock(&self.askers);
        let asker = askers.pop_front()?;
        askers.push_back(asker);
        Some(asker)
    }

    /// Where the control leader is to be asked for first.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.known_leader.ask_first()
    }

    /// The leader to name to a daemon that asked this one in vain. A voter names only the one that its group has: while
    /// it elects another one, the last one is gone.
    pub fn leader_for_others(&self) -> Option<SocketAddr> {
        if self.is_voter.load(Ordering::SeqCst) {
            return None;
        }
        let leader = self.known_leader.address_for_others(monotonic_ms());
        leader.filter(|leader| *leader != self.settings.peer)
    }

    /// Notes the term of the leader that granted the lease.
    pub fn set_leader_term(&self, term: u64) {
        self.leader_term.send_if_modified(|known| {
            let changed = *known != term;
            *known = term;
            changed
        });
    }

    /// The term of the leader that granted the lease.
    pub fn leader_term(&self) -> u64 {
        *self.leader_term.borrow()
    }

    /// Begins a planned stop.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        self.leaving_begun.notify_waiters();
    }

    /// Completes when a planned stop begins; not if it has begun before.
    pub async fn leaving_begun(&self) {
        self.leaving_begun.notified().await;
    }

    /// Whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Counts a request in.
    pub fn begin_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        self.metrics.in_flight.inc();
        InFlight { shared: self.clone() }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Addresses of daemons that take new work, best first for this session; never this one if it leaves.
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
        let ordered = entry_order(&candidates, session, zone, ENTRY_ADDRESSES);
        ordered.iter().map(|candidate| format!("http://{}", candidate.address)).collect()
    }

    /// The peer address of a daemon.
    pub fn peer_address(&self, daemon: &str) -> Option<SocketAddr> {
        self.published.load().tables.daemons.get(daemon).map(|row| row.record.peer)
    }
}
