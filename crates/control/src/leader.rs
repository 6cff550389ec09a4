//! State of a node while it leads: leases, controllers, and orders in flight.

use crate::Millis;
use crate::admission::Candidates;
use crate::announcements::Announcements;
use crate::blackboard::{Blackboard, Observed};
use crate::controllers::{MismatchDetector, expired_suspicions, pending_orders, placement};
use crate::daemon_changes::{LeaseRequesters, daemon_changes};
use crate::driver_io::{Moment, OrderToSend};
use crate::gateway::GatewayLeaderState;
use crate::input_lag::InputLag;
use crate::lease_responder::LeaseResponder;
use crate::node::Options;
use crate::prompt_suspicion::CrashAges;
use crate::view::{ViewHeader, control_view};
use crate::voter_zones::{VoterStatus, ZoneBalanceMonitor};
use dockwood_api::peer::{DelegatedRequest, LeaseRequest, Observation};
use dockwood_state::CommandBody;
use std::collections::HashMap;

/// Interval between two runs of the controllers.
const DECISION_INTERVAL_MS: Millis = 50;
/// Delay before an order that was not carried out is sent again.
const ORDER_RETRY_DELAY_MS: Millis = 300;
/// Time allowed for committing the result of an order that was carried out.
const ORDER_COMMIT_MS: Millis = 2_000;
/// The leader lease is renewed at least this often; orders to machines that don't check fences are only sent
/// within it.
const ORDER_LEASE_MS: Millis = 200;

/// An order in flight, or waiting for a retry.
#[derive(Clone, Copy, Debug)]
struct OrderAttempt {
    fence: u64,
    /// `None` while the order is in flight.
    retry_at: Option<Millis>,
}

/// State of one leader term.
#[derive(Debug)]
pub struct LeaderState<R> {
    /// The term.
    pub term: u64,
    /// Leases granted in this term, and pending requests for them.
    pub(crate) responder: LeaseResponder<R>,
    /// Gateway part.
    pub gateway: GatewayLeaderState,
    /// Processes that asked to become voters.
    pub candidates: Candidates,
    /// Announcements to daemons that have not found this leader.
    pub announcements: Announcements,
    /// Since when a zone has held too many voters, and whether that was recorded.
    pub zone_balance_monitor: ZoneBalanceMonitor,
    input_lag: InputLag,
    requesters: LeaseRequesters,
    mismatch_detector: MismatchDetector,
    crash_ages: CrashAges,
    attempts: HashMap<String, OrderAttempt>,
    uncommitted: usize,
    next_decision_at: Millis,
}

/// Records a daemon's observations.
pub fn record_observations(observed: &mut Observed, now: Millis, observations: Vec<Observation>) {
    for observation in observations {
        match observation {
            Observation::Machine { server, state } => observed.machines.record(now, &server, state),
            Observation::ReplicaIdle { replica, epoch } => {
                observed.idle_replicas.insert((replica, epoch));
            }
        }
    }
}

impl<R> LeaderState<R> {
    /// Creates the state of a leader that was elected at `now`.
    pub fn new(term: u64, now: Millis) -> Self {
        LeaderState {
            term,
            responder: LeaseResponder::new(now),
            gateway: GatewayLeaderState::default(),
            candidates: Candidates::default(),
            announcements: Announcements::new(now),
            zone_balance_monitor: ZoneBalanceMonitor::default(),
            input_lag: InputLag::default(),
            requesters: LeaseRequesters::default(),
            mismatch_detector: MismatchDetector::default(),
            crash_ages: CrashAges::default(),
            attempts: HashMap::new(),
            uncommitted: 0,
            next_decision_at: now,
        }
    }

    /// Records a pulse. Time in which nothing was received extends all deadlines.
    pub fn record_pulse(&mut self, now: Millis) {
        if let Some(delay) = self.input_lag.record_pulse(now) {
            self.responder.leases.extend_silence_deadlines(now, delay);
            self.gateway.extend_deadlines(now, delay);
        }
    }

