//! The error type that is sent between processes.

use crate::code::ResultCode;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// An error with a result code and a human-readable message.
    #[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
    pub enum ApiError {
        /// A result code with its message.
        Coded(code: ResultCode, message: String) {
            display("{}: {}", code, message)
        }
    }
}

impl ApiError {
    /// Creates an error from a code and a message.
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        ApiError::Coded(code, message.into())
    }

    /// Returns the result code.
    pub fn code(&self) -> ResultCode {
        let ApiError::Coded(code, _) = self;
        *code
    }

    /// Returns the human-readable message.
    pub fn message(&self) -> &str {
        let ApiError::Coded(_, message) = self;
        message
    }
}

/// JSON body of every error response, both on the resource API and on the API for callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// Details of an error. The fields `type`, `code` and `message` are named as OpenAI-compatible clients expect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ErrorDetail {
    /// Number of the result code.
    pub code: u16,
    /// Name of the result code.
    #[serde(rename = "type")]
    pub name: String,
    /// Human-readable message.
    pub message: String,
    /// `not-run`, `running`, `done` or `unknown`; absent on the resource API.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<crate::caller::Outcome>,
    /// Other addresses that accept new requests, if the caller should use them instead.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub addresses: Vec<String>,
    /// When to retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The current resource, if a compare-and-set operation failed because of it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<serde_json::Value>,
}

impl ErrorBody {
    /// Creates a body with a code and a message only.
    pub fn new(error: &ApiError) -> Self {
        ErrorBody {
            error: ErrorDetail {
                code: error.code().number(),
                name: error.code().name().to_string(),
                message: error.message().to_string(),
                outcome: None,
                addresses: Vec::new(),
                retry_after_ms: None,
                current: None,
            },
        }
    }
}
