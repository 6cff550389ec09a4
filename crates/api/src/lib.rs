//! Types shared by all dockwood programs: resources, result codes, and the messages sent between processes.
//!
//! This crate is the lowest layer. It defines data types with their encoding, validation and names. It makes
//! no decisions, opens no files or sockets, and reads no clock.

pub mod caller;
pub mod code;
pub mod digest;
pub mod engine;
pub mod error;
pub mod event;
pub mod gateway;
pub mod peer;
pub mod resource;

pub use code::ResultCode;
pub use error::ApiError;
