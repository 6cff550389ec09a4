//! The fleet file: the machines and services to emulate, and their speed.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

quick_error! {
    /// Why a fleet file could not be loaded.
    #[derive(Debug)]
    pub enum ConfigError {
        /// The file could not be read.
        Read(path: PathBuf, error: std::io::Error) {
            display("{}: {}", path.display(), error)
        }
        /// The file is not a valid fleet file.
        Parse(path: PathBuf, message: String) {
            display("{}: {}", path.display(), message)
        }
    }
}

/// An emulated fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct FleetConfig {
    /// Random seed, currently unused.
    pub seed: u64,
    /// Address of the admin port and the platform's list.
    pub admin: SocketAddr,
    /// Ledger file; its directory must exist.
    pub ledger: PathBuf,
    /// Total bandwidth of the weight store, in MiB per second.
    pub store_mib_per_second: u64,
    /// Delay of the platform's list of machines, in milliseconds.
    pub list_lag_ms: u64,
    /// Performance model of the engines.
    #[serde(default)]
    pub model: EngineModel,
    /// Machines with engines.
    pub engines: Vec<EngineConfig>,
    /// Plain services.
    #[serde(default)]
    pub services: Vec<ServiceConfig>,
}

/// Performance model of an engine: step times and capacity.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct EngineModel {
    /// Time of a decode step with an empty batch, in microseconds.
    pub step_micros: u64,
    /// Additional step time per running request, in microseconds.
    pub per_request_micros: u64,
    /// Additional step time per prompt token that is not cached, in microseconds.
    pub prefill_token_micros: u64,
    /// Maximum number of requests in the running batch.
    pub max_batch: usize,
    /// KV blocks of one group.
    pub kv_blocks: u32,
    /// Tokens per KV block.
    pub block_tokens: u32,
    /// Maximum age of the load in a health response, in milliseconds.
    pub load_lag_ms: u64,
    /// Publication delay of cache events, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// One cache event in this many is lost; 0 for none.
    pub cache_event_gap: u64,
}

impl Default for EngineModel {
    fn default() -> Self {
        EngineModel {
            step_micros: 8_000,
            per_request_micros: 60,
            prefill_token_micros: 40,
            max_batch: 48,
            kv_blocks: 4_096,
            block_tokens: 16,
            load_lag_ms: 200,
            cache_event_lag_ms: 300,
            cache_event_gap: 16,
        }
    }
}

/// An emulated machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct EngineConfig {
    /// Server name.
    pub name: String,
    /// Engine address.
    pub address: SocketAddr,
    /// Fabric domain.
    pub domain: String,
    /// Zone.
    pub zone: String,
    /// Whether the machine rejects orders below its highest fence.
    pub checks_fences: bool,
}

/// An emulated plain service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ServiceConfig {
    /// Service name.
    pub name: String,
    /// Duration of a call, in milliseconds.
    pub call_ms: u64,
    /// Servers of the service.
    pub servers: Vec<ServiceServerConfig>,
}

/// A server of a plain service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ServiceServerConfig {
    /// Name within the service.
    pub name: String,
    /// HTTP address.
    pub address: SocketAddr,
    /// Zone.
    pub zone: String,
}

impl FleetConfig {
    /// Reads a fleet file.
    pub fn read(path: &Path) -> Result<FleetConfig, ConfigError> {
        let text =
            std::fs::read_to_string(path).map_err(|error| ConfigError::Read(path.to_path_buf(), error))?;
        serde_saphyr::from_str(&text)
            .map_err(|error| ConfigError::Parse(path.to_path_buf(), error.to_string()))
    }
}
