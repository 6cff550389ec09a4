//! Retry decisions for one request: whether it may be sent again, and which result its caller receives.
//!
//! Invariants: a request that must run at most once is sent again only if the server itself reported that it
//! did not run; the caller is told "not run" only if every send is known not to have run; no more servers can
//! have run the request than the route allows.

use crate::WithheldSends;
use crate::pushback::Hold;
use dockwood_api::ResultCode;
use dockwood_api::gateway::Route;

/// How a send ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendOutcome {
    /// No connection was established, so nothing was sent.
    NotConnected,
    /// The request was not written to the server that had been selected for it.
    Withheld(WithheldReason),
    /// The server reported that it did not run the request.
    SaidNotRun,
    /// The request was sent, and its outcome is not known.
    Unknown,
    /// The connection broke while the server had the request, and the server process is gone: its address
    /// refuses connections. Unlike a lost answer, this is evidence that the request may crash any server that
    /// runs it.
    ServerEnded,
    /// The server answered with an error of its own.
    Failed,
    /// The group stalled, and another source answered first: the request was withdrawn from the group.
    Abandoned,
    /// The request was sent to this source because another one had stalled, and that one continued first: the request
    /// was withdrawn from this source.
    Overtaken,
}

/// Why a request was not written to the server that had been selected for it. The selection was valid when it was made,
/// and this became known while the connection was established or the permit was acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WithheldReason {
    /// The server asked for a back-off, or it is shutting down.
    OnHold,
    /// The server's rate limit is used up.
    AtLimit,
    /// The selection has expired.
    SelectionExpired,
    /// The request is suspected of crashing servers, and may not be sent to this one now.
    Suspect,
    /// The zone of the server has been evacuated.
    ZoneEvacuated,
    /// This daemon has lost its lease.
    NoLease,
    /// The deadline of the request has passed.
    DeadlinePassed,
}

impl WithheldReason {
    /// The name of the reason in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            WithheldReason::OnHold => "onHold",
            WithheldReason::AtLimit => "atLimit",
            WithheldReason::SelectionExpired => "selectionExpired",
            WithheldReason::Suspect => "suspect",
            WithheldReason::ZoneEvacuated => "zoneEvacuated",
            WithheldReason::NoLease => "noLease",
            WithheldReason::DeadlinePassed => "deadlinePassed",
        }
    }
}

impl From<Hold> for WithheldReason {
    fn from(hold: Hold) -> Self {
        match hold {
            Hold::AtLimit { .. } => WithheldReason::AtLimit,
            Hold::Resting { .. } | Hold::Probing { .. } | Hold::Leaving => WithheldReason::OnHold,
        }
    }
}

/// What to do after a failed send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request to another server, if the budget and the deadline allow it.
    SendAgain,
    /// Return a final result to the caller.
    GiveUp(GiveUp),
}

/// The result that a caller receives when there is no server answer to forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GiveUp {
    /// Result code.
    pub code: ResultCode,
    /// Whether the request is known not to have run, so that the caller can safely retry it.
    pub not_run: bool,
}

/// State of one request's sends.
#[derive(Clone, Debug)]
pub struct RequestAttempts {
    repeatable: bool,
    max_executions: u32,
    possible_executions: u32,
    sends: u32,
    attempts: u32,
    /// The server that the current attempt selected.
    server: String,
    withheld: WithheldSends,
}

/// Maximum number of attempts that were refused, failed or found no connection: each takes time. Attempts that were
/// withheld have a limit of their own.
const MAX_ATTEMPTS: u32 = 6;

impl RequestAttempts {
    /// Creates the state of a request that has not been sent yet.
    pub fn new(route: &Route) -> Self {
        let repeatable = route.is_repeatable();
        let max_executions = if repeatable { route.max_attempts.max(1) } else { 1 };
        RequestAttempts {
            repeatable,
            max_executions,
            possible_executions: 0,
            sends: 0,
            attempts: 0,
            server: String::new(),
            withheld: WithheldSends::default(),
        }
    }

    /// Whether the next send is a retry, which the retry budget must allow.
    pub fn needs_budget(&self) -> bool {
        self.sends > 0
    }

    /// Whether the request may be sent to another server while one has it.
    pub fn may_move(&self) -> bool {
        self.may_add_send(1)
    }

    /// Whether the request may be sent to another server while this number of servers have it.
    pub fn may_add_send(&self, open_sends: u32) -> bool {
        self.repeatable
            && self.possible_executions + open_sends < self.max_executions
            && self.attempts + open_sends < MAX_ATTEMPTS
    }

    /// Records that an attempt begins at a server.
    pub fn begin(&mut self, server: &str) {
        server.clone_into(&mut self.server);
    }

    /// Records the end of a send and returns what to do next.
    pub fn ended(&mut self, outcome: SendOutcome) -> RetryDecision {
        if let SendOutcome::Withheld(reason) = outcome {
            return self.withheld(reason);
        }
        self.attempts += 1;
        match outcome {
            // No server was reached, so this send does not count against the budget.
            SendOutcome::NotConnected | SendOutcome::Withheld(_) => {}
            SendOutcome::SaidNotRun => self.sends += 1,
            SendOutcome::Unknown
            | SendOutcome::ServerEnded
            | SendOutcome::Failed
            | SendOutcome::Abandoned
            | SendOutcome::Overtaken => {
                self.sends += 1;
                self.possible_executions += 1;
            }
        }
        if self.possible_executions >= self.max_executions || self.attempts >= MAX_ATTEMPTS {
            return RetryDecision::GiveUp(self.give_up());
        }
        if self.possible_executions > 0 && !self.repeatable {
            return RetryDecision::GiveUp(self.give_up());
        }
        RetryDecision::SendAgain
    }

    /// Decides after an attempt in which nothing was written: another server may accept the request now.
    fn withheld(&mut self, reason: WithheldReason) -> RetryDecision {
        if reason == WithheldReason::DeadlinePassed {
            return RetryDecision::GiveUp(self.out_of_time(false));
        }
        match self.withheld.record(&self.server) {
            true => RetryDecision::SendAgain,
            false => RetryDecision::GiveUp(self.give_up()),
        }
    }

    /// The result for the caller if the request is not sent again.
    pub fn give_up(&self) -> GiveUp {
        if self.possible_executions == 0 {
            GiveUp { code: ResultCode::Overloaded, not_run: true }
        } else if self.repeatable {
            GiveUp { code: ResultCode::Interrupted, not_run: false }
        } else {
            GiveUp { code: ResultCode::OutcomeUnknown, not_run: false }
        }
    }

    /// The result for the caller once the deadline has passed.
    pub fn out_of_time(&self, in_flight: bool) -> GiveUp {
        if self.possible_executions == 0 && !in_flight {
            GiveUp { code: ResultCode::DeadlineInQueue, not_run: true }
        } else {
            GiveUp { code: ResultCode::DeadlinePassed, not_run: false }
        }
    }
}
