//! Where a stream comes from: a place at a group, or a server of a plain service.

use super::Gateway;
use super::loads::GroupPlace;
use super::targets::Picked;
use crate::log_line::ChosenBy;
use crate::pushback::SendTarget;
use std::net::SocketAddr;

/// Where a stream comes from.
pub enum Source {
    /// A place at a group.
    Group(GroupPlace),
    /// A server of a plain service.
    Server(Picked),
}

impl Source {
    /// Whether a request may be written to it now. To be asked at that very moment: the process may have been stopped
    /// since the source was chosen.
    pub fn may_be_sent(&self, gateway: &Gateway, service: &str) -> bool {
        let (is_cold, valid_until) = match self {
            Source::Group(place) => (place.is_cold, place.valid_until),
            Source::Server(picked) => (picked.row.is_cold, picked.valid_until),
        };
        gateway.cold.may_send(&gateway.shared.metrics, service, self.instance(), is_cold, valid_until)
    }

    /// Address of the server that is sent the request.
    pub fn address(&self) -> SocketAddr {
        match self {
            Source::Group(place) => place.head,
            Source::Server(picked) => picked.row.address,
        }
    }

    /// Its instance id.
    pub fn instance(&self) -> &str {
        match self {
            Source::Group(place) => &place.addressee.start.id,
            Source::Server(picked) => &picked.row.id,
        }
    }

    /// The server that is sent the request, as what is sent to it is answered for.
    pub fn addressee(&self) -> SendTarget {
        match self {
            Source::Group(place) => place.addressee.clone(),
            Source::Server(picked) => SendTarget::instance(&picked.row),
        }
    }

    /// Its zone.
    pub fn zone(&self) -> &str {
        match self {
            Source::Group(place) => &place.zone,
            Source::Server(picked) => &picked.row.zone,
        }
    }

    /// Who chose it, if it is a group.
    pub fn chosen_by(&self) -> Option<ChosenBy> {
        match self {
            Source::Group(place) => Some(place.chosen_by),
            Source::Server(_) => None,
        }
    }

    /// Epoch of its group, if it heads one.
    pub fn epoch(&self) -> Option<u64> {
        match self {
            Source::Group(place) => Some(place.epoch),
            Source::Server(_) => None,
        }
    }
}
