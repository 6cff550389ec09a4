//! What only the leader has, for as long as it leads: leases, controllers, and orders on their way.

use crate::Millis;
use crate::admission::Candidates;
use crate::announcement::Announcements;
use crate::blackboard::{Blackboard, Observed};
use crate::controllers::{LostState, expired_suspicions, pending_orders, placement};
use crate::daemon_changes::{Askers, daemon_changes};
use crate::driver_io::{Moment, OrderToSend};
use crate::gateway::GatewayLeadership;
use crate::hearing::Hearing;
use crate::lease_answers::LeaseAnswers;
use crate::node::Options;
use crate::view::{ViewHead, control_view};
use crate::voter_zones::{VoterShown, ZoneWatch};
use dockwood_api::peer::{DelegatedRequest, LeaseRequest, Observation};
use dockwood_state::CommandBody;
use std::collections::HashMap;

/// Time between two runs of the controllers.
const DECIDE_EVERY_MS: Millis = 50;
/// Pause before an order that was not carried out is sent again.
const ORDER_RETRY_MS: Millis = 300;
/// Pause after an order was carried out, for its entry to be committed.
const ORDER_COMMIT_MS: Millis = 2_000;
/// The leader's lease is renewed at least this often; orders to machines that don't check fences are sent only
/// within it.
const ORDER_LEASE_MS: Millis = 200;

/// An order on its way, or waiting to be sent again.
#[derive(Clone, Copy, Debug)]
struct OrderAttempt {
    fence: u64,
    /// `None` while a task follows it.
    retry_at: Option<Millis>,
}

/// State of one leader term.
#[derive(Debug)]
pub struct Leadership<R> {
    /// The term.
    pub term: u64,
    /// Leases granted in it, and requests for them.
    pub(crate) answers: LeaseAnswers<R>,
    /// The gateway's part.
    pub gateway: GatewayLeadership,
    /// Processes that asked to become voters.
    pub candidates: Candidates,
    /// Calls to daemons that have not found it.
    pub announcements: Announcements,
    /// Since when some zone has held too many voters, and whether that was recorded.
    pub zone_watch: ZoneWatch,
    hearing: Hearing,
    askers: Askers,
    lost_state: LostState,
    attempts: HashMap<String, OrderAttempt>,
    uncommitted: usize,
    decide_at: Millis,
}

/// Takes what a daemon found out.
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

impl<R> Leadership<R> {
    /// The state of a leader that was elected now.
    pub fn new(term: u64, now: Millis) -> Self {
        Leadership {
            term,
            answers: LeaseAnswers::new(now),
            gateway: GatewayLeadership::default(),
            candidates: Candidates::default(),
            announcements: Announcements::new(now),
            zone_watch: ZoneWatch::default(),
            hearing: Hearing::default(),
            askers: Askers::default(),
            lost_state: LostState::default(),
            attempts: HashMap::new(),
            uncommitted: 0,
            decide_at: now,
        }
    }

    /// Takes a pulse of this process's own calls. The time in which nothing was received counts against nobody.
    pub fn pulse(&mut self, now: Millis) {
        if let Some(late) = self.hearing.pulse(now) {
            self.answers.leases.excuse(now, late);
            self.gateway.excuse(now, late);
        }
    }

    /// Takes a daemon's request; [`LeaseAnswers`] answers it.
    pub fn take_lease_request(&mut self, now: Millis, request: LeaseRequest, reply: R) {
        self.answers.leases.extend(now, &request);
        self.askers.note(&request.daemon, request.incarnation);
        self.answers.leases.hold(now, request, reply);
    }

    /// Notes that these daemons asked a voter, which grants them leases in this leader's name.
    pub fn take_delegated(&mut self, now: Millis, requests: &[DelegatedRequest]) {
        for request in requests {
            self.answers.leases.extend_delegated(now, request);
            if let Some(record) = &request.record {
                self.askers.note(record, request.incarnation);
            }
        }
    }

    /// Notes what became of an order.
    pub fn order_answered(&mut self, now: Millis, server: &str, fence: u64, done: bool) {
        if let Some(attempt) = self.attempts.get_mut(server).filter(|attempt| attempt.fence == fence) {
            let pause = if done { ORDER_COMMIT_MS } else { ORDER_RETRY_MS };
            attempt.retry_at = Some(now + pause);
        }
    }

    /// Every pending order that is not on its way; one at a time to a machine that doesn't check fences.
    pub fn orders_to_send(&mut self, now: Millis, board: &Blackboard) -> Vec<OrderToSend> {
        let mut orders = Vec::new();
        for order in pending_orders(board.tables()) {
            let Some(server) = board.tables().server(&order.server) else { continue };
            let due = match self.attempts.get(&order.server) {
                // Its fence makes an older order harmless, so a newer one need not wait for it.
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

    /// What should be committed now. Nothing is decided while earlier decisions are not committed, so that
    /// every decision sees the last one's result.
    pub fn decide(&mut self, moment: Moment, board: &Blackboard, options: &Options) -> Vec<CommandBody> {
        let now = moment.monotonic;
        if self.uncommitted > 0 || now < self.decide_at {
            return Vec::new();
        }
        self.decide_at = now + DECIDE_EVERY_MS;
        let heard_until = self.hearing.heard_until(now);
        let mut commands = Vec::new();
        commands.extend(daemon_changes(board.tables(), &self.answers.leases, &mut self.askers, heard_until));
        commands.extend(self.lost_state.check(board, now));
        commands.extend(placement(board, now, options.placement));
        let gateway = self.gateway.decide(heard_until, &board.tables().gateway, options.grouping);
        commands.extend(gateway.into_iter().map(CommandBody::Gateway));
        commands.extend(expired_suspicions(board.tables(), moment.wall_ms));
        self.uncommitted = commands.len();
        commands
    }

    /// One of the controllers' commands was committed.
    pub fn controller_command_committed(&mut self) {
        self.uncommitted = self.uncommitted.saturating_sub(1);
    }

    /// The leader's view as JSON.
    pub fn view(
        &self,
        board: &Blackboard,
        in_force_revision: u64,
        leader: &str,
        voters: &[VoterShown],
        now: Millis,
    ) -> Vec<u8> {
        let head = ViewHead { leader, term: self.term, in_force_revision, voters };
        control_view(board, &self.answers.leases, head, now)
    }
}
