//! Encoding of states, commands and outcomes: one format byte, then `postcard`.

use crate::command::{Command, Outcome};
use crate::machine::State;
use dockwood_api::{ApiError, ResultCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;

/// First byte of everything encoded here. A later format gets another byte and a reader for this one.
const FORMAT_VERSION: u8 = 3;

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Writing these types to memory can't fail: they hold no maps with unknown length and no foreign code.
    postcard::to_extend(value, vec![FORMAT_VERSION]).unwrap_or_default()
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ApiError> {
    let unknown = |message: String| ApiError::new(ResultCode::FormatUnknown, message);
    match bytes.split_first() {
        Some((&FORMAT_VERSION, body)) => {
            postcard::from_bytes(body).map_err(|error| unknown(error.to_string()))
        }
        Some((version, _)) => Err(unknown(format!("format version {version}"))),
        None => Err(unknown("no content".to_string())),
    }
}

impl State {
    /// The whole state as bytes.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Reads what [`State::encode`] wrote.
    pub fn decode(bytes: &[u8]) -> Result<State, ApiError> {
        decode(bytes)
    }

    /// The state without claims, for daemons that are not voters.
    pub fn encode_configuration(&self) -> Vec<u8> {
        let mut tables = self.tables.clone();
        let configuration = tables.gateway.configuration.take();
        tables.gateway.configuration = configuration.map(|held| Arc::new(held.without_document()));
        let state = State { tables, changes: self.changes.clone(), ..State::default() };
        state.encode()
    }
}

/// A command as bytes.
pub fn encode_command(command: &Command) -> Vec<u8> {
    encode(command)
}

/// Reads what [`encode_command`] wrote.
pub fn decode_command(bytes: &[u8]) -> Result<Command, ApiError> {
    decode(bytes)
}

/// An outcome as bytes.
pub fn encode_outcome(outcome: &Outcome) -> Vec<u8> {
    encode(outcome)
}

/// Reads what [`encode_outcome`] wrote.
pub fn decode_outcome(bytes: &[u8]) -> Result<Outcome, ApiError> {
    decode(bytes)
}
