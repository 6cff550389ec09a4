//! The source of a stream: a place at a group, or a server of a plain service.

use super::loads::GroupPlace;
use super::server_selection::SelectedServer;
use super::write_permit::Selection;
use crate::log_line::ChosenBy;
use std::net::SocketAddr;

/// The source of a stream.
pub enum Source {
    /// A place at a group.
    Group(GroupPlace),
    /// A server of a plain service.
    Server(SelectedServer),
}

impl Source {
    /// Returns what has to be checked before a request is written to it.
    pub fn selection(&self) -> Selection<'_> {
        match self {
            Source::Group(place) => Selection {
                target: place.target.clone(),
                zone: &place.zone,
                is_cold: place.is_cold,
                valid_until: place.valid_until,
            },
            Source::Server(server) => server.selection(),
        }
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
