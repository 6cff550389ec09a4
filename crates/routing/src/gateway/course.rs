//! The course of one request over its sends: whether it may be sent again, and what its caller is told.
//!
//! Invariants: a request that may run only once is sent again only after the server itself said that it did not run;
//! "not run" is said only if every send was proven not to have run; no more servers may run it than the route allows.

use dockwood_api::ResultCode;
use dockwood_api::gateway::Route;

/// How one send ended short of an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendOutcome {
    /// No connection: nothing was sent.
    NotSent,
    /// The server said that it did not run the request.
    SaidNotRun,
    /// It was sent, and what became of it is not known.
    Unknown,
    /// The connection broke while the server had the request, and the server's process is gone: its address refuses
    /// connections. Unlike a lost answer, this is evidence that the request may end whatever server runs it.
    ServerEnded,
    /// The server answered with a failure of its own.
    Failed,
    /// The group stood still, and the request was taken away from it.
    Abandoned,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to another server, if the budget and the time allow.
    SendAgain,
    /// Answer the caller.
    GiveUp(GiveUp),
}

/// What a caller is told when there is no answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GiveUp {
    /// The code.
    pub code: ResultCode,
    /// The request surely did not run, so that the caller may come back.
    pub not_run: bool,
}

/// One request's sends so far.
#[derive(Clone, Debug)]
pub struct Course {
    repeatable: bool,
    most_runs: u32,
    may_have_run: u32,
    sends: u32,
    tries: u32,
}

/// Tries, also those that were refused or never reached a server: each costs time.
const MOST_TRIES: u32 = 6;

impl Course {
    /// A request that was not sent yet.
    pub fn new(route: &Route) -> Self {
        let repeatable = route.is_repeatable();
        let most_runs = if repeatable { route.max_attempts.max(1) } else { 1 };
        Course { repeatable, most_runs, may_have_run: 0, sends: 0, tries: 0 }
    }

    /// Whether the next send is one beyond the first, which the budget must allow.
    pub fn needs_budget(&self) -> bool {
        self.sends > 0
    }

    /// Whether a send may be given up for another one.
    pub fn may_move(&self) -> bool {
        self.repeatable && self.may_have_run + 1 < self.most_runs && self.tries + 1 < MOST_TRIES
    }

    /// Takes the end of a send.
    pub fn ended(&mut self, outcome: SendOutcome) -> Verdict {
        self.tries += 1;
        match outcome {
            // Nothing reached a server, so nothing counts against the budget either.
            SendOutcome::NotSent => {}
            SendOutcome::SaidNotRun => self.sends += 1,
            SendOutcome::Unknown
            | SendOutcome::ServerEnded
            | SendOutcome::Failed
            | SendOutcome::Abandoned => {
                self.sends += 1;
                self.may_have_run += 1;
            }
        }
        if self.may_have_run >= self.most_runs || self.tries >= MOST_TRIES {
            return Verdict::GiveUp(self.give_up());
        }
        if self.may_have_run > 0 && !self.repeatable {
            return Verdict::GiveUp(self.give_up());
        }
        Verdict::SendAgain
    }

    /// What the caller is told if the request is not sent again.
    pub fn give_up(&self) -> GiveUp {
        if self.may_have_run == 0 {
            GiveUp { code: ResultCode::Overloaded, not_run: true }
        } else if self.repeatable {
            GiveUp { code: ResultCode::Interrupted, not_run: false }
        } else {
            GiveUp { code: ResultCode::OutcomeUnknown, not_run: false }
        }
    }

    /// What the caller is told once the time is up.
    pub fn out_of_time(&self, in_flight: bool) -> GiveUp {
        if self.may_have_run == 0 && !in_flight {
            GiveUp { code: ResultCode::DeadlineInQueue, not_run: true }
        } else {
            GiveUp { code: ResultCode::DeadlinePassed, not_run: false }
        }
    }
}
