//! Compresses what the leader sends to each daemon: snapshots and commands, in which names repeat. The
//! leader's link is the bottleneck when all daemons restart.

use dockwood_api::{ApiError, ResultCode};

/// Maximum decompressed size in bytes, a multiple of the largest configuration that operators may send. A
/// larger length was not written by a leader, and must not cause an allocation of that size.
const MAX_DECOMPRESSED_BYTES: usize = 64 << 20;

/// Compresses bytes and prepends the original length.
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    lz4_flex::compress_prepend_size(bytes)
}

/// Reverses [`compress`].
pub fn decompress(bytes: &[u8]) -> Result<Vec<u8>, ApiError> {
    let format_error = |message: String| ApiError::new(ResultCode::FormatUnknown, message);
    let (length, _) =
        lz4_flex::block::uncompressed_size(bytes).map_err(|error| format_error(error.to_string()))?;
    if length > MAX_DECOMPRESSED_BYTES {
        return Err(format_error(format!("{length} bytes are said to be compressed")));
    }
    lz4_flex::decompress_size_prepended(bytes).map_err(|error| format_error(error.to_string()))
}
