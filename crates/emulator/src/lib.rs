//! Emulator of the platform: model engines, plain services, the weight store and the platform's delayed list
//! of machines. Many machines run in one process, each on its own address.
//!
//! It implements the protocol of `dockwood_api::engine` and is independent of dockwood's internals.
//! Everything that was actually executed is recorded in a ledger, on which tests and experiments base their
//! checks.

pub mod cli;
mod config;
mod fleet;
mod group;
mod http;
mod ledger;
mod machine;
mod platform;
mod prefix_cache;
mod pushback;
mod run;
mod text;
mod weights;

pub use config::{ConfigError, EngineConfig, EngineModel, FleetConfig, ServiceConfig, ServiceServerConfig};
pub use fleet::{Fleet, FleetHandle};
pub use ledger::{LedgerRecord, LedgerWriter, read_ledger};
pub use pushback::BACKOFF_S;
pub use text::{FATAL_PROMPT, answer_length, expected_answer, prompt_digest, token_count, token_text};

/// Returns the current time in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
