//! Health probing of machines: each replica is probed by one daemon, its watcher, and each machine outside a replica by
//! the daemon that rendezvous hashing selects.

mod engine_client;
mod instance_probe;
mod machine_prober;
mod platform;
mod replica_watcher;
mod reporter;

pub use engine_client::{EngineClient, ProbeFailure};
pub use instance_probe::probe_instance;
pub use machine_prober::run_machine_prober;
pub use platform::run_platform_reader;
pub use replica_watcher::run_replica_watcher;
pub use reporter::{Reporter, run_reporter};
