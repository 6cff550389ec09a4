//! Bodies of servers' responses to the daemon's own calls, which are held completely: a faulty server may send bytes without
//! end.

use crate::framed_response::{CallFault, FramedResponse};
use quick_error::quick_error;
use serde::de::DeserializeOwned;

/// Maximum size of the body of a response to a probe, an order or a query, in bytes.
pub const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Maximum size of a list of machines, in bytes.
pub const MAX_LIST_BYTES: usize = 16 << 20;

quick_error! {
    /// Why a response can't be used.
    #[derive(Debug)]
    pub enum ResponseFault {
        /// It was not received in time, ended early, or its head begins no response.
        Call(fault: CallFault) {
            display("{}", fault)
            from()
        }
        /// It is larger than allowed.
        TooLarge {
            display("the response is too large")
        }
        /// It is not the expected JSON.
        Unreadable(error: serde_json::Error) {
            display("{}", error)
            from()
        }
    }
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
/// [`ResponseFault::Call`] or [`ResponseFault::TooLarge`].
pub async fn read_bounded(mut response: FramedResponse, limit: usize) -> Result<Vec<u8>, ResponseFault> {
    let mut body = Vec::new();
    while let Some(part) = response.chunk().await? {
        if body.len() + part.len() > limit {
            return Err(ResponseFault::TooLarge);
        }
        body.extend_from_slice(&part);
    }
    Ok(body)
}

/// Reads a JSON body of at most `limit` bytes.
///
/// # Errors
/// All of [`ResponseFault`].
pub async fn read_json<T: DeserializeOwned>(
    response: FramedResponse,
    limit: usize,
) -> Result<T, ResponseFault> {
    Ok(serde_json::from_slice(&read_bounded(response, limit).await?)?)
}
