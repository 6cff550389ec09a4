//! Answers lease requests: who is answered now, and with which part of the state. The leader answers by it, and so does a
//! voter that grants leases in the leader's name.

use crate::Millis;
use crate::blackboard::Blackboard;
use crate::catch_up::{CatchUp, Missing};
use crate::copies::{CopySources, SourcePool};
use crate::driver_io::Output;
use crate::leases::{HeldRequest, LeaseTable, News};
use dockwood_api::event::ClockStamp;
use dockwood_api::peer::{LeaseAnswer, LeaseContent, LeaseRequest};
use std::net::SocketAddr;

/// What an answer says besides its content.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grantor {
    /// The leader's term.
    pub term: u64,
    /// The leader's peer address, if known.
    pub leader: Option<SocketAddr>,
    /// Newest revision that is in force everywhere.
    pub in_force_revision: u64,
}

/// Lease requests and what their daemons have been sent.
#[derive(Debug)]
pub(crate) struct LeaseAnswers<R> {
    /// Leases, and requests that wait.
    pub leases: LeaseTable<R>,
    catch_up: CatchUp,
    sources: CopySources,
}

impl<R> LeaseAnswers<R> {
    /// No requests yet.
    pub fn new(now: Millis) -> Self {
        LeaseAnswers {
            leases: LeaseTable::new(now),
            catch_up: CatchUp::new(now),
            sources: CopySources::default(),
        }
    }

    /// Answers requests for which there is news, or that have waited long enough. `ask_next` names the voter that a daemon
    /// should ask next, where that is not the one that answers.
    pub fn answer_due(
        &mut self,
        now: Millis,
        board: &Blackboard,
        grantor: Grantor,
        ask_next: impl Fn(&LeaseRequest) -> Option<SocketAddr>,
    ) -> Vec<Output<R>> {
        let revision = board.revision();
        let Grantor { term, leader, in_force_revision } = grantor;
        let news = News::of(board.commands(), revision, in_force_revision);
        let mut pool = None;
        let mut answers = Vec::new();
        for held in self.leases.due(now, news) {
            let content = self.content_for(now, board, &held, &mut pool);
            if content.is_none() && now < held.until {
                self.leases.hold_for_turn(now, held);
                continue;
            }
            // Without content it asks again; until it has caught up, the lease that it is granted means nothing to it.
            let through = held.request.applied_revision;
            let content = content.unwrap_or(LeaseContent::Commands { commands: Vec::new(), through });
            self.leases.answered(now, &held.request.daemon.name, &content);
            let ask_next = ask_next(&held.request);
            let stamp = ClockStamp::default();
            let answer =
                LeaseAnswer::Granted { term, leader, ask_next, revision, in_force_revision, content, stamp };
            answers.push(Output::LeaseReply(held.reply, answer));
        }
        answers
    }

    /// What a daemon is sent now; `None` if it has to wait for its turn.
    fn content_for(
        &mut self,
        now: Millis,
        board: &Blackboard,
        held: &HeldRequest<R>,
        pool: &mut Option<SourcePool>,
    ) -> Option<LeaseContent> {
        let in_large_fleet = self.leases.is_large();
        match self.catch_up.content_for(now, board, &held.request, in_large_fleet) {
            Missing::Sent(content) => Some(content),
            Missing::Large if in_large_fleet => {
                let pool = pool.get_or_insert_with(|| self.sources.pool(now, board, &self.leases));
                let source = self.sources.name(now, pool, &held.request.daemon.zone);
                source.map(|from| LeaseContent::Fetch { from })
            }
            Missing::Large => None,
        }
    }

    /// Sends waiting daemons elsewhere: this node can't grant any more.
    pub fn refuse_held(&mut self, leader: Option<SocketAddr>) -> Vec<Output<R>> {
        let held = self.leases.take_held().into_iter();
        held.map(|held| Output::LeaseReply(held.reply, LeaseAnswer::NotLeader { leader })).collect()
    }
}
