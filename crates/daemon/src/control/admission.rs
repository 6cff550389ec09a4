//! Asks to be a voter for as long as no leader is heard of: at the first start of a process that is no founder, and
//! after its disk or its place in the group was lost.

use super::ControlMessage;
use crate::peer::LeaderSearch;
use crate::shared::Shared;
use dockwood_api::peer::{AdmitAnswer, PeerClient};
use std::sync::Arc;
use std::time::Duration;

/// Time between two requests.
const ASK_EVERY: Duration = Duration::from_millis(250);
/// How long one member may take.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks for ever, at a process that is meant to be a member; a voter's request changes nothing.
pub async fn run_admission(shared: Arc<Shared>, id: u64) {
    let mut targets = LeaderSearch::new(&shared);
    let mut asks_asker = false;
    loop {
        tokio::time::sleep(ASK_EVERY).await;
        if shared.hears_control_leader() {
            continue;
        }
        // In turns: the members that this one knows may know as little, and an entry may have found the leader.
        asks_asker = !asks_asker;
        let asker = if asks_asker && !targets.has_hint() { shared.next_asker() } else { None };
        let target = asker.unwrap_or_else(|| targets.next(&shared));
        let address = shared.settings.peer;
        let zone = shared.settings.zone.clone();
        if target == address {
            continue;
        }
        let call =
            |client: PeerClient, context| async move { client.admit_voter(context, id, address, zone).await };
        match shared.peers.call(target, ANSWER_TIMEOUT, call).await {
            Ok(AdmitAnswer::Noted(voters)) => {
                targets.record_leader(target);
                shared.control.send(ControlMessage::LearnVoters(voters)).await;
            }
            // The leader need not be among the daemons that this one knows.
            Ok(AdmitAnswer::NotLeader { leader }) => targets.record_redirect(target, leader),
            Err(_) => targets.record_failure(),
        }
    }
}
