//! Who this process is within the control group, kept in its data folder.
//!
//! Invariant: an id belongs to one data folder. A process that finds its folder empty takes a new id, for what it
//! promised under the old one is forgotten; it waits to be admitted by the others.

use super::StartError;
use crate::settings::Settings;
use dockwood_api::digest::content_digest;
use dockwood_api::{ApiError, ResultCode};
use dockwood_consensus::{NodeId, Voter};
use dockwood_storage::{DataFolder, load_identity, store_identity};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A member's identity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Its id.
    pub id: NodeId,
    /// The voters with which the group began, at a founding member; empty at one that joined later.
    pub founders: Vec<Voter>,
}

impl Identity {
    /// The stored identity, or a new one that is stored first.
    pub fn obtain(folder: &DataFolder, settings: &Settings) -> Result<Identity, StartError> {
        if let Some(stored) = load_identity(folder)? {
            let decoded = postcard::from_bytes(&stored);
            let unknown = |error: postcard::Error| {
                ApiError::new(ResultCode::FormatUnknown, format!("the identity file: {error}"))
            };
            return Ok(decoded.map_err(unknown)?);
        }
        let identity = Identity::first(settings);
        let encoded = postcard::to_stdvec(&identity).unwrap_or_default();
        store_identity(folder, &encoded)?;
        Ok(identity)
    }

    /// A founder's identity follows from its address, so that all founders agree without a word; any other id is
    /// drawn.
    fn first(settings: &Settings) -> Identity {
        let seeds = &settings.seeds.peers;
        if settings.seeds.founding && seeds.contains(&settings.peer) {
            let founders: Vec<Voter> = seeds.iter().map(|seed| founder(*seed)).collect();
            return Identity { id: founder(settings.peer).id, founders };
        }
        Identity { id: rand::random::<u64>() | 1, founders: Vec::new() }
    }
}

fn founder(address: SocketAddr) -> Voter {
    Voter { id: content_digest(address.to_string().as_bytes()), address }
}
