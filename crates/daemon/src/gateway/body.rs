//! Bodies of requests and responses.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body, Incoming};
use quick_error::quick_error;

quick_error! {
    /// A truncated response. The connection is closed, so that the response can't appear complete.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Truncated {
        /// The stream could not be resumed.
        Broken {
            display("the response is truncated")
        }
    }
}

quick_error! {
    /// Why a body could not be read.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum BodyFault {
        /// It is larger than allowed.
        TooLarge {
            display("the body is too large")
        }
        /// It ended early.
        Broken {
            display("the body ended early")
        }
    }
}

/// Body of a response.
pub type ResponseBody = UnsyncBoxBody<Bytes, Truncated>;

/// Creates a body from complete content.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Reads a complete body of at most `limit` bytes.
pub async fn read_body(mut body: Incoming, limit: usize) -> Result<Bytes, BodyFault> {
    let expected = body.size_hint().lower() as usize;
    if expected > limit {
        return Err(BodyFault::TooLarge);
    }
    let mut buffer = Vec::with_capacity(expected.min(limit));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyFault::Broken)?;
        if let Some(data) = frame.data_ref() {
            if buffer.len() + data.len() > limit {
                return Err(BodyFault::TooLarge);
            }
            buffer.extend_from_slice(data);
        }
    }
    Ok(buffer.into())
}
