//! Orders to join that a server may still execute.
//!
//! A server that leaves an order unanswered may execute it later, also after it has left the group again. Until all
//! orders to join a group have been answered or have become void, no report and no answer proves that the server has
//! left that group for good.

use crate::Millis;

/// Time limit for a server to answer an order, in milliseconds.
pub const ORDER_TIMEOUT_MS: Millis = 400;
/// Longest time for which an unanswered order may still be executed after it has timed out, in milliseconds. From the
/// engines' documentation.
const MAX_EXECUTION_DELAY_MS: Millis = 12_000;

/// What is known about the execution of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Execution {
    /// The order is in flight.
    Pending,
    /// It timed out at this time, and may be executed later.
    TimedOut(Millis),
    /// It was answered at this time. Whether it was executed before or after the server left the group isn't known.
    AnsweredAt(Millis),
}

/// An order to join that may bring its server back into a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OutstandingJoin {
    /// Epoch of the group to join.
    epoch: u64,
    execution: Execution,
    /// Whether the server has restarted under its id since. It has forgotten the epochs that it had seen, so that the
    /// order may bring it into this group whatever group it was in.
    before_restart: bool,
}

impl OutstandingJoin {
    fn new(epoch: u64, execution: Execution) -> Self {
        OutstandingJoin { epoch, execution, before_restart: false }
    }

    fn void(&self) -> JoinsVoid {
        match self.execution {
            Execution::Pending => JoinsVoid::Unknown,
            Execution::TimedOut(at) => JoinsVoid::At(at + MAX_EXECUTION_DELAY_MS),
            Execution::AnsweredAt(at) => JoinsVoid::At(at),
        }
    }
}

/// When outstanding orders to join become void.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum JoinsVoid {
    /// At this time, which may be in the past.
    At(Millis),
    /// Not known yet, as an order is in flight.
    Unknown,
}

impl JoinsVoid {
    /// Whether no order may be executed at this time or later.
    pub(crate) fn is_by(self, at: Millis) -> bool {
        match self {
            JoinsVoid::At(void_at) => void_at <= at,
            JoinsVoid::Unknown => false,
        }
    }
}

/// The orders to join that may bring one server back into a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OutstandingJoins {
    orders: Vec<OutstandingJoin>,
}

impl OutstandingJoins {
    /// Records that an order to join is sent.
    pub(crate) fn sent(&mut self, epoch: u64) {
        self.orders.push(OutstandingJoin::new(epoch, Execution::Pending));
    }

    /// Records that the server answered the order in flight, or that it did not reach the server. Earlier orders remain
    /// outstanding.
    pub(crate) fn answered(&mut self, epoch: u64) {
        let is_answered =
            |order: &OutstandingJoin| order.epoch == epoch && order.execution == Execution::Pending;
        self.orders.retain(|order| !is_answered(order));
    }

    /// Records that the server accepted the order in flight although it had left the group: it may have left before.
    pub(crate) fn accepted_after_departure(&mut self, epoch: u64, now: Millis) {
        self.answered(epoch);
        self.orders.push(OutstandingJoin::new(epoch, Execution::AnsweredAt(now)));
    }

    /// Records that the order in flight timed out.
    pub(crate) fn timed_out(&mut self, epoch: u64, now: Millis) {
        // Of the orders to join one group, the last one becomes void last. The server is sent an order to join another
        // group only after it has left its former groups for good.
        self.orders.retain(|order| order.epoch != epoch && !order.void().is_by(now));
        self.orders.push(OutstandingJoin::new(epoch, Execution::TimedOut(now)));
    }

    /// When the last order to join a group timed out; `None` if none did.
    pub fn timed_out_at(&self, epoch: u64) -> Option<Millis> {
        let of_group = self.orders.iter().filter(|order| order.epoch == epoch);
        let timed_out_at = |order: &OutstandingJoin| match order.execution {
            Execution::TimedOut(at) => Some(at),
            Execution::Pending | Execution::AnsweredAt(_) => None,
        };
        of_group.filter_map(timed_out_at).max()
    }

    /// When the orders that may bring the server back into a group after it has left it become void; `None` if there
    /// are none.
    pub(crate) fn void(&self, epoch: u64) -> Option<JoinsVoid> {
        let may_matter = |order: &&OutstandingJoin| order.epoch == epoch || order.before_restart;
        self.orders.iter().filter(may_matter).map(OutstandingJoin::void).max()
    }

    /// The orders after a restart of the server under its id, which may execute those to its former process.
    pub(crate) fn after_restart(&self) -> OutstandingJoins {
        let orders = self.orders.iter().map(|order| OutstandingJoin { before_restart: true, ..*order });
        OutstandingJoins { orders: orders.collect() }
    }
}
