//! Answers lease requests: decides which are answered now, and with which part of the state. Used by the
//! leader and by voters that grant leases on its behalf.

use crate::Millis;
use crate::blackboard::Blackboard;
use crate::catch_up::{CatchUp, CatchUpReply};
use crate::driver_io::Output;
use crate::leases::{HeldRequest, LeaseTable, Notification};
use crate::snapshot_sources::{SnapshotSources, SourcePool};
use dockwood_api::event::ClockStamp;
use dockwood_api::peer::{LeaseAnswer, LeaseContent, LeaseRequest};
use std::net::SocketAddr;

/// Fields of an answer other than its content.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantHeader {
    /// The leader's term.
    pub term: u64,
    /// The leader's peer address, if known.
    pub leader: Option<SocketAddr>,
    /// Newest revision that is in force everywhere.
    pub in_force_revision: u64,
}

/// Pending lease requests, and what their daemons have been sent.
#[derive(Debug)]
pub(crate) struct LeaseResponder<R> {
    /// Leases and held requests.
    pub leases: LeaseTable<R>,
    catch_up: CatchUp,
    sources: SnapshotSources,
}

impl<R> LeaseResponder<R> {
    /// Creates a responder without requests.
    pub fn new(now: Millis) -> Self {
        LeaseResponder {
            leases: LeaseTable::new(now),
            catch_up: CatchUp::new(now),
            sources: SnapshotSources::default(),
        }
    }

    /// Answers requests for which there is a notification, or that have been held long enough. `ask_next`
    /// selects the voter that a daemon should ask next, if not the one that answers.
    pub fn answer_due(
        &mut self,
        now: Millis,
        board: &Blackboard,
        header: GrantHeader,
        ask_next: impl Fn(&LeaseRequest) -> Option<SocketAddr>,
    ) -> Vec<Output<R>> {
        let revision = board.revision();
        let GrantHeader { term, leader, in_force_revision } = header;
        let notification = Notification::of(board.commands(), revision, in_force_revision);
        let mut pool = None;
        let mut answers = Vec::new();
        for held in self.leases.due(now, notification) {
            let content = self.content_for(now, board, &held, &mut pool);
            if content.is_none() && now < held.until {
                self.leases.hold_for_snapshot(now, held);
                continue;
            }
            // Without content the daemon asks again; a lease has no effect before the daemon has caught up.
            let through = held.request.applied_revision;
            let content = content.unwrap_or(LeaseContent::Commands { commands: Vec::new(), through });
            self.leases.record_answer(now, &held.request.daemon.name, &content);
            let ask_next = ask_next(&held.request);
            let stamp = ClockStamp::default();
            let answer =
                LeaseAnswer::Granted { term, leader, ask_next, revision, in_force_revision, content, stamp };
            answers.push(Output::LeaseReply(held.reply, answer));
        }
        answers
    }

    /// Returns the content for a daemon; `None` if it has to wait for its turn.
    fn content_for(
        &mut self,
        now: Millis,
        board: &Blackboard,
        held: &HeldRequest<R>,
        pool: &mut Option<SourcePool>,
    ) -> Option<LeaseContent> {
        let in_large_fleet = self.leases.is_large_fleet();
        match self.catch_up.content_for(now, board, &held.request, in_large_fleet) {
            CatchUpReply::Content(content) => Some(content),
            CatchUpReply::TooLarge if in_large_fleet => {
                let pool = pool.get_or_insert_with(|| self.sources.pool(now, board, &self.leases));
                let source = self.sources.assign(now, pool, &held.request.daemon.zone);
                source.map(|from| LeaseContent::Fetch { from })
            }
            CatchUpReply::TooLarge => None,
        }
    }

    /// Redirects held requests: this node can no longer grant leases.
    pub fn refuse_held(&mut self, leader: Option<SocketAddr>) -> Vec<Output<R>> {
        let held = self.leases.take_held().into_iter();
        held.map(|held| Output::LeaseReply(held.reply, LeaseAnswer::NotLeader { leader })).collect()
    }
}
