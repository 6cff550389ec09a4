//! Response bodies that are forwarded while they are received.

use crate::log_line::LineBody;
use crate::logging;
use bytes::Bytes;
use futures::{Stream, StreamExt};
use poem::Body;

/// Creates a body that aborts its connection on an error. The HTTP library terminates a failed body as if it were
/// complete. This is prevented only by a panic in the task of the connection, which affects no other connection.
pub fn stream_or_abort<S, E>(chunks: S) -> Body
where
    S: Stream<Item = Result<Bytes, E>> + Send + 'static,
    E: std::error::Error + Send + Sync + 'static,
{
    Body::from_bytes_stream(chunks.map(|chunk| match chunk {
        Ok(bytes) => Ok::<Bytes, std::io::Error>(bytes),
        Err(error) => {
            let message = format!("aborting the connection of a streamed response after an error: {error}");
            logging::write("", LineBody::Fault { message: &message });
            std::panic::resume_unwind(Box::new("the body of a streamed response failed"))
        }
    }))
}
