//! Asks the leader for this daemon's configuration lease, over and over.

use super::ControlMessage;
use super::lease_path::LeasePath;
use crate::clock::monotonic_ms;
use crate::peer::PeerFailure;
use crate::shared::Shared;
use dockwood_api::ResultCode;
use dockwood_api::event::Subject;
use dockwood_api::peer::{LeaseAnswer, LeaseContent, LeaseRequest};
use dockwood_control::{FETCH_TIMEOUT_MS, GrantedLease, LEASE_ANSWER_TIMEOUT_MS};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// How long an answer may take.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(LEASE_ANSWER_TIMEOUT_MS);
/// How long a copy of the state may take from another daemon.
const FETCH_TIMEOUT: Duration = Duration::from_millis(FETCH_TIMEOUT_MS);
/// Pause after a request that nobody could answer.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// A voter waits this long for the log to bring what the lease speaks of.
const CATCH_UP: Duration = Duration::from_millis(200);
/// Time between looks at whether the lease still holds.
const LEASE_CHECK: Duration = Duration::from_millis(50);

/// Renews the lease for ever.
pub async fn run_lease_client(shared: Arc<Shared>) {
    tokio::spawn(report_lease_changes(shared.clone()));
    let mut path = LeasePath::new(&shared);
    let mut news = shared.known_leader.watch();
    loop {
        news.mark_unchanged();
        let target = path.next(&shared);
        let sent_at = monotonic_ms();
        let asked = tokio::select! {
            asked = ask(&shared, target) => asked,
            // What the leader answers to a request from before is too old.
            () = shared.wakefulness.woken() => continue,
            // The member that is asked now may be gone, and its answer time out.
            () = other_leader(&shared, &mut news, target) => continue,
            // The leader must learn of a planned stop at once.
            () = shared.leaving_begun() => ask(&shared, target).await,
        };
        match asked {
            Ok(LeaseAnswer::Granted {
                term,
                leader,
                ask_next,
                revision,
                in_force_revision,
                content,
                stamp,
            }) => {
                shared.timeline.observe(stamp);
                if path.asked_directly() {
                    shared.known_leader.granted(monotonic_ms(), leader.unwrap_or(target), term);
                } else {
                    shared.known_leader.set_ask_first(target);
                }
                path.granted(target, ask_next);
                let content = fetched(&shared, content).await;
                let lease = GrantedLease { in_force_revision, content };
                if apply(&shared, lease, revision).await {
                    // Only now: a lease must not be used with a configuration older than the one it brought.
                    shared.extend_lease(sent_at);
                }
                shared.set_leader_term(term);
            }
            Ok(LeaseAnswer::NotLeader { leader }) => {
                path.refused(target, leader);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            Err(_) => {
                path.failed(target);
                shared.metrics.peer_failures.inc();
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Completes once a leader other than `asked` makes itself known.
async fn other_leader(shared: &Shared, news: &mut watch::Receiver<u64>, asked: SocketAddr) {
    loop {
        if news.changed().await.is_err() {
            return std::future::pending().await;
        }
        if shared.leader() != Some(asked) {
            return;
        }
    }
}

async fn ask(shared: &Shared, target: SocketAddr) -> Result<LeaseAnswer, PeerFailure> {
    let request = LeaseRequest {
        daemon: shared.record(),
        incarnation: shared.incarnation,
        applied_revision: shared.tables().revision,
        in_force_revision: shared.published().in_force_revision,
        wants_commands: !shared.settings.is_control_member(),
        leaving: shared.is_leaving(),
        at_once: !shared.holds_lease(),
        in_flight: shared.in_flight(),
        stamp: shared.timeline.stamp(),
    };
    let call =
        |client: dockwood_api::peer::PeerClient, context| async move { client.lease(context, request).await };
    shared.peers.call(target, ANSWER_TIMEOUT, call).await
}

/// The content of a lease; what another daemon holds is fetched from it. Where that fails, nothing comes, and the leader
/// is asked again.
async fn fetched(shared: &Shared, content: LeaseContent) -> LeaseContent {
    let LeaseContent::Fetch { from } = content else { return content };
    let call =
        |client: dockwood_api::peer::PeerClient, context| async move { client.fetch_state(context).await };
    match shared.peers.call(from, FETCH_TIMEOUT, call).await {
        Ok(Some(state)) => LeaseContent::Snapshot(state),
        Ok(None) | Err(_) => {
            shared.metrics.peer_failures.inc();
            tokio::time::sleep(RETRY_PAUSE).await;
            LeaseContent::Commands { commands: Vec::new(), through: 0 }
        }
    }
}

/// Hands the content to the control thread; true once this daemon has applied what the lease brought.
async fn apply(shared: &Shared, lease: GrantedLease, revision: u64) -> bool {
    let (reply, applied) = oneshot::channel();
    shared.control.send(ControlMessage::LeaseGranted { lease, reply }).await;
    let Ok(applied) = applied.await else { return false };
    let by_log = shared.settings.is_control_member();
    applied >= revision || (by_log && shared.wait_for_revision(revision, CATCH_UP).await)
}

async fn report_lease_changes(shared: Arc<Shared>) {
    let mut held = false;
    loop {
        let holds = shared.holds_lease();
        if let Some(still_ms) = shared.wakefulness.take_untold() {
            let subject = Subject::new("daemon", &shared.settings.name);
            let message = format!("this process did not run for {still_ms} ms");
            shared.timeline.record(subject, "StoodStill", &message, None, ResultCode::Ok);
        }
        if holds != held {
            held = holds;
            let subject = Subject::new("daemon", &shared.settings.name);
            let (reason, code) =
                if holds { ("LeaseHeld", ResultCode::Ok) } else { ("LeaseLost", ResultCode::NoLease) };
            shared.timeline.record(subject, reason, "", None, code);
            shared.metrics.lease_held.set(i64::from(holds));
        }
        tokio::time::sleep(LEASE_CHECK).await;
    }
}
