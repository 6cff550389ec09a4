//! Bodies of responses.

use crate::response_framing::ResponseFraming;
use crate::suspects::SuspectGate;
use crate::unannounced_chunks::has_unannounced_chunks;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited, combinators::UnsyncBoxBody};
use hyper::Version;
use hyper::body::{Body, Incoming};
use quick_error::quick_error;

/// Maximum size of a response body that has to be received completely before it is forwarded, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// A response body of a plain service that is not larger than this is received completely before it is forwarded, in bytes.
const MAX_WHOLE_RESPONSE_BYTES: usize = 64 << 10;

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

/// Body of a response.
pub type ResponseBody = UnsyncBoxBody<Bytes, Truncated>;

/// Creates a body from complete content.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Reads the body of a response; `None` if it is too large, ended early, is in chunks that were not announced, or may be
/// truncated because it ends with its connection and its server did not survive it.
pub async fn read_response_body(
    gate: &SuspectGate,
    framing: ResponseFraming,
    body: Incoming,
) -> Option<Bytes> {
    if body.size_hint().lower() > MAX_RESPONSE_BYTES as u64 {
        return None;
    }
    let bytes = Limited::new(body, MAX_RESPONSE_BYTES).collect().await.ok()?.to_bytes();
    if has_unannounced_chunks(framing, &bytes) {
        return None;
    }
    is_complete_at_end(gate, framing).await.then_some(bytes)
}

/// Returns whether a body that has ended without an error is complete.
pub async fn is_complete_at_end(gate: &SuspectGate, framing: ResponseFraming) -> bool {
    framing != ResponseFraming::UntilClose || gate.server_survives().await
}

/// A response body, as far as it is received before it is forwarded.
pub enum ReceivedBody {
    /// The complete body.
    Whole(Bytes),
    /// The first part of a large body.
    Partial {
        /// What was received.
        received: Bytes,
        /// What follows.
        rest: Incoming,
        /// How the body is delimited.
        framing: ResponseFraming,
    },
}

/// Returns whether a response may be forwarded before it is complete. Without a length, it would look complete to a caller of
/// HTTP/1.0 if it was broken off.
pub fn may_forward_partially(version: Version, framing: ResponseFraming) -> bool {
    version >= Version::HTTP_11 || matches!(framing, ResponseFraming::Length(_))
}

/// Reads the body of a response, or the first part of a large one; `None` if it ended early, is in chunks that were not
/// announced, or may be truncated because it ends with its connection and its server did not survive it.
pub async fn read_first_part(
    gate: &SuspectGate,
    framing: ResponseFraming,
    mut body: Incoming,
) -> Option<ReceivedBody> {
    let mut received = Vec::new();
    while received.len() <= MAX_WHOLE_RESPONSE_BYTES {
        let Some(frame) = body.frame().await else {
            let is_complete =
                !has_unannounced_chunks(framing, &received) && is_complete_at_end(gate, framing).await;
            return is_complete.then(|| ReceivedBody::Whole(received.into()));
        };
        if let Ok(data) = frame.ok()?.into_data() {
            received.extend_from_slice(&data);
        }
    }
    if has_unannounced_chunks(framing, &received) {
        return None;
    }
    Some(ReceivedBody::Partial { received: received.into(), rest: body, framing })
}
