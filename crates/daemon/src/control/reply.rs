//! Ways to answer whoever waits for the control thread. An answer to somebody who is gone is dropped.

use dockwood_api::peer::{ControlAnswer, LeaseAnswer, SubmitReply};
use tokio::sync::oneshot;

/// One waiting caller.
#[derive(Debug)]
pub enum Reply {
    /// Of a submitted command.
    Submit(oneshot::Sender<SubmitReply>),
    /// Of a lease request.
    Lease(oneshot::Sender<LeaseAnswer>),
    /// Of an observation.
    Observe(oneshot::Sender<bool>),
    /// Of the leader's view.
    View(oneshot::Sender<ControlAnswer>),
}

impl Reply {
    /// Answers a submitted command.
    pub fn submit(self, answer: SubmitReply) {
        if let Reply::Submit(reply) = self {
            let _ = reply.send(answer);
        }
    }

    /// Answers a lease request.
    pub fn lease(self, answer: LeaseAnswer) {
        if let Reply::Lease(reply) = self {
            let _ = reply.send(answer);
        }
    }

    /// Answers an observation.
    pub fn observe(self, taken: bool) {
        if let Reply::Observe(reply) = self {
            let _ = reply.send(taken);
        }
    }

    /// Answers with a view.
    pub fn view(self, view: ControlAnswer) {
        if let Reply::View(reply) = self {
            let _ = reply.send(view);
        }
    }
}
