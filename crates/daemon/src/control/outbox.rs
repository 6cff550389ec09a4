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
/// Size from which on no further message joins a call, in bytes: one message may itself be as large.
const ENOUGH_BYTES: usize = 256 << 10;
/// How long a peer may take.
const SEND_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends one peer's messages, as many as wait in one call, for ever.
pub async fn run_outbox(shared: Arc<Shared>, address: SocketAddr, mut messages: mpsc::Receiver<Message>) {
    loop {
        let Some(batch) = next_batch(&mut messages).await else { return };
        let encoded = postcard::to_stdvec(&batch).unwrap_or_default();
        let call = |client: PeerClient, context| async move { client.consensus(context, encoded).await };
        if shared.voter_peers.call(address, SEND_TIMEOUT, call).await.is_err() {
            shared.metrics.peer_failures.inc();
        }
    }
}

/// The messages of the next call; `None` once there will be no more.
async fn next_batch(messages: &mut mpsc::Receiver<Message>) -> Option<Vec<Message>> {
    let mut batch = vec![messages.recv().await?];
    let mut bytes = batch[0].payload_bytes();
    while batch.len() < BATCH && bytes < ENOUGH_BYTES {
        let Ok(message) = messages.try_recv() else { break };
        bytes += message.payload_bytes();
        batch.push(message);
    }
    Some(batch)
}
