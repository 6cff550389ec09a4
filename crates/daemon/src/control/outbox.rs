//! Sends consensus messages to the other members of the control group.

use crate::peer::transfer_time;
use crate::shared::Shared;
use dockwood_api::peer::PeerClient;
use dockwood_api::{ApiError, ResultCode};
use dockwood_consensus::Message;
use dockwood_control::{compress, decompress};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Capacity of one peer's queue. Messages that exceed it are dropped, which the consensus protocol tolerates.
pub const OUTBOX_CAPACITY: usize = 1_024;
/// Maximum number of messages in one call.
const MAX_BATCH_MESSAGES: usize = 64;
/// Size of a batch at which no further message is added, in bytes. A single message may exceed it.
const BATCH_TARGET_BYTES: usize = 256 << 10;
/// Time limit of a call with an empty body.
const BASE_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends the queued messages for one peer in batches, until the queue is closed.
pub async fn run_outbox(shared: Arc<Shared>, address: SocketAddr, mut messages: mpsc::Receiver<Message>) {
    loop {
        let Some(batch) = next_batch(&mut messages).await else { return };
        let encoded = encode_messages(&batch);
        let timeout = BASE_TIMEOUT + transfer_time(encoded.len());
        let call = |client: PeerClient, context| async move { client.consensus(context, encoded).await };
        if shared.voter_peers.call(address, timeout, call).await.is_err() {
            shared.metrics.peer_failures.inc();
        }
    }
}

/// Encodes and compresses messages: a large configuration shrinks to a third, which delays the leader's heartbeats less.
fn encode_messages(messages: &[Message]) -> Vec<u8> {
    // Encoding can't fail: these types contain no maps of unknown length and no custom `Serialize` implementations.
    compress(&postcard::to_stdvec(messages).unwrap_or_default())
}

/// Decodes the output of [`encode_messages`].
pub fn decode_messages(bytes: &[u8]) -> Result<Vec<Message>, ApiError> {
    let encoded = decompress(bytes)?;
    let unknown = |error: postcard::Error| ApiError::new(ResultCode::FormatUnknown, error.to_string());
    postcard::from_bytes(&encoded).map_err(unknown)
}

/// Waits for the messages of the next call; `None` once the queue is closed.
async fn next_batch(messages: &mut mpsc::Receiver<Message>) -> Option<Vec<Message>> {
    let mut batch = vec![messages.recv().await?];
    let mut bytes = batch[0].payload_bytes();
    while batch.len() < MAX_BATCH_MESSAGES && bytes < BATCH_TARGET_BYTES {
        let Ok(message) = messages.try_recv() else { break };
        bytes += message.payload_bytes();
        batch.push(message);
    }
    Some(batch)
}
