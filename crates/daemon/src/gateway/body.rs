//! Bodies of requests and answers.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body, Incoming};
use quick_error::quick_error;

quick_error! {
    /// An answer that ends early. The connection is cut, so that it can't look complete.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum CutShort {
        /// The stream could not be continued.
        Broken {
            display("the answer is cut short")
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

/// The body of an answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, CutShort>;

/// A body that is known whole.
pub fn whole(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Reads a body whole.
pub async fn read_whole(mut body: Incoming, limit: usize) -> Result<Bytes, BodyFault> {
    let expected = body.size_hint().lower() as usize;
    if expected > limit {
        return Err(BodyFault::TooLarge);
    }
    let mut gathered = Vec::with_capacity(expected.min(limit));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyFault::Broken)?;
        if let Some(data) = frame.data_ref() {
            if gathered.len() + data.len() > limit {
                return Err(BodyFault::TooLarge);
            }
            gathered.extend_from_slice(data);
        }
    }
    Ok(gathered.into())
}
