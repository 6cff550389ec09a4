//! HTTP interfaces of the emulated fleet.

mod admin;
mod engine;
mod server;
mod service;

pub use admin::serve_admin;
pub use engine::serve_machine;
pub use service::serve_service;
