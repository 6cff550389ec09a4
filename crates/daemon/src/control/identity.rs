//! Identity of this process within the control group, stored in its data folder.
//!
//! Invariant: an id belongs to one data folder. A process whose folder is empty takes a new id, because it no
//! longer knows its votes and acknowledgements under the old one, and waits until the other members admit it.

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
    /// The initial voters of the group, at a founding member; empty at a member that joined later.
    pub founders: Vec<Voter>,
}

impl Identity {
    /// Loads the stored identity, or generates and stores a new one.
    pub fn load_or_create(folder: &DataFolder, settings: &Settings) -> Result<Identity, StartError> {
        if let Some(stored) = load_identity(folder)? {
            let decoded = postcard::from_bytes(&stored);
            let unknown = |error: postcard::Error| {
                ApiError::new(
                    ResultCode::FormatUnknown,
                    format!("failed to decode the identity file: {error}"),
                )
            };
            return Ok(decoded.map_err(unknown)?);
        }
        let identity = Identity::generate(settings);
        let encoded = postcard::to_stdvec(&identity).unwrap_or_default();
        store_identity(folder, &encoded)?;
        Ok(identity)
    }

    /// Generates an identity. A founder's id is derived from its address, so that all founders compute the same set of
    /// voters without communication; any other id is random.
    fn generate(settings: &Settings) -> Identity {
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
