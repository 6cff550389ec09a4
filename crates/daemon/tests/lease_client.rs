//! When a daemon may use the configuration lease that it was granted. The test plays the control threads of the daemon and of
//! the leader.

use dockwood_api::event::ClockStamp;
use dockwood_api::peer::{LeaseAnswer, LeaseContent};
use dockwood_daemon::clock::monotonic_ms;
use dockwood_daemon::control::{ControlHandle, ControlMessage, run_lease_client};
use dockwood_daemon::metrics::Metrics;
use dockwood_daemon::peer::serve_peers;
use dockwood_daemon::probe::Reporter;
use dockwood_daemon::published::Published;
use dockwood_daemon::settings::Settings;
use dockwood_daemon::shared::Shared;
use dockwood_daemon::traffic::Traffic;
use dockwood_state::Tables;
use serde_json::json;
use std::io::Result;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Generous time limit: the tests check results, not times.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two answers of the leader.
const ANSWER_INTERVAL: Duration = Duration::from_millis(10);
/// Number of grants after which a lease that may not be used would be in use.
const SEVERAL_GRANTS: u64 = 5;

/// A daemon and the leader that grants its lease.
struct Pair {
    daemon: Arc<Shared>,
    /// The revision that the leader's grants name.
    granted_revision: Arc<AtomicU64>,
    /// The revision up to which the daemon applies what it is sent.
    applied_revision: Arc<AtomicU64>,
    /// Number of grants whose content the daemon has applied.
    grants: Arc<AtomicU64>,
}

fn shared(member: bool) -> Result<(Arc<Shared>, mpsc::Receiver<ControlMessage>)> {
    let folder = tempfile::tempdir()?;
    let settings = json!({
        "name": if member { "leader" } else { "daemon" }, "region": "r", "zone": "z",
        "listen": { "peer": "127.0.0.1:7101", "http": "127.0.0.1:7102" },
        "control": {
            "seeds": ["127.0.0.1:7103"], "seedPeerPort": 7101, "founding": false, "member": member,
            "dataFolder": folder.path(),
        },
        "gateway": { "operators": "127.0.0.1:7105", "zones": { "z": "r" } },
    });
    let path = folder.path().join("settings.yaml");
    std::fs::write(&path, settings.to_string())?;
    let settings = Settings::read(&path).unwrap_or_else(|problems| panic!("{problems:?}"));
    let metrics = Metrics::new().unwrap_or_else(|error| panic!("{error}"));
    let (control, messages) = ControlHandle::new();
    Ok((Arc::new(Shared::new(settings, 1, metrics, control)), messages))
}

/// Grants each lease request at the given revision.
async fn grant_leases(mut messages: mpsc::Receiver<ControlMessage>, revision: Arc<AtomicU64>) {
    while let Some(message) = messages.recv().await {
        let ControlMessage::Lease { request, reply } = message else { continue };
        tokio::time::sleep(ANSWER_INTERVAL).await;
        let through = request.applied_revision;
        let _ = reply.send(LeaseAnswer::Granted {
            term: 1,
            leader: None,
            ask_next: None,
            revision: revision.load(Ordering::SeqCst),
            in_force_revision: 0,
            content: LeaseContent::Commands { commands: Vec::new(), through },
            stamp: ClockStamp::default(),
        });
    }
}

impl Pair {
    /// Starts both; the daemon has applied `applied` of the revision `granted` that the grants name.
    async fn start(granted: u64, applied: u64) -> Result<Pair> {
        let (leader, leader_messages) = shared(true)?;
        let (daemon, daemon_messages) = shared(false)?;
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        daemon.known_leader.announced(monotonic_ms(), listener.local_addr()?, 1);
        daemon.set_seeds(vec![listener.local_addr()?]);
        let traffic = Traffic::start(leader.clone(), Arc::new(Reporter::default()), reqwest::Client::new());
        tokio::spawn(serve_peers(leader, traffic, listener));
        let pair = Pair {
            daemon: daemon.clone(),
            granted_revision: Arc::new(AtomicU64::new(granted)),
            applied_revision: Arc::new(AtomicU64::new(applied)),
            grants: Arc::default(),
        };
        tokio::spawn(grant_leases(leader_messages, pair.granted_revision.clone()));
        tokio::spawn(pair.apply_grants(daemon_messages));
        tokio::spawn(run_lease_client(daemon));
        Ok(pair)
    }

    /// Applies the content of grants up to the given revision, like the daemon's control thread.
    fn apply_grants(
        &self,
        mut messages: mpsc::Receiver<ControlMessage>,
    ) -> impl Future<Output = ()> + Send + use<> {
        let (daemon, applied_revision) = (self.daemon.clone(), self.applied_revision.clone());
        let grants = self.grants.clone();
        async move {
            while let Some(message) = messages.recv().await {
                let ControlMessage::LeaseGranted { reply, .. } = message else { continue };
                let revision = applied_revision.load(Ordering::SeqCst);
                let tables = Arc::new(Tables { revision, ..Tables::default() });
                daemon.publish(Published { tables, ..Published::default() });
                let _ = reply.send(revision);
                grants.fetch_add(1, Ordering::SeqCst);
            }
        }
    }

    async fn wait_for_grants(&self, more: u64) {
        let before = self.grants.load(Ordering::SeqCst);
        wait_until("no lease is granted", || self.grants.load(Ordering::SeqCst) >= before + more).await;
    }
}

async fn wait_until(failure: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TEST_TIMEOUT, "{failure}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against an entry that takes requests before it knows the servers that the leader knew when it granted the lease.
#[tokio::test]
async fn a_lease_is_used_only_once_its_revision_is_applied() -> Result<()> {
    let pair = Pair::start(7, 5).await?;
    pair.wait_for_grants(SEVERAL_GRANTS).await;
    assert!(!pair.daemon.holds_lease() && pair.daemon.lease_left_ms() == 0);
    pair.applied_revision.store(7, Ordering::SeqCst);
    wait_until("the lease is not used", || pair.daemon.holds_lease()).await;
    Ok(())
}

/// Guards against entries that stop to serve whenever a renewal names a newer revision than they have applied.
#[tokio::test]
async fn a_renewal_at_a_newer_revision_does_not_end_the_lease() -> Result<()> {
    let pair = Pair::start(7, 7).await?;
    wait_until("the lease is not used", || pair.daemon.holds_lease()).await;
    pair.granted_revision.store(9, Ordering::SeqCst);
    // A grant at the previous revision may be on its way.
    pair.wait_for_grants(2).await;
    // The clock is read first, then last, so that the time in between can't look like a shorter lease.
    let ends_at = monotonic_ms() + pair.daemon.lease_left_ms();
    pair.wait_for_grants(SEVERAL_GRANTS).await;
    let ends_later_at = pair.daemon.lease_left_ms() + monotonic_ms();
    assert!(ends_later_at >= ends_at, "the lease was shortened");
    Ok(())
}
