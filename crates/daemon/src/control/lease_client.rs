//! Renews this daemon's configuration lease at the leader.

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

/// Time limit for the answer to a lease request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(LEASE_ANSWER_TIMEOUT_MS);
/// Time limit for fetching a snapshot of the state from another daemon.
const FETCH_TIMEOUT: Duration = Duration::from_millis(FETCH_TIMEOUT_MS);
/// Pause after a failed or refused request.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time limit for a member of the control group to apply the revision of its lease from the replicated log.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between checks whether the lease is still valid.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Renews the lease for the life of the process.
pub async fn run_lease_client(shared: Arc<Shared>) {
    tokio::spawn(report_lease_changes(shared.clone()));
    let mut path = LeasePath::new(&shared);
    let mut leader_changes = shared.known_leader.watch();
    loop {
        leader_changes.mark_unchanged();
        let target = path.next(&shared);
        let sent_at = monotonic_ms();
        let answer = tokio::select! {
            answer = request_lease(&shared, target) => answer,
            // The answer to a request from before the pause is outdated.
            () = shared.pause_detector.resumed() => continue,
            // The current target may be down, and waiting for it would end in a timeout.
            () = other_leader_known(&shared, &mut leader_changes, target) => continue,
            // The leader must learn of a graceful shutdown at once.
            () = shared.leaving_begun() => request_lease(&shared, target).await,
        };
        match answer {
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
                let content = resolve_content(&shared, content).await;
                let lease = GrantedLease { in_force_revision, content };
                if apply_lease(&shared, lease, revision).await {
                    // Not before the content is applied: a lease must not be used with a configuration older than its own.
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

/// Completes once a leader other than `target` announces itself.
async fn other_leader_known(shared: &Shared, leader_changes: &mut watch::Receiver<u64>, target: SocketAddr) {
    loop {
        if leader_changes.changed().await.is_err() {
            return std::future::pending().await;
        }
        if shared.leader() != Some(target) {
            return;
        }
    }
}

async fn request_lease(shared: &Shared, target: SocketAddr) -> Result<LeaseAnswer, PeerFailure> {
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

/// Returns the content of a lease, fetching the snapshot from another daemon if the leader refers to one. If that fails,
/// the content is empty, and the next request to the leader tries again.
async fn resolve_content(shared: &Shared, content: LeaseContent) -> LeaseContent {
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

/// Passes the lease to the control thread; returns true once this daemon has applied its revision.
async fn apply_lease(shared: &Shared, lease: GrantedLease, revision: u64) -> bool {
    let (reply, applied) = oneshot::channel();
    shared.control.send(ControlMessage::LeaseGranted { lease, reply }).await;
    let Ok(applied) = applied.await else { return false };
    let applies_log = shared.settings.is_control_member();
    applied >= revision || (applies_log && shared.wait_for_revision(revision, CATCH_UP_TIMEOUT).await)
}

async fn report_lease_changes(shared: Arc<Shared>) {
    let mut held = false;
    loop {
        let holds = shared.holds_lease();
        if let Some(paused_ms) = shared.pause_detector.take_unreported_pause() {
            let subject = Subject::new("daemon", &shared.settings.name);
            let message = format!("this process did not run for {paused_ms} ms");
            shared.timeline.record(subject, "StoodStill", &message, None, ResultCode::Ok);
        }
        if holds != held {
            held = holds;
            let subject = Subject::new("daemon", &shared.settings.name);
            let (reason, code) =
                if holds { ("LeaseHeld", ResultCode::Ok) } else { ("LeaseLost", ResultCode::NoLease) };
            let tables = shared.tables();
            let (revision, servers) = (tables.revision, tables.gateway.instances.len());
            let message = format!("revision {revision} is applied, {servers} servers are known");
            shared.timeline.record(subject, reason, &message, None, code);
            shared.metrics.lease_held.set(i64::from(holds));
        }
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
    }
}