    /// Records a daemon's request; [`LeaseResponder`] answers it.
    pub fn handle_lease_request(&mut self, now: Millis, request: LeaseRequest, reply: R) {
        self.responder.leases.renew(now, &request);
        self.requesters.record(&request.daemon, request.incarnation);
        self.responder.leases.hold(now, request, reply);
    }

    /// Records that these daemons requested leases from a voter, which grants them on behalf of this leader.
    pub fn record_delegated_requests(&mut self, now: Millis, requests: &[DelegatedRequest]) {
        for request in requests {
            self.responder.leases.renew_delegated(now, request);
            if let Some(record) = &request.record {
                self.requesters.record(record, request.incarnation);
            }
        }
    }

    /// Records the result of an order.
    pub fn record_order_answer(&mut self, now: Millis, server: &str, fence: u64, done: bool) {
        if let Some(attempt) = self.attempts.get_mut(server).filter(|attempt| attempt.fence == fence) {
            let pause = if done { ORDER_COMMIT_MS } else { ORDER_RETRY_DELAY_MS };
            attempt.retry_at = Some(now + pause);
        }
    }

    /// Returns the pending orders that are not in flight; at most one at a time for a machine that doesn't
    /// check fences.
    pub fn orders_to_send(&mut self, now: Millis, board: &Blackboard) -> Vec<OrderToSend> {
        let mut orders = Vec::new();
        for order in pending_orders(board.tables()) {
            let Some(server) = board.tables().server(&order.server) else { continue };
            let due = match self.attempts.get(&order.server) {
                // The newer fence makes an older order harmless, so there is no need to wait for it.
                Some(attempt) if attempt.fence != order.fence => {
                    server.checks_fences || attempt.retry_at.is_some()
                }
                Some(attempt) => attempt.retry_at.is_some_and(|at| now >= at),
                None => true,
            };
            if !due {
                continue;
            }
            self.attempts.insert(order.server.clone(), OrderAttempt { fence: order.fence, retry_at: None });
            orders.push(OrderToSend {
                order: order.clone(),
                address: server.address,
                checks_fences: server.checks_fences,
                lease_until: now + ORDER_LEASE_MS,
            });
        }
        orders
    }

    /// Returns the commands that should be committed now. Waits until earlier decisions are committed, so
    /// that each decision is based on the result of the previous one.
    pub fn decide(&mut self, moment: Moment, board: &Blackboard, options: &Options) -> Vec<CommandBody> {
        let now = moment.monotonic;
        if self.uncommitted > 0 || now < self.next_decision_at {
            return Vec::new();
        }
        self.next_decision_at = now + DECISION_INTERVAL_MS;
        let observed_until = self.input_lag.observed_until(now);
        let mut commands = Vec::new();
        commands.extend(daemon_changes(
            board.tables(),
            &self.responder.leases,
            &mut self.requesters,
            observed_until,
        ));
        commands.extend(self.mismatch_detector.check(board, now));
        commands.extend(placement(board, now, options.placement));
        let gateway = self.gateway.decide(observed_until, &board.tables().gateway, options.grouping);
        commands.extend(gateway.into_iter().map(CommandBody::Gateway));
        commands.extend(expired_suspicions(board.tables(), moment.wall_ms));
        let prompt_suspicion = &board.tables().gateway.prompt_suspicion;
        commands.extend(self.crash_ages.quarantine_commands(now, moment.wall_ms, prompt_suspicion));
        self.uncommitted = commands.len();
        commands
    }

    /// A controller command was committed.
    pub fn controller_command_committed(&mut self) {
        self.uncommitted = self.uncommitted.saturating_sub(1);
    }

    /// The leader's view as JSON.
    pub fn view(
        &self,
        board: &Blackboard,
        in_force_revision: u64,
        leader: &str,
        voters: &[VoterStatus],
        now: Millis,
    ) -> Vec<u8> {
        let header = ViewHeader { leader, term: self.term, in_force_revision, voters };
        control_view(board, &self.responder.leases, header, now)
    }
}
