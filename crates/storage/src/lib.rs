//! Durable storage of one node: a segmented log, a snapshot and the node's identity, in one data folder.
//!
//! Records are opaque bytes with a length and a checksum. A torn tail, which a crash during a write leaves, is
//! truncated. Corruption before the tail is reported as an error with a result code, and the process must stop, since
//! the records that follow may have been acknowledged. Data counts as stored only once it is synced, and a
//! failed sync is final.

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
