//! Asks to be a voter for as long as no leader is heard of: at the first start of a process that is no founder, and
//! after its disk or its place in the group was lost.

use super::ControlMessage;
use crate::peer::Targets;
use crate::shared::Shared;
use dockwood_api::peer::PeerClient;
use std::sync::Arc;
use std::time::Duration;

/// Time between two requests.
const ASK_EVERY: Duration = Duration::from_millis(250);
/// How long one member may take.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks for ever, at a process that is meant to be a member; a voter's request changes nothing.
pub async fn run_admission(shared: Arc<Shared>, id: u64) {
    let mut targets = Targets::new(&shared);
    loop {
        tokio::time::sleep(ASK_EVERY).await;
        if shared.hears_control_leader() {
            continue;
        }
        let target = targets.next(&shared);
        let address = shared.settings.peer;
        if target == address {
            continue;
        }
        let call =
            |client: PeerClient, context| async move { client.admit_voter(context, id, address).await };
        if let Ok(Some(voters)) = shared.peers.call(target, ANSWER_TIMEOUT, call).await {
            targets.hint(Some(target));
            shared.control.send(ControlMessage::LearnVoters(voters)).await;
        }
    }
}
