//! Determines the zones of the voters from the daemons' rows, and reports zones that hold too many voters.

use crate::Millis;
use crate::driver_io::Moment;
use crate::node::ControlNode;
use crate::zone_balance::{ZoneCounts, ZonesById};
use dockwood_api::ResultCode;
use dockwood_consensus::Voter;
use dockwood_state::Tables;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A zone that has held too many voters for this long is reported; while a voter is replaced, the smaller
/// group may be unbalanced for a shorter time.
const REPORT_AFTER_MS: Millis = 5_000;

/// Zones of daemons that may be voters, by peer address.
#[derive(Clone, Debug, Default)]
pub struct MemberZones(BTreeMap<SocketAddr, String>);

impl MemberZones {
    fn of(tables: &Tables) -> Self {
        let rows = tables.daemons.values().filter(|row| row.record.frontend.is_none());
        MemberZones(rows.map(|row| (row.record.peer, row.record.zone.clone())).collect())
    }
}

/// Monitors whether a zone holds half of the voters or more.
#[derive(Clone, Debug, Default)]
pub struct ZoneBalanceMonitor {
    since: Option<Millis>,
    is_reported: bool,
}

/// A change to record in the timeline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneBalanceChange {
    /// A zone holds too many voters.
    Unbalanced,
    /// No zone holds too many voters any more.
    Balanced,
}

/// A voter as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterStatus {
    /// Peer address.
    pub address: SocketAddr,
    /// Zone, if known.
    pub zone: Option<String>,
    /// Time since its last answer; 0 for the leader itself.
    pub silent_ms: Millis,
}

impl ZoneBalanceMonitor {
    /// Records whether a zone holds too many voters now. Returns a change to report.
    pub fn update(&mut self, now: Millis, is_unbalanced: bool) -> Option<ZoneBalanceChange> {
        if !is_unbalanced {
            self.since = None;
            return std::mem::take(&mut self.is_reported).then_some(ZoneBalanceChange::Balanced);
        }
        let since = *self.since.get_or_insert(now);
        if self.is_reported || now < since + REPORT_AFTER_MS {
            return None;
        }
        self.is_reported = true;
        Some(ZoneBalanceChange::Unbalanced)
    }
}

impl<R> ControlNode<R> {
    /// The voters' zones: from the row of the daemon at a voter's address, else from its admission request.
    pub(crate) fn voter_zones(&mut self) -> ZonesById {
        let Some(voter) = &self.voter else { return ZonesById::new() };
        let member_zones = self.member_zones.get(&self.board.state.tables, MemberZones::of);
        let zone = |id, address| {
            let reported =
                || voter.leader_state.as_ref().and_then(|leader_state| leader_state.candidates.zone_of(id));
            member_zones.0.get(&address).or_else(reported).filter(|zone| !zone.is_empty()).cloned()
        };
        let voters = voter.known_voters().into_iter();
        voters.filter_map(|voter| Some((voter.id, zone(voter.id, voter.address)?))).collect()
    }

    /// Number of voters by zone; empty unless this node is a member of the control group.
    pub fn voters_by_zone(&mut self) -> ZoneCounts {
        let zones = self.voter_zones();
        let voters = self.voter.as_ref().map(|voter| voter.known_voters()).unwrap_or_default();
        ZoneCounts::of(&voters, &zones)
    }

    /// Status of the voters, as seen by the leader.
    pub(crate) fn voter_statuses(&mut self, now: Moment) -> Vec<VoterStatus> {
        let zones = self.voter_zones();
        let Some(voter) = &self.voter else { return Vec::new() };
        let silent_for = voter.core.silent_for(now.monotonic);
        let to_status = |known: Voter| VoterStatus {
            address: known.address,
            zone: zones.get(&known.id).cloned(),
            silent_ms: silent_for.get(&known.id).copied().unwrap_or(0),
        };
        voter.known_voters().into_iter().map(to_status).collect()
    }

    /// Whether this node is one of the voters; false for a member that waits to be admitted.
    pub fn is_voter(&self) -> bool {
        self.voter.as_ref().is_some_and(|voter| voter.core.voters().contains(&voter.core.id()))
    }

    /// Records zones that hold too many voters, if the loss of a zone has to be tolerated.
    pub(crate) fn report_zone_balance(&mut self, now: Moment) {
        if !self.options.tolerates_zone_loss {
            return;
        }
        let counts = self.voters_by_zone();
        let Some(leader_state) = self.voter.as_mut().and_then(|voter| voter.leader_state.as_mut()) else {
            return;
        };
        let change = leader_state.zone_balance_monitor.update(now.monotonic, !counts.is_balanced());
        match change {
            Some(ZoneBalanceChange::Unbalanced) => {
                let message = format!("voters by zone: {:?}, unknown {}", counts.by_zone, counts.unknown);
                self.record_event("ZoneTooFull", &message, ResultCode::VotersUnbalanced);
            }
            Some(ZoneBalanceChange::Balanced) => {
                let message = format!("voters by zone: {:?}", counts.by_zone);
                self.record_event("ZonesBalanced", &message, ResultCode::Ok);
            }
            None => {}
        }
    }
}
