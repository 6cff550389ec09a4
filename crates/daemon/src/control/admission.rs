//! Requests admission as a voter for as long as no leader is known: at the first start of a process that is not a
//! founder, and after it lost its disk or was removed from the group.

use super::ControlMessage;
use crate::peer::LeaderSearch;
use crate::shared::Shared;
use dockwood_api::peer::{AdmitAnswer, PeerClient};
use std::sync::Arc;
use std::time::Duration;

/// Time between two admission requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit of one request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Requests admission whenever no leader is known. Runs for the life of a process that is configured as a member; a
/// request from a process that is a voter already has no effect.
pub async fn run_admission(shared: Arc<Shared>, id: u64) {
    let mut targets = LeaderSearch::new(&shared);
    let mut use_requester = false;
    loop {
        tokio::time::sleep(REQUEST_INTERVAL).await;
        if shared.knows_control_leader() {
            continue;
        }
        // Alternates between known members and daemons that requested a lease here: the members may not know the leader
        // either, while an entry may have found it.
        use_requester = !use_requester;
        let requester =
            if use_requester && !targets.has_hint() { shared.next_lease_requester() } else { None };
        let target = requester.unwrap_or_else(|| targets.next(&shared));
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
            // The leader may be a daemon that is unknown here.
            Ok(AdmitAnswer::NotLeader { leader }) => targets.record_redirect(target, leader),
            Err(_) => targets.record_failure(),
        }
    }
}
