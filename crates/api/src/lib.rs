//! Types shared by every dockwood program: resources, result codes, and the messages that cross a wire.
//!
//! This crate is the lowest layer. It holds data and its validation; it makes no decision, opens no file or
//! socket and reads no clock. The only behaviour here is encoding, checking and naming.

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
