//! A stand-in for what the platform gives: model engines, plain services, the weight store and the lagging
//! list of machines. Many machines run in one process, each on its own address.
//!
//! It speaks the protocol of `dockwood_api::engine` and knows nothing of dockwood's inside. What really ran is
//! written to a ledger, by which tests and experiments judge.

pub mod cli;
mod config;
mod fleet;
mod group;
mod http;
mod ledger;
mod machine;
mod manner;
mod platform;
mod prefix_cache;
mod run;
mod text;
mod weights;

pub use config::{ConfigError, EngineConfig, EngineModel, FleetConfig, ServiceConfig, ServiceServerConfig};
pub use fleet::{Fleet, FleetHandle};
pub use ledger::{LedgerRecord, LedgerWriter, read_ledger};
pub use manner::REST_S;
pub use text::{FATAL_PROMPT, answer_length, expected_answer, prompt_digest, token_count, token_text};

/// Milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
