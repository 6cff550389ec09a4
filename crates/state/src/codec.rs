//! Encoding of states, commands and outcomes: one byte with the format version, followed by `postcard`.

use crate::command::{Command, Outcome};
use crate::machine::State;
use crate::prompt_suspicion::PromptSuspicionTable;
use crate::suspicion::SuspicionTable;
use crate::tables::Tables;
use dockwood_api::{ApiError, ResultCode};
use imbl::OrdSet;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// First byte of commands and outcomes, and of states written by earlier versions. A later format takes another value,
/// and this one stays readable.
const FORMAT_VERSION: u8 = 3;
/// First byte of a state that is followed by its suspicion table; a state of [`FORMAT_VERSION`] has none.
const STATE_WITH_SUSPICION_VERSION: u8 = 4;
/// First byte of a state that is followed by its suspicion table and the start times of removed instances.
const STATE_WITH_STARTS_VERSION: u8 = 5;
/// First byte of a state that is followed by these and the suspicion table of prompts.
const STATE_WITH_PROMPTS_VERSION: u8 = 6;
/// First byte of a state that is followed by these and the groups with settled joins.
const STATE_VERSION: u8 = 7;

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    encode_as(FORMAT_VERSION, value)
}

fn encode_as<T: Serialize>(version: u8, value: &T) -> Vec<u8> {
    // Serializing these types to memory can't fail: they contain no maps of unknown length and no foreign `Serialize`
    // implementations.
    postcard::to_extend(value, vec![version]).unwrap_or_default()
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ApiError> {
    let format_error = |message: String| ApiError::new(ResultCode::FormatUnknown, message);
    match bytes.split_first() {
        Some((&FORMAT_VERSION, body)) => decode_body(body),
        Some((version, _)) => Err(format_error(format!("format version {version}"))),
        None => Err(format_error("no content".to_string())),
    }
}

fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, ApiError> {
    postcard::from_bytes(body).map_err(|error| ApiError::new(ResultCode::FormatUnknown, error.to_string()))
}

impl State {
    /// Encodes the whole state.
    pub fn encode(&self) -> Vec<u8> {
        let gateway = &self.tables.gateway;
        let starts = gateway.removed_starts();
        let (suspicion, prompt_suspicion) = (&gateway.suspicion, &gateway.prompt_suspicion);
        let settled_joins = gateway.settled_joins();
        // Daemons of earlier versions that are not voters read the state as long as it has none of these groups.
        if settled_joins.is_empty() {
            return encode_as(STATE_WITH_PROMPTS_VERSION, &(self, suspicion, starts, prompt_suspicion));
        }
        encode_as(STATE_VERSION, &(self, suspicion, starts, prompt_suspicion, settled_joins))
    }

    /// Decodes the output of [`State::encode`], also that of earlier versions.
    pub fn decode(bytes: &[u8]) -> Result<State, ApiError> {
        let mut state: State = match bytes.split_first() {
            Some((&STATE_VERSION, body)) => {
                let (mut state, suspicion, starts, prompt_suspicion, settled_joins): (
                    State,
                    SuspicionTable,
                    Vec<(String, u64)>,
                    PromptSuspicionTable,
                    OrdSet<u64>,
                ) = decode_body(body)?;
                state.tables.gateway.suspicion = suspicion;
                state.tables.gateway.prompt_suspicion = prompt_suspicion;
                state.tables.gateway.restore_removed_starts(starts);
                state.tables.gateway.restore_settled_joins(settled_joins);
                state
            }
            Some((&STATE_WITH_PROMPTS_VERSION, body)) => {
                let (mut state, suspicion, starts, prompt_suspicion): (
                    State,
                    SuspicionTable,
                    Vec<(String, u64)>,
                    PromptSuspicionTable,
                ) = decode_body(body)?;
                state.tables.gateway.suspicion = suspicion;
                state.tables.gateway.prompt_suspicion = prompt_suspicion;
                state.tables.gateway.restore_removed_starts(starts);
                state
            }
            Some((&STATE_WITH_STARTS_VERSION, body)) => {
                let (mut state, suspicion, starts): (State, SuspicionTable, Vec<(String, u64)>) =
                    decode_body(body)?;
                state.tables.gateway.suspicion = suspicion;
                state.tables.gateway.restore_removed_starts(starts);
                state
            }
            Some((&STATE_WITH_SUSPICION_VERSION, body)) => {
                let (mut state, suspicion): (State, SuspicionTable) = decode_body(body)?;
                state.tables.gateway.suspicion = suspicion;
                state
            }
            _ => decode(bytes)?,
        };
        state.tables.gateway.suspicion.rebuild_index();
        state.tables.gateway.prompt_suspicion.rebuild_index();
        state.tables.gateway.rebuild_memberships();
        Ok(state)
    }

    /// Encodes the state for daemons that are not voters: without claims, and with only the part of the gateway's tables
    /// that routing needs.
    pub fn encode_for_non_voters(&self) -> Vec<u8> {
        let tables = Tables { gateway: self.tables.gateway.for_non_voters(), ..self.tables.clone() };
        let state = State { tables, changes: self.changes.clone(), ..State::default() };
        state.encode()
    }
}

/// Encodes a command.
pub fn encode_command(command: &Command) -> Vec<u8> {
    encode(command)
}

/// Decodes the output of [`encode_command`].
pub fn decode_command(bytes: &[u8]) -> Result<Command, ApiError> {
    decode(bytes)
}

/// Encodes an outcome.
pub fn encode_outcome(outcome: &Outcome) -> Vec<u8> {
    encode(outcome)
}

/// Decodes the output of [`encode_outcome`].
pub fn decode_outcome(bytes: &[u8]) -> Result<Outcome, ApiError> {
    decode(bytes)
}
