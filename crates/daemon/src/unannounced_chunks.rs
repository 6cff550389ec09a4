//! Recognizes chunks in a body that is announced to end with its connection: the line of its head that announced them is
//! missing or spoilt, and the body is not what the server meant.

use crate::response_framing::ResponseFraming;

/// Maximum length of the line with the size of a chunk, with its line break, in bytes.
const MAX_SIZE_LINE_BYTES: usize = 18;
/// Consistent chunks of this length in all are no coincidence, even if the last one is missing, in bytes.
const MIN_CHUNKED_BYTES: usize = 64;
const LINE_BREAK: &[u8] = b"\r\n";

/// Returns whether a body with this framing, or its first part, is in chunks that its head did not announce.
pub fn has_unannounced_chunks(framing: ResponseFraming, received: &[u8]) -> bool {
    framing == ResponseFraming::UntilClose && is_in_chunks(received)
}

/// Returns whether a body, or its first part, is in chunks.
pub fn is_in_chunks(received: &[u8]) -> bool {
    let mut rest = received;
    while let Some((size, data)) = split_size_line(rest) {
        if size == 0 {
            return data.starts_with(LINE_BREAK);
        }
        if data.len() < size {
            return is_conclusive(received, rest);
        }
        let Some(after) = data[size..].strip_prefix(LINE_BREAK) else { return false };
        rest = after;
    }
    rest.is_empty() && is_conclusive(received, rest)
}

/// Returns whether an event begins with the size of a chunk, as the first one of a stream in chunks does.
pub fn begins_with_chunk(event: &[u8]) -> bool {
    split_size_line(event).is_some()
}

fn is_conclusive(received: &[u8], rest: &[u8]) -> bool {
    received.len() - rest.len() >= MIN_CHUNKED_BYTES
}

/// Returns the size of the chunk with which these bytes begin, and what follows its line.
fn split_size_line(bytes: &[u8]) -> Option<(usize, &[u8])> {
    let start = &bytes[..bytes.len().min(MAX_SIZE_LINE_BYTES)];
    let end = start.windows(LINE_BREAK.len()).position(|window| window == LINE_BREAK)?;
    let digits = std::str::from_utf8(&start[..end]).ok()?;
    // `from_str_radix` would accept a sign.
    let is_number = digits.bytes().all(|digit| digit.is_ascii_hexdigit());
    let size = usize::from_str_radix(digits, 16).ok().filter(|_| is_number)?;
    Some((size, &bytes[end + LINE_BREAK.len()..]))
}
