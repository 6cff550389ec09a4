//! Which zones the voters are in, by the daemons' rows, and what the time line tells when one of them holds too many.

use crate::Millis;
use crate::driver_io::Moment;
use crate::node::ControlNode;
use crate::zone_balance::{ZoneCounts, ZonesById};
use dockwood_api::ResultCode;
use dockwood_consensus::Voter;
use dockwood_state::Tables;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A zone that has held too many voters for this long is told of: a replacement passes through a smaller group for
/// less.
const TOLD_AFTER_MS: Millis = 5_000;

/// Zones of daemons that may be voters, by peer address.
#[derive(Clone, Debug, Default)]
pub struct MemberZones(BTreeMap<SocketAddr, String>);

impl MemberZones {
    fn of(tables: &Tables) -> Self {
        let rows = tables.daemons.values().filter(|row| row.record.frontend.is_none());
        MemberZones(rows.map(|row| (row.record.peer, row.record.zone.clone())).collect())
    }
}

/// Watches for a zone that holds half of the voters or more.
#[derive(Clone, Debug, Default)]
pub struct ZoneWatch {
    since: Option<Millis>,
    is_told: bool,
}

/// What the time line is to tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneNews {
    /// A zone holds too many voters.
    TooFull,
    /// None does any more.
    Balanced,
}

/// A voter as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterShown {
    /// Its peer address.
    pub address: SocketAddr,
    /// Its zone, where known.
    pub zone: Option<String>,
    /// Since when it has not answered; the leader itself is never silent.
    pub silent_ms: Millis,
}

impl ZoneWatch {
    /// Notes whether some zone holds too many voters.
    pub fn note(&mut self, now: Millis, is_too_full: bool) -> Option<ZoneNews> {
        if !is_too_full {
            self.since = None;
            return std::mem::take(&mut self.is_told).then_some(ZoneNews::Balanced);
        }
        let since = *self.since.get_or_insert(now);
        if self.is_told || now < since + TOLD_AFTER_MS {
            return None;
        }
        self.is_told = true;
        Some(ZoneNews::TooFull)
    }
}

impl<R> ControlNode<R> {
    /// The voters' zones: by the row of the daemon at a voter's address, else as it said when it asked to be admitted.
    pub(crate) fn voter_zones(&mut self) -> ZonesById {
        let Some(voter) = &self.voter else { return ZonesById::new() };
        let member_zones = self.member_zones.get(&self.board.state.tables, MemberZones::of);
        let zone = |id, address| {
            let told = || voter.leadership.as_ref().and_then(|leadership| leadership.candidates.zone_of(id));
            member_zones.0.get(&address).or_else(told).filter(|zone| !zone.is_empty()).cloned()
        };
        let voters = voter.known_voters().into_iter();
        voters.filter_map(|voter| Some((voter.id, zone(voter.id, voter.address)?))).collect()
    }

    /// Voters by zone, at a member of the control group.
    pub fn voters_by_zone(&mut self) -> ZoneCounts {
        let zones = self.voter_zones();
        let voters = self.voter.as_ref().map(|voter| voter.known_voters()).unwrap_or_default();
        ZoneCounts::of(&voters, &zones)
    }

    /// The voters as the leader sees them.
    pub(crate) fn voters_shown(&mut self, now: Moment) -> Vec<VoterShown> {
        let zones = self.voter_zones();
        let Some(voter) = &self.voter else { return Vec::new() };
        let silent_for = voter.core.silent_for(now.monotonic);
        let shown = |known: Voter| VoterShown {
            address: known.address,
            zone: zones.get(&known.id).cloned(),
            silent_ms: silent_for.get(&known.id).copied().unwrap_or(0),
        };
        voter.known_voters().into_iter().map(shown).collect()
    }

    /// Whether this node is one of the voters; false at a member that waits to be admitted.
    pub fn is_voter(&self) -> bool {
        self.voter.as_ref().is_some_and(|voter| voter.core.voters().contains(&voter.core.id()))
    }

    /// Tells of a zone that holds too many voters, where the loss of a zone is to be borne.
    pub(crate) fn watch_zones(&mut self, now: Moment) {
        if !self.options.bears_zone_loss {
            return;
        }
        let counts = self.voters_by_zone();
        let Some(leadership) = self.voter.as_mut().and_then(|voter| voter.leadership.as_mut()) else {
            return;
        };
        let news = leadership.zone_watch.note(now.monotonic, !counts.is_balanced());
        match news {
            Some(ZoneNews::TooFull) => {
                let message = format!("voters by zone: {:?}, unknown {}", counts.by_zone, counts.unknown);
                self.record_own("ZoneTooFull", &message, ResultCode::VotersUnbalanced);
            }
            Some(ZoneNews::Balanced) => {
                let message = format!("voters by zone: {:?}", counts.by_zone);
                self.record_own("ZonesBalanced", &message, ResultCode::Ok);
            }
            None => {}
        }
    }
}
