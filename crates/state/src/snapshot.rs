//! Encoding of states, commands and outcomes: one format byte, then `postcard`.

use crate::command::{Command, Outcome};
use crate::machine::State;
use crate::suspicion::SuspicionTable;
use crate::tables::Tables;
use dockwood_api::{ApiError, ResultCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// First byte of everything encoded here. A later format gets another byte and a reader for this one.
const FORMAT_VERSION: u8 = 3;
/// First byte of a state that is followed by its table of suspicions; one of [`FORMAT_VERSION`] has none.
const SUSPICION_VERSION: u8 = 4;
/// First byte of a state that is followed by its table of suspicions and the starts of removed instances.
const STATE_VERSION: u8 = 5;

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    encode_as(FORMAT_VERSION, value)
}

fn encode_as<T: Serialize>(version: u8, value: &T) -> Vec<u8> {
    // Writing these types to memory can't fail: they hold no maps with unknown length and no foreign code.
    postcard::to_extend(value, vec![version]).unwrap_or_default()
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ApiError> {
    let unknown = |message: String| ApiError::new(ResultCode::FormatUnknown, message);
    match bytes.split_first() {
        Some((&FORMAT_VERSION, body)) => decode_body(body),
        Some((version, _)) => Err(unknown(format!("format version {version}"))),
        None => Err(unknown("no content".to_string())),
    }
}

fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, ApiError> {
    postcard::from_bytes(body).map_err(|error| ApiError::new(ResultCode::FormatUnknown, error.to_string()))
}

impl State {
    /// The whole state as bytes.
    pub fn encode(&self) -> Vec<u8> {
        let gateway = &self.tables.gateway;
        encode_as(STATE_VERSION, &(self, &gateway.suspicion, gateway.removed_starts()))
    }

    /// Reads what [`State::encode`] wrote.
    pub fn decode(bytes: &[u8]) -> Result<State, ApiError> {
        let mut state: State = match bytes.split_first() {
            Some((&STATE_VERSION, body)) => {
                let (mut state, suspicion, starts): (State, SuspicionTable, Vec<(String, u64)>) =
                    decode_body(body)?;
                state.tables.gateway.suspicion = suspicion;
                state.tables.gateway.restore_removed_starts(starts);
                state
            }
            Some((&SUSPICION_VERSION, body)) => {
                let (mut state, suspicion): (State, SuspicionTable) = decode_body(body)?;
                state.tables.gateway.suspicion = suspicion;
                state
            }
            _ => decode(bytes)?,
        };
        state.tables.gateway.suspicion.index();
        state.tables.gateway.index_members();
        Ok(state)
    }

    /// The state as daemons need it that are not voters: without claims, and with the part of the gateway's tables that
    /// routing needs.
    pub fn encode_for_followers(&self) -> Vec<u8> {
        let tables = Tables { gateway: self.tables.gateway.for_followers(), ..self.tables.clone() };
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
