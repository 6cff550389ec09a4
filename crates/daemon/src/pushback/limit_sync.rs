//! Distributes servers' rate limits among the daemons: a daemon reports the limits it receives from servers to the control
//! leader, and the leader sends them to all daemons. Entries therefore apply a limit before the server announces it to them.

use super::{Pushback, update_limit_metric};
use crate::clock::monotonic_ms;
use crate::control::ControlMessage;
use crate::lock::lock;
use crate::shared::Shared;
use dockwood_api::gateway::{LimitUpdate, ServerLimit};
use dockwood_api::peer::PeerClient;
use dockwood_routing::Millis;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time for which changes are collected before they are sent: a third of a large fleet's servers may announce limits at once.
const BATCH_WINDOW: Duration = Duration::from_millis(100);
/// Pause before changes that could not be delivered are sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which the leader sends all limits in force: a daemon that has just started knows none, and a change may be lost.
const FULL_SYNC_INTERVAL: Duration = Duration::from_secs(10);
/// Number of attempts to deliver changes to one daemon.
const MAX_ATTEMPTS: usize = 2;
/// Time limit of one call to a daemon.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Distributes changes of rate limits. Never returns.
pub async fn run_limit_sync(shared: Arc<Shared>) {
    let mut last_full_sync_at = monotonic_ms();
    loop {
        let has_changes =
            tokio::time::timeout(FULL_SYNC_INTERVAL, shared.pushback.limit_changed.notified()).await.is_ok();
        if has_changes {
            tokio::time::sleep(BATCH_WINDOW).await;
        }
        let is_leader = shared.leader() == Some(shared.settings.peer);
        let now = monotonic_ms();
        if shared.settings.is_control_member() {
            let lasting_limits = lock(&shared.pushback.limits).lasting(now);
            shared.control.send(ControlMessage::ServerLimits(lasting_limits)).await;
        }
        let is_full_sync_due =
            is_leader && now >= last_full_sync_at + FULL_SYNC_INTERVAL.as_millis() as Millis;
        let changes = lock(&shared.pushback.limits).take_news(now);
        let limits = if is_full_sync_due { lock(&shared.pushback.limits).all_in_force(now) } else { changes };
        if is_full_sync_due {
            last_full_sync_at = now;
        }
        if limits.is_empty() {
            continue;
        }
        if is_leader {
            broadcast(&shared, limits);
        } else if !send_to_leader(&shared, &limits).await {
            lock(&shared.pushback.limits).return_news(&limits);
            tokio::time::sleep(RETRY_PAUSE).await;
            shared.pushback.limit_changed.notify_one();
        }
    }
}

/// Sends limits to all reachable daemons. A daemon that misses them receives them with the next full synchronization.
fn broadcast(shared: &Arc<Shared>, limits: Vec<ServerLimit>) {
    let tables = shared.tables();
    let others = tables.reachable_daemons().map(|daemon| daemon.record.peer);
    for daemon in others.filter(|daemon| *daemon != shared.settings.peer) {
        let (shared, limits) = (shared.clone(), limits.clone());
        tokio::spawn(async move {
            send_limits(&shared, daemon, LimitUpdate { limits, is_from_leader: true }).await
        });
    }
}

async fn send_to_leader(shared: &Arc<Shared>, limits: &[ServerLimit]) -> bool {
    let Some(leader) = shared.leader() else { return false };
    send_limits(shared, leader, LimitUpdate { limits: limits.to_vec(), is_from_leader: false }).await
}

async fn send_limits(shared: &Shared, daemon: SocketAddr, news: LimitUpdate) -> bool {
    // An old connection to a daemon that has restarted fails on the first call.
    for _ in 0..MAX_ATTEMPTS {
        let news = news.clone();
        let call = |client: PeerClient, context| async move { client.share_limits(context, news).await };
        if shared.peers.call(daemon, CALL_TIMEOUT, call).await.is_ok() {
            return true;
        }
        shared.metrics.peer_failures.inc();
    }
    false
}

impl Pushback {
    /// Applies limits received from another daemon. Changes are forwarded unless they come from the leader, which sends
    /// them to all daemons itself.
    pub fn take_news(&self, shared: &Shared, news: &LimitUpdate) {
        news.limits.iter().for_each(|limit| self.merge(shared, limit, !news.is_from_leader));
    }

    /// Applies one limit received from another daemon if it is newer. With `forwards`, the change is sent to other daemons.
    pub(super) fn merge(&self, shared: &Shared, limit: &ServerLimit, forwards: bool) {
        let mut limits = lock(&self.limits);
        let Some(change) = limits.merge(monotonic_ms(), limit, forwards) else { return };
        update_limit_metric(&shared.metrics, &limits);
        drop(limits);
        self.record_limit_change(
            shared,
            &limit.server,
            change,
            &format!("told by another daemon, heard {} ms ago", limit.heard_ago_ms),
        );
        if forwards {
            self.limit_changed.notify_one();
        }
    }
}
