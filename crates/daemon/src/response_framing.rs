//! Decides how the body of a server's response is delimited, from its head alone (RFC 9112, section 6.3). A head that does
//! not tell this unambiguously begins no response: what follows is not known to be the server's body.

use crate::header_list::list_items;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::{Method, StatusCode, Version};
use quick_error::quick_error;
use serde::Serialize;
use std::ops::Range;

/// The only transfer coding that requests accept, as they have no `TE` header.
const CHUNKED: &str = "chunked";

/// The statuses of final responses. No request asks for another protocol, so 101 is none of them.
const FINAL_STATUSES: Range<u16> = 200..600;

/// How the body of a response is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFraming {
    /// There is no body.
    NoBody {
        /// The length that the body would have if the request were not a HEAD request, in bytes.
        omitted_length: Option<u64>,
    },
    /// The body has this number of bytes.
    Length(u64),
    /// The body is in chunks, of which the last one is marked.
    Chunked,
    /// The body ends with its connection, which also ends if the server crashes.
    UntilClose,
}

quick_error! {
    /// Why a response can't be used because of its head.
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
    #[serde(rename_all = "camelCase")]
    pub enum HeadFault {
        /// The status is not that of a final response.
        Status {
            display("the status is not that of a final response")
        }
        /// The transfer coding is not exactly `chunked`.
        TransferCoding {
            display("the transfer coding is not 'chunked'")
        }
        /// The length is not one decimal number.
        Length {
            display("the length is not a number")
        }
        /// It tells neither a length nor that the connection will be closed.
        NoLength {
            display("the end of the body is not known")
        }
        /// It tells a length although the body is in chunks; either may be wrong.
        LengthBesideChunks {
            display("the head tells a length beside chunks")
        }
        /// It announces a body although its status says that there is none.
        BodyBesideNoContent {
            display("the head announces a body that its status excludes")
        }
        /// It names another request, several, or none.
        Attempt {
            display("the head does not name the request")
        }
        /// It is a success without the server's signature.
        Signature {
            display("the success has no signature")
        }
        /// The body is in a coding that the request does not accept.
        ContentCoding {
            display("the request does not accept the coding of the body")
        }
    }
}

impl ResponseFraming {
    /// Decides the framing of the response to a request with this method.
    ///
    /// # Errors
    /// Why the head begins no response.
    pub fn of(
        method: &Method,
        version: Version,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<ResponseFraming, HeadFault> {
        if !FINAL_STATUSES.contains(&status.as_u16()) {
            return Err(HeadFault::Status);
        }
        let is_chunked = is_chunked(headers)?;
        let length = content_length(headers)?;
        if is_chunked && length.is_some() {
            return Err(HeadFault::LengthBesideChunks);
        }
        if method == Method::HEAD {
            return Ok(ResponseFraming::NoBody { omitted_length: length });
        }
        if status == StatusCode::NO_CONTENT && (is_chunked || length.unwrap_or(0) > 0) {
            return Err(HeadFault::BodyBesideNoContent);
        }
        if matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
            return Ok(ResponseFraming::NoBody { omitted_length: None });
        }
        match length {
            _ if is_chunked => Ok(ResponseFraming::Chunked),
            Some(length) => Ok(ResponseFraming::Length(length)),
            // On a connection that stays open, such a body would have no end.
            None if closes_connection(version, headers) => Ok(ResponseFraming::UntilClose),
            None => Err(HeadFault::NoLength),
        }
    }

    /// Returns the length for the head of a response with this framing, in bytes, if it is known from the start.
    pub fn content_length(self) -> Option<u64> {
        match self {
            ResponseFraming::Length(length) => Some(length),
            ResponseFraming::NoBody { omitted_length } => omitted_length,
            ResponseFraming::Chunked | ResponseFraming::UntilClose => None,
        }
    }
}

/// Returns whether the body is in chunks.
fn is_chunked(headers: &HeaderMap) -> Result<bool, HeadFault> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else { return Ok(false) };
    let is_chunked = coding.to_str().is_ok_and(|coding| coding.trim().eq_ignore_ascii_case(CHUNKED));
    match is_chunked && codings.next().is_none() {
        true => Ok(true),
        false => Err(HeadFault::TransferCoding),
    }
}

/// Returns whether the server will close the connection after the response (RFC 9112, section 9.3).
fn closes_connection(version: Version, headers: &HeaderMap) -> bool {
    let has_option =
        |name: &str| list_items(headers, CONNECTION).any(|option| option.eq_ignore_ascii_case(name));
    has_option("close") || (version < Version::HTTP_11 && !has_option("keep-alive"))
}

/// Returns the length that the head declares, in bytes. Several equal ones count as one.
fn content_length(headers: &HeaderMap) -> Result<Option<u64>, HeadFault> {
    let mut length = None;
    for number in list_items(headers, CONTENT_LENGTH) {
        let number = parse_decimal(number).ok_or(HeadFault::Length)?;
        if length.is_some_and(|length| length != number) {
            return Err(HeadFault::Length);
        }
        length = Some(number);
    }
    Ok(length)
}

/// Parses a number without a sign.
fn parse_decimal(text: &str) -> Option<u64> {
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}
