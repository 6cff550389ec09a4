//! RPC between daemons, based on `tarpc`.

mod clients;
mod frame_reader;
mod leader_search;
mod relay;
mod server;
mod submit;
mod transport;

pub use clients::{PeerClients, PeerFailure};
pub use leader_search::LeaderSearch;
pub use relay::pick_relay;
pub use server::serve_peers;
pub use submit::{control_view, read_document, read_revision, register, submit};
pub use transport::transfer_time;
