//! Compresses what the leader sends to each daemon: copies of the state and commands, whose names repeat. The leader's
//! link is what a restart of all daemons waits for.

use dockwood_api::{ApiError, ResultCode};

/// What may come of one piece, in bytes: some times the largest configuration that operators may send. A length beyond
/// was not written by a leader, and is no reason to ask for that much memory.
const MOST_BYTES: usize = 64 << 20;

/// Compressed bytes, with their length before.
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    lz4_flex::compress_prepend_size(bytes)
}

/// Reads what [`compress`] wrote.
pub fn decompress(bytes: &[u8]) -> Result<Vec<u8>, ApiError> {
    let damaged = |message: String| ApiError::new(ResultCode::FormatUnknown, message);
    let (length, _) =
        lz4_flex::block::uncompressed_size(bytes).map_err(|error| damaged(error.to_string()))?;
    if length > MOST_BYTES {
        return Err(damaged(format!("{length} bytes are said to be compressed")));
    }
    lz4_flex::decompress_size_prepended(bytes).map_err(|error| damaged(error.to_string()))
}
