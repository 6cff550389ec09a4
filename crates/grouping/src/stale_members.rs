//! Servers that are in groups which the tables don't have them in, although these groups may be serving.
//!
//! A server returns to a group that has ended or has released it if it executes an order to join late, and it may still
//! be in one that was ended because its head was silent. Reports may be late, so this is no proof that a server is free;
//! but a server that reports such a membership is not used for another group before it has left.

use crate::{Millis, View};
use dockwood_api::gateway::{GroupCommand, GroupOrder, MembershipReport, MembershipState};
use dockwood_state::InstanceRow;
use std::collections::BTreeMap;

/// Delay before an order is sent again.
const RETRY_MS: Millis = 500;

/// The membership that a server reports in a group which may be serving, and which the tables don't have it in.
pub(crate) fn stale_membership<'a>(view: &View<'a>, instance: &str) -> Option<&'a MembershipReport> {
    let membership = view.observations.instance(instance)?.membership.as_ref()?;
    let is_stale = !view.tables.is_member(instance, membership.epoch);
    (is_stale && view.observations.may_be_serving(membership.epoch)).then_some(membership)
}

/// The order that makes a server with a stale membership leave. A head finishes its requests first; `None` while it does.
fn next_command(state: MembershipState) -> Option<GroupCommand> {
    match state {
        MembershipState::Open => Some(GroupCommand::Close { truncate: false }),
        MembershipState::Closing => None,
        MembershipState::Joining | MembershipState::Ready | MembershipState::Broken => {
            Some(GroupCommand::Leave)
        }
    }
}

/// An order to a server with a stale membership.
#[derive(Clone, Debug)]
struct SentOrder {
    epoch: u64,
    command: GroupCommand,
    /// When it may be sent again; `None` while it is in flight.
    due: Option<Millis>,
}

impl SentOrder {
    fn is_same(&self, epoch: u64, command: &GroupCommand) -> bool {
        self.epoch == epoch && self.command == *command
    }
}

/// The servers with stale memberships, and the last order to each of them.
#[derive(Clone, Debug, Default)]
pub struct StaleMembers {
    found: BTreeMap<String, Option<SentOrder>>,
}

impl StaleMembers {
    /// Searches all servers for stale memberships.
    pub fn scan(&mut self, view: &View<'_>) {
        self.found.retain(|instance, _| stale_membership(view, instance).is_some());
        for instance in view.tables.instances.keys() {
            if stale_membership(view, instance).is_some() && !self.found.contains_key(instance) {
                self.found.insert(instance.clone(), None);
            }
        }
    }

    /// Returns the orders to send now.
    pub fn due_orders(&mut self, view: &View<'_>, fence: u64) -> Vec<GroupOrder> {
        let orders = self.found.iter_mut().filter_map(|(id, sent)| {
            let row = view.tables.instances.get(id)?;
            let order = next_order(view, fence, row)?;
            let is_waiting = |sent: &SentOrder| {
                sent.is_same(order.epoch, &order.command) && sent.due.is_none_or(|due| view.now < due)
            };
            if sent.as_ref().is_some_and(is_waiting) {
                return None;
            }
            *sent = Some(SentOrder { epoch: order.epoch, command: order.command.clone(), due: None });
            Some(order)
        });
        orders.collect()
    }

    /// Records that an order was answered or timed out.
    pub fn answered(&mut self, now: Millis, order: &GroupOrder) {
        let Some(Some(sent)) = self.found.get_mut(&order.instance) else { return };
        if sent.is_same(order.epoch, &order.command) {
            sent.due = Some(now + RETRY_MS);
        }
    }
}

/// The order that a server with a stale membership needs next, if it can be reached.
fn next_order(view: &View<'_>, fence: u64, row: &InstanceRow) -> Option<GroupOrder> {
    let membership = stale_membership(view, &row.id)?;
    let command = next_command(membership.state)?;
    view.observations.is_present(view.now, &row.id).then(|| GroupOrder {
        instance: row.id.clone(),
        address: row.address,
        group: membership.group.clone(),
        epoch: membership.epoch,
        fence,
        command,
    })
}
