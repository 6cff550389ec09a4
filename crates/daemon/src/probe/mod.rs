//! Evidence on machines: each replica has one watcher among the daemons, and each machine outside a replica
//! one prober, found by rendezvous hash.

mod engine_client;
mod machine_prober;
mod platform;
mod replica_watcher;
mod reporter;

pub use engine_client::{EngineClient, ProbeFailure};
pub use machine_prober::run_machine_prober;
pub use platform::run_platform_reader;
pub use replica_watcher::run_replica_watcher;
pub use reporter::{Reporter, run_reporter};
