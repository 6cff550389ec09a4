//! The one error type that crosses process borders.

use crate::code::ResultCode;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// A numbered refusal or failure with a message for people.
    #[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
    pub enum ApiError {
        /// A code and what led to it.
        Coded(code: ResultCode, message: String) {
            display("{}: {}", code, message)
        }
    }
}

impl ApiError {
    /// Builds an error from a code and a message.
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        ApiError::Coded(code, message.into())
    }

    /// The numbered code.
    pub fn code(&self) -> ResultCode {
        let ApiError::Coded(code, _) = self;
        *code
    }

    /// The message for people.
    pub fn message(&self) -> &str {
        let ApiError::Coded(_, message) = self;
        message
    }
}

/// The JSON body of every refusal, on the resource API and towards callers alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The refusal.
    pub error: ErrorDetail,
}

/// What a refusal says. The fields `type`, `code` and `message` are where OpenAI-style clients look for them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ErrorDetail {
    /// The code's number.
    pub code: u16,
    /// The code's name.
    #[serde(rename = "type")]
    pub name: String,
    /// For people.
    pub message: String,
    /// `not-run`, `running`, `done` or `unknown`; absent on the resource API.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<crate::caller::Outcome>,
    /// Other addresses that take new work, where the caller should go elsewhere.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub addresses: Vec<String>,
    /// When to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The current resource, where a compare-and-set lost.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<serde_json::Value>,
}

impl ErrorBody {
    /// A body with a code and a message and nothing else.
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
