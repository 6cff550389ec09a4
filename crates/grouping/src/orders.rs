//! Which orders have to be sent now. An order is repeated until its effect is seen; what was sent and not answered
//! may be carried out late, which the epoch in each order makes harmless.

use crate::{Millis, View};
use dockwood_api::gateway::{EngineProfile, GroupCommand, GroupOrder, MembershipState, OrderAnswer};
use dockwood_state::{GroupPhase, GroupRow};
use std::collections::{BTreeMap, VecDeque};

/// Pause before an order without visible effect is sent again.
const REPEAT_MS: Millis = 900;
/// Pause after an order was taken, for its effect to be reported.
const TAKEN_MS: Millis = 3_000;
/// Window over which loads from the weight store are counted.
const LOAD_WINDOW_MS: Millis = 5_000;
/// Share of the loads that the store allows that is used, in percent: a former leader's are not known.
const LOAD_PERCENT: u64 = 80;

/// The kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum OrderKind {
    /// [`GroupCommand::Join`].
    Join,
    /// [`GroupCommand::Open`].
    Open,
    /// [`GroupCommand::Close`], letting requests finish.
    Drain,
    /// [`GroupCommand::Close`], cutting requests off.
    Cut,
}

impl OrderKind {
    /// The kind of a command.
    pub fn of(command: &GroupCommand) -> OrderKind {
        match command {
            GroupCommand::Join { .. } => OrderKind::Join,
            GroupCommand::Open => OrderKind::Open,
            GroupCommand::Close { truncate: false } => OrderKind::Drain,
            GroupCommand::Close { truncate: true } => OrderKind::Cut,
        }
    }
}

type OrderKey = (u64, String, OrderKind);

/// Orders on their way, and loads that began lately.
#[derive(Clone, Debug, Default)]
pub struct OrderBook {
    /// When each may be sent again; `None` while one is on its way.
    due: BTreeMap<OrderKey, Option<Millis>>,
    closing_since: BTreeMap<u64, Millis>,
    loads: VecDeque<Millis>,
}

impl OrderBook {
    /// Orders to send now.
    pub fn to_send(&mut self, view: &View<'_>, fence: u64) -> Vec<GroupOrder> {
        let groups = &view.tables.groups;
        self.due.retain(|(epoch, _, _), _| groups.contains_key(epoch));
        self.closing_since.retain(|epoch, _| groups.contains_key(epoch));
        let mut orders = Vec::new();
        for group in groups.values() {
            let is_closing = matches!(group.phase, GroupPhase::Draining | GroupPhase::Cutting);
            if is_closing {
                self.closing_since.entry(group.epoch).or_insert(view.now);
            }
            for (instance, command) in wanted(view, group) {
                let key = (group.epoch, instance.clone(), OrderKind::of(&command));
                let may_send = match self.due.get(&key) {
                    None => true,
                    Some(Some(at)) => view.now >= *at,
                    Some(None) => false,
                };
                let Some(row) = view.tables.instances.get(&instance) else { continue };
                if !may_send {
                    continue;
                }
                let is_first = self.due.insert(key, None).is_none();
                if is_first && needs_load(view, &instance, &command) {
                    self.loads.push_back(view.now);
                }
                orders.push(GroupOrder {
                    instance,
                    address: row.address,
                    group: group.name.clone(),
                    epoch: group.epoch,
                    fence,
                    command,
                });
            }
        }
        orders
    }

    /// Notes what came of an order.
    pub fn answered(&mut self, now: Millis, order: &GroupOrder, answer: OrderAnswer) {
        let key = (order.epoch, order.instance.clone(), OrderKind::of(&order.command));
        let pause = match answer {
            OrderAnswer::Begun | OrderAnswer::Holds => TAKEN_MS,
            _ => REPEAT_MS,
        };
        if let Some(due) = self.due.get_mut(&key) {
            *due = Some(now + pause);
        }
    }

    /// When a group was first seen closing.
    pub fn closing_since(&self, now: Millis, epoch: u64) -> Millis {
        self.closing_since.get(&epoch).copied().unwrap_or(now)
    }

    /// How many members may begin to draw weights from the store now.
    pub fn loads_allowed(&mut self, now: Millis, engine: &EngineProfile) -> u32 {
        while self.loads.front().is_some_and(|at| now >= at + LOAD_WINDOW_MS) {
            self.loads.pop_front();
        }
        let window = engine.loads_per_second * LOAD_WINDOW_MS as f64 / 1_000.0;
        let most = (window * LOAD_PERCENT as f64 / 100.0) as u32;
        most.saturating_sub(self.loads.len() as u32)
    }
}

fn needs_load(view: &View<'_>, instance: &str, command: &GroupCommand) -> bool {
    let GroupCommand::Join { model, .. } = command else { return false };
    let seen = view.observations.instance(instance);
    !seen.is_some_and(|seen| seen.staged.contains(model))
}

/// Orders whose effect is not seen yet.
fn wanted(view: &View<'_>, group: &GroupRow) -> Vec<(String, GroupCommand)> {
    let head = || group.members.first().cloned();
    let to_head = |command| head().map(|head| (head, command)).into_iter().collect();
    match group.phase {
        GroupPhase::Forming => {
            let command = GroupCommand::Join { model: group.model.clone(), members: group.members.clone() };
            let lacking = group.members.iter().filter(|member| !has_joined(view, group, member));
            lacking.map(|member| (member.clone(), command.clone())).collect()
        }
        GroupPhase::Opening => to_head(GroupCommand::Open),
        GroupPhase::Open => Vec::new(),
        GroupPhase::Draining => to_head(GroupCommand::Close { truncate: false }),
        GroupPhase::Cutting => to_head(GroupCommand::Close { truncate: true }),
    }
}

fn has_joined(view: &View<'_>, group: &GroupRow, member: &str) -> bool {
    let membership = view.observations.instance(member).and_then(|seen| seen.membership.as_ref());
    membership.is_some_and(|membership| {
        membership.epoch == group.epoch && membership.state != MembershipState::Broken
    })
}
