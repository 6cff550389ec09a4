//! The daemon's own calls to servers, whose responses are read through reqwest: a response is only available if its head
//! delimits its body.

use crate::response_framing::{HeadFault, ResponseFraming};
use bytes::Bytes;
use quick_error::quick_error;
use reqwest::header::HeaderMap;
use reqwest::{RequestBuilder, Response, StatusCode};

quick_error! {
    /// Why a call has no response, or no further part of one.
    #[derive(Debug)]
    pub enum CallFault {
        /// There was no response in time, or it can't be read.
        Http(error: reqwest::Error) {
            display("{}", error)
            from()
        }
        /// Its head begins no response.
        Head(fault: HeadFault) {
            display("{}", fault)
            from()
        }
        /// Its body ended with the connection, and its server did not survive that, or it is in chunks that were not
        /// announced.
        BrokenBody {
            display("the body is truncated, or in chunks that were not announced")
        }
    }
}

impl CallFault {
    /// Returns whether no connection was established, so that nothing was sent.
    pub fn is_connect(&self) -> bool {
        matches!(self, CallFault::Http(error) if error.is_connect())
    }

    /// Returns whether the time limit has passed.
    pub fn is_timeout(&self) -> bool {
        matches!(self, CallFault::Http(error) if error.is_timeout())
    }
}

/// A response whose head delimits its body.
#[derive(Debug)]
pub struct FramedResponse {
    response: Response,
    framing: ResponseFraming,
}

impl FramedResponse {
    /// Status of the response.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Headers of the response.
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// How the body is delimited.
    pub fn framing(&self) -> ResponseFraming {
        self.framing
    }

    /// Reads the next part of the body; `None` at its end.
    ///
    /// # Errors
    /// [`CallFault::Http`] if the body ended early.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, CallFault> {
        Ok(self.response.chunk().await?)
    }

    /// Returns the response if its status is a success.
    pub fn success(self) -> Option<FramedResponse> {
        self.response.status().is_success().then_some(self)
    }
}

/// Sends a request, and returns the response once its head has arrived.
///
/// # Errors
/// Why there is none.
pub async fn send_request(request: RequestBuilder) -> Result<FramedResponse, CallFault> {
    let (client, request) = request.build_split();
    let request = request?;
    let method = request.method().clone();
    let response = client.execute(request).await?;
    let (version, status) = (response.version(), response.status());
    let framing = ResponseFraming::of(&method, version, status, response.headers())?;
    Ok(FramedResponse { response, framing })
}
