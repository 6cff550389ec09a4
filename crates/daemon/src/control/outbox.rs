//! Messages to the other members of the control group.

use crate::shared::Shared;
use dockwood_api::peer::PeerClient;
use dockwood_api::{ApiError, ResultCode};
use dockwood_consensus::Message;
use dockwood_control::{compress, decompress};
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
/// How long a peer may take for a call without content.
const SEND_TIMEOUT: Duration = Duration::from_millis(400);
/// What each millisecond of the time allowed is good for beyond that, in bytes: a tenth of a link of 100 Mbit/s, which may
/// be busy with copies of the state.
const BYTES_PER_MS: usize = 1_250;

/// Sends one peer's messages, as many as wait in one call, for ever.
pub async fn run_outbox(shared: Arc<Shared>, address: SocketAddr, mut messages: mpsc::Receiver<Message>) {
    loop {
        let Some(batch) = next_batch(&mut messages).await else { return };
        let encoded = encode_messages(&batch);
        let allowed = SEND_TIMEOUT + Duration::from_millis((encoded.len() / BYTES_PER_MS) as u64);
        let call = |client: PeerClient, context| async move { client.consensus(context, encoded).await };
        if shared.voter_peers.call(address, allowed, call).await.is_err() {
            shared.metrics.peer_failures.inc();
        }
    }
}

/// Messages as they are sent: a large configuration takes a third of its room, and less of the time in which a leader must
/// be heard.
fn encode_messages(messages: &[Message]) -> Vec<u8> {
    // Writing these types to memory can't fail: they hold no maps with unknown length and no foreign code.
    compress(&postcard::to_stdvec(messages).unwrap_or_default())
}

/// Reads what [`encode_messages`] wrote.
pub fn decode_messages(bytes: &[u8]) -> Result<Vec<Message>, ApiError> {
    let encoded = decompress(bytes)?;
    let unknown = |error: postcard::Error| ApiError::new(ResultCode::FormatUnknown, error.to_string());
    postcard::from_bytes(&encoded).map_err(unknown)
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
