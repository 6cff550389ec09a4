//! What only the leader has, for as long as it leads: leases, controllers, and orders on their way.

use crate::Millis;
use crate::admission::Candidates;
use crate::announcement::Announcements;
use crate::blackboard::{Blackboard, Observed};
use crate::catch_up::{CatchUp, Missing};
use crate::controllers::{LostState, expired_suspicions, pending_orders, placement};
use crate::copies::CopySources;
use crate::daemon_changes::{Askers, daemon_changes};
use crate::driver_io::{Moment, OrderToSend, Output};
use crate::gateway::GatewayLeadership;
use crate::hearing::Hearing;
use crate::leases::{LeaseTable, News};
use crate::node::Options;
use crate::view::{ViewHead, control_view};
use crate::voter_zones::{VoterShown, ZoneWatch};
use dockwood_api::event::ClockStamp;
use dockwood_api::peer::{LeaseAnswer, LeaseContent, LeaseRequest, Observation};
use dockwood_state::CommandBody;
use std::collections::HashMap;
use std::net::SocketAddr;

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
    /// Leases granted in it.
    pub leases: LeaseTable<R>,
    /// The gateway's part.
    pub gateway: GatewayLeadership,
    /// Processes that asked to become voters.
    pub candidates: Candidates,
    /// Calls to daemons that have not found it.
    pub announcements: Announcements,
    /// Since when some zone has held too many voters, and whether that was told.
    pub zone_watch: ZoneWatch,
    hearing: Hearing,
    askers: Askers,
    lost_state: LostState,
    catch_up: CatchUp,
    sources: CopySources,
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
            leases: LeaseTable::new(now),
            gateway: GatewayLeadership::default(),
            candidates: Candidates::default(),
            announcements: Announcements::new(now),
            zone_watch: ZoneWatch::default(),
            hearing: Hearing::default(),
            askers: Askers::default(),
            lost_state: LostState::default(),
            catch_up: CatchUp::new(now),
            sources: CopySources::default(),
            attempts: HashMap::new(),
            uncommitted: 0,
            decide_at: now,
        }
    }

    /// Takes a pulse of this process's own calls. Nobody is blamed for the time in which nothing was heard.
    pub fn pulse(&mut self, now: Millis) {
        if let Some(late) = self.hearing.pulse(now) {
            self.leases.excuse(now, late);
            self.gateway.excuse(now, late);
        }
    }

    /// Takes a daemon's request; it is answered by [`Leadership::answer_held`].
    pub fn take_lease_request(&mut self, now: Millis, request: LeaseRequest, reply: R) {
        self.leases.extend(now, &request);
        self.askers.note(&request.daemon, request.incarnation);
        self.leases.hold(now, request, reply);
    }

    /// Answers requests for which there is news, or that have waited long enough.
    pub fn answer_held(&mut self, now: Millis, board: &Blackboard, in_force_revision: u64) -> Vec<Output<R>> {
        let revision = board.revision();
        let news = News::of(board.commands(), revision, in_force_revision);
        let mut pool = None;
        let mut answers = Vec::new();
        for held in self.leases.due(now, news) {
            let in_large_fleet = self.leases.is_large();
            let content = match self.catch_up.content_for(now, board, &held.request, in_large_fleet) {
                Missing::Sent(content) => Some(content),
                Missing::Large if in_large_fleet => {
                    let pool = pool.get_or_insert_with(|| self.sources.pool(now, board, &self.leases));
                    let source = self.sources.name(now, pool, &held.request.daemon.zone);
                    source.map(|from| LeaseContent::Fetch { from })
                }
                Missing::Large => None,
            };
            if content.is_none() && now < held.until {
                self.leases.hold_for_turn(now, held);
                continue;
            }
            // Without content it asks again; until it has caught up, the lease that it is granted means nothing to it.
            let through = held.request.applied_revision;
            let content = content.unwrap_or(LeaseContent::Commands { commands: Vec::new(), through });
            self.leases.answered(now, &held.request.daemon.name, &content);
            let stamp = ClockStamp::default();
            let answer =
                LeaseAnswer::Granted { term: self.term, revision, in_force_revision, content, stamp };
            answers.push(Output::LeaseReply(held.reply, answer));
        }
        answers
    }

    /// Sends waiting daemons elsewhere: this node can't grant any more.
    pub fn refuse_held(&mut self, leader: Option<SocketAddr>) -> Vec<Output<R>> {
        let held = self.leases.take_held().into_iter();
        held.map(|held| Output::LeaseReply(held.reply, LeaseAnswer::NotLeader { leader })).collect()
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
        commands.extend(daemon_changes(board.tables(), &self.leases, &mut self.askers, heard_until));
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
        control_view(board, &self.leases, head, now)
    }
}
