//! Durable storage of one node: a log in segments and a snapshot, under one data folder.
//!
//! Records are opaque bytes with a length and a checksum. A torn tail, which a crash during a write leaves, is
//! cut; damage before the tail stops the process with a numbered error, since what follows may have been
//! acknowledged. Nothing counts as stored before it is synced, and a failed sync is final.
//! What records mean is the caller's business.

mod error;
mod folder;
mod log;
mod segment;
mod snapshot;

pub use error::StorageError;
pub use folder::{DataFolder, FORMAT_VERSION};
pub use log::{LogStats, RecordLog};
pub use segment::{MAX_RECORD_BYTES, RECORD_HEADER_BYTES};
pub use snapshot::{StoredSnapshot, load_identity, load_snapshot, store_identity, store_snapshot};
