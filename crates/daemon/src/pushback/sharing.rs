//! Daemons tell each other of servers that named a limit: who has been told by a server tells the control leader, and that
//! tells all daemons. A limit that one entry hears holds at the others before they hear it themselves.

use super::{Pushback, show_limits};
use crate::clock::monotonic_ms;
use crate::control::ControlMessage;
use crate::lock::lock;
use crate::shared::Shared;
use dockwood_api::gateway::{LimitNews, ServerLimit};
use dockwood_api::peer::PeerClient;
use dockwood_routing::Millis;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time for which news are gathered before they are sent on: a third of a large fleet's servers may name limits at once.
const GATHERED_FOR: Duration = Duration::from_millis(100);
/// Pause before news that reached nobody are sent again.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time between two tellings of all limits that are in force: a daemon that has just started knows none, and news may be lost.
const ALL_TOLD_EVERY: Duration = Duration::from_secs(10);
/// How often a daemon is called that doesn't take the news.
const TRIES: usize = 2;
/// How long a daemon may take to take news.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// Passes on news of limits, for ever.
pub async fn run_sharing(shared: Arc<Shared>) {
    let mut all_told_at = monotonic_ms();
    loop {
        let is_news = tokio::time::timeout(ALL_TOLD_EVERY, shared.pushback.news.notified()).await.is_ok();
        if is_news {
            tokio::time::sleep(GATHERED_FOR).await;
        }
        let leads = shared.leader() == Some(shared.settings.peer);
        let now = monotonic_ms();
        if shared.settings.is_control_member() {
            let lasting = lock(&shared.pushback.limits).lasting(now);
            shared.control.send(ControlMessage::ServerLimits(lasting)).await;
        }
        let tells_all = leads && now >= all_told_at + ALL_TOLD_EVERY.as_millis() as Millis;
        let news = lock(&shared.pushback.limits).take_news(now);
        let told = if tells_all { lock(&shared.pushback.limits).all_in_force(now) } else { news };
        if tells_all {
            all_told_at = now;
        }
        if told.is_empty() {
            continue;
        }
        if leads {
            tell_all(&shared, told);
        } else if !tell_leader(&shared, &told).await {
            lock(&shared.pushback.limits).return_news(&told);
            tokio::time::sleep(RETRY_AFTER).await;
            shared.pushback.news.notify_one();
        }
    }
}

/// Tells all daemons that were heard lately. Who misses it hears with the next telling of all limits.
fn tell_all(shared: &Arc<Shared>, limits: Vec<ServerLimit>) {
    let tables = shared.tables();
    let others = tables.reachable_daemons().map(|daemon| daemon.record.peer);
    for daemon in others.filter(|daemon| *daemon != shared.settings.peer) {
        let (shared, limits) = (shared.clone(), limits.clone());
        tokio::spawn(async move { tell(&shared, daemon, LimitNews { limits, is_from_leader: true }).await });
    }
}

async fn tell_leader(shared: &Arc<Shared>, limits: &[ServerLimit]) -> bool {
    let Some(leader) = shared.leader() else { return false };
    tell(shared, leader, LimitNews { limits: limits.to_vec(), is_from_leader: false }).await
}

async fn tell(shared: &Shared, daemon: SocketAddr, news: LimitNews) -> bool {
    // A connection to a daemon that has started anew breaks with the first call on it.
    for _ in 0..TRIES {
        let news = news.clone();
        let call = |client: PeerClient, context| async move { client.share_limits(context, news).await };
        if shared.peers.call(daemon, ANSWER_LIMIT, call).await.is_ok() {
            return true;
        }
        shared.metrics.peer_failures.inc();
    }
    false
}

impl Pushback {
    /// Takes what another daemon tells. What is new is passed on, unless the leader told it, which tells all.
    pub fn take_news(&self, shared: &Shared, news: &LimitNews) {
        news.limits.iter().for_each(|limit| self.merge(shared, limit, !news.is_from_leader));
    }

    /// Takes what another daemon knows of one server, if that is newer. `spreads`: others are to be told.
    pub(super) fn merge(&self, shared: &Shared, limit: &ServerLimit, spreads: bool) {
        let mut limits = lock(&self.limits);
        let Some(change) = limits.merge(monotonic_ms(), limit, spreads) else { return };
        show_limits(&shared.metrics, &limits);
        drop(limits);
        self.tell_limit(
            shared,
            &limit.server,
            change,
            &format!("told by another daemon, heard {} ms ago", limit.heard_ago_ms),
        );
        if spreads {
            self.news.notify_one();
        }
    }
}
