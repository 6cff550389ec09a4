//! Messages to the other members of the control group.

use crate::shared::Shared;
use dockwood_api::peer::PeerClient;
use dockwood_consensus::Message;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Messages that may wait for one peer; when it is full, messages are lost, which consensus survives.
pub const OUTBOX: usize = 1_024;
/// Messages of one call, at most.
const BATCH: usize = 64;
/// How long a peer may take.
const SEND_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends one peer's messages, as many as wait in one call, for ever.
pub async fn run_outbox(shared: Arc<Shared>, address: SocketAddr, mut messages: mpsc::Receiver<Message>) {
    loop {
        let mut batch = Vec::new();
        if messages.recv_many(&mut batch, BATCH).await == 0 {
            return;
        }
        let encoded = postcard::to_stdvec(&batch).unwrap_or_default();
        let call = |client: PeerClient, context| async move { client.consensus(context, encoded).await };
        if shared.peers.call(address, SEND_TIMEOUT, call).await.is_err() {
            shared.metrics.peer_failures.inc();
        }
    }
}
