//! Bodies that are passed on as they arrive.

use crate::log_line::LineBody;
use crate::logging;
use bytes::Bytes;
use futures::{Stream, StreamExt};
use poem::Body;

/// A body that cuts its connection when it fails. The HTTP library ends a body that fails as if it were whole; only
/// the end of the connection's task, which takes nothing else along, keeps it from doing so.
pub fn whole_or_cut<S, E>(pieces: S) -> Body
where
    S: Stream<Item = Result<Bytes, E>> + Send + 'static,
    E: std::error::Error + Send + Sync + 'static,
{
    Body::from_bytes_stream(pieces.map(|piece| match piece {
        Ok(bytes) => Ok::<Bytes, std::io::Error>(bytes),
        Err(error) => {
            let message = format!("a streamed answer is cut: {error}");
            logging::write("", LineBody::Fault { message: &message });
            std::panic::resume_unwind(Box::new("a streamed answer is cut"))
        }
    }))
}
