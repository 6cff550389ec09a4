//! The source of a stream: a place at a group, or a server of a plain service.

use super::Gateway;
use super::loads::GroupPlace;
use super::server_selection::SelectedServer;
use crate::log_line::ChosenBy;
use crate::pushback::SendTarget;
use std::net::SocketAddr;

/// The source of a stream.
pub enum Source {
    /// A place at a group.
    Group(GroupPlace),
    /// A server of a plain service.
    Server(SelectedServer),
}

impl Source {
    /// Returns whether a request may be written to it now. Must be called immediately before writing: the process may
    /// have been suspended since the source was selected.
    pub fn may_send(&self, gateway: &Gateway, service: &str) -> bool {
        let (is_cold, valid_until) = match self {
            Source::Group(place) => (place.is_cold, place.valid_until),
            Source::Server(server) => (server.row.is_cold, server.valid_until),
        };
        gateway.cold.may_send(&gateway.shared.metrics, service, self.instance(), is_cold, valid_until)
    }

    /// Returns the address of the server that the request is sent to.
    pub fn address(&self) -> SocketAddr {
        match self {
            Source::Group(place) => place.head,
            Source::Server(server) => server.row.address,
        }
    }

    /// Returns the server's instance id.
    pub fn instance(&self) -> &str {
        match self {
            Source::Group(place) => &place.target.start.id,
            Source::Server(server) => &server.row.id,
        }
    }

    /// Returns the server as the target of a send permit.
    pub fn target(&self) -> SendTarget {
        match self {
            Source::Group(place) => place.target.clone(),
            Source::Server(server) => SendTarget::instance(&server.row),
        }
    }

    /// Returns the server's zone.
    pub fn zone(&self) -> &str {
        match self {
            Source::Group(place) => &place.zone,
            Source::Server(server) => &server.row.zone,
        }
    }

    /// Returns who selected it, if it is a group.
    pub fn chosen_by(&self) -> Option<ChosenBy> {
        match self {
            Source::Group(place) => Some(place.chosen_by),
            Source::Server(_) => None,
        }
    }

    /// Returns the epoch of the group, if it is one.
    pub fn epoch(&self) -> Option<u64> {
        match self {
            Source::Group(place) => Some(place.epoch),
            Source::Server(_) => None,
        }
    }
}
