//! Which orders have to be sent now. An order is repeated until its effect is seen; what was sent and not answered
//! may be carried out late, which the epoch in each order makes harmless.

use crate::domains::has_staged;
use crate::staging::{StagingUnderWay, StagingWish, Urgency};
use crate::{Millis, View};
use dockwood_api::gateway::{GroupCommand, GroupOrder, MembershipState, OrderAnswer};
use dockwood_state::{GroupPhase, GroupRow};
use std::collections::{BTreeMap, VecDeque};

/// Pause before an order without visible effect is sent again.
const REPEAT_MS: Millis = 200;
/// Pause after an order was taken, for its effect to be reported.
const TAKEN_MS: Millis = 3_000;
/// Window over which loads from the weight store are counted.
const LOAD_WINDOW_MS: Millis = 5_000;
/// Share of the loads that the store allows that is used, in percent: a former leader's are not known.
const LOAD_PERCENT: u64 = 80;

/// A load counts as under way for at most this many times its declared length.
const LOADS_LENGTH: u64 = 2;
/// Servers that could serve another model too take this part of the loads at a time at most: the rest is for groups
/// that wait, and for servers that could serve nothing.
const ANOTHER_PART: u32 = 2;
/// Before the first request, as many loads as the store allows in a window may begin within this time: those that begin
/// between the first request and the leader's learning of it count.
const FIRST_BURST_MS: Millis = 500;

/// The kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum OrderKind {
    /// [`GroupCommand::Join`].
    Join,
    /// [`GroupCommand::Stage`].
    Stage,
    /// [`GroupCommand::Open`].
    Open,
    /// [`GroupCommand::Leave`].
    Leave,
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
            GroupCommand::Stage { .. } => OrderKind::Stage,
            GroupCommand::Open => OrderKind::Open,
            GroupCommand::Leave => OrderKind::Leave,
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
    /// Weights that are being staged.
    staging: StagingUnderWay,
    /// Weights that should be staged, the most urgent first.
    wishes: Vec<StagingWish>,
    /// Members that draw weights as they join, and until when they may.
    joining_loads: BTreeMap<String, Millis>,
    loads: VecDeque<Millis>,
}

impl OrderBook {
    /// Orders to send now.
    pub fn to_send(&mut self, view: &View<'_>, fence: u64) -> Vec<GroupOrder> {
        let groups = &view.tables.groups;
        self.due.retain(|(epoch, _, _), _| groups.contains_key(epoch));
        self.staging.refresh(view);
        self.joining_loads.retain(|instance, until| view.now < *until && is_joining(view, instance));
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
                    self.joining_loads
                        .insert(instance.clone(), view.now + load_ms(view, group) * LOADS_LENGTH);
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
        orders.extend(self.staging_orders(view, fence));
        orders
    }

    /// What hosts should stage from now on.
    pub fn wish(&mut self, wishes: Vec<StagingWish>) {
        self.wishes = wishes;
    }

    /// Orders to stage weights; none is repeated while the first may still be loading.
    fn staging_orders(&mut self, view: &View<'_>, fence: u64) -> Vec<GroupOrder> {
        let mut orders = Vec::new();
        for wish in std::mem::take(&mut self.wishes) {
            if !self.may_stage(view, &wish) {
                continue;
            }
            let Some(row) = view.tables.instances.get(&wish.instance) else { continue };
            self.loads.push_back(view.now);
            self.staging.begin(view.now, &wish);
            orders.push(GroupOrder {
                address: row.address,
                instance: wish.instance,
                group: String::new(),
                epoch: 0,
                fence,
                command: GroupCommand::Stage { model: wish.model },
            });
        }
        orders
    }

    /// Whether the store has room for a load.
    fn may_stage(&mut self, view: &View<'_>, wish: &StagingWish) -> bool {
        if self.staging.is_loading(&wish.instance) {
            return false;
        }
        if !view.tables.requests_seen {
            return self.loads_since(view.now, FIRST_BURST_MS) < most_loads(wish.loads_per_second);
        }
        let at_once = match wish.urgency {
            Urgency::Awaited | Urgency::Spare => wish.loads_at_once,
            Urgency::Another => wish.loads_at_once / ANOTHER_PART,
        };
        let has_room = self.under_way(view.now) < at_once;
        has_room && self.loads_since(view.now, LOAD_WINDOW_MS) < most_loads(wish.loads_per_second)
    }

    /// Weights that are being staged.
    pub fn staging(&self) -> &StagingUnderWay {
        &self.staging
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

    /// Loads that are not known to have ended.
    fn under_way(&self, now: Millis) -> u32 {
        let joining = self.joining_loads.values().filter(|until| now < **until).count();
        joining as u32 + self.staging.count()
    }

    /// Loads that began in the last `span`, which is no longer than the window over which they are counted.
    fn loads_since(&mut self, now: Millis, span: Millis) -> usize {
        while self.loads.front().is_some_and(|at| now >= at + LOAD_WINDOW_MS) {
            self.loads.pop_front();
        }
        self.loads.iter().filter(|at| now < **at + span).count()
    }
}

/// Loads that may begin within the window.
fn most_loads(loads_per_second: f64) -> usize {
    let window = loads_per_second * LOAD_WINDOW_MS as f64 / 1_000.0;
    (window * LOAD_PERCENT as f64 / 100.0) as usize
}

/// Whether a member's weights are still being loaded.
fn is_joining(view: &View<'_>, instance: &str) -> bool {
    let group = view.tables.group_of(instance);
    group.is_some_and(|group| group.phase == GroupPhase::Forming)
}

/// Declared length of a load of a group's model.
fn load_ms(view: &View<'_>, group: &GroupRow) -> Millis {
    let configuration = view.tables.configuration.as_ref();
    let service = configuration.and_then(|held| held.service(&group.service));
    let engine = service.and_then(|service| service.engine.as_ref());
    engine.and_then(|engine| engine.model(&group.model)).map_or(0, |model| model.load_ms)
}

fn needs_load(view: &View<'_>, instance: &str, command: &GroupCommand) -> bool {
    let GroupCommand::Join { model, .. } = command else { return false };
    view.tables.last_model(instance) != Some(model) && !has_staged(view, instance, model)
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
        GroupPhase::Draining => to_head(closing_order(view, group, false)),
        GroupPhase::Cutting => {
            let mut orders: Vec<(String, GroupCommand)> = to_head(closing_order(view, group, true));
            orders.extend(members_to_leave(view, group).map(|member| (member, GroupCommand::Leave)));
            orders
        }
    }
}

/// What the head is told next: to close, and once it has closed, to leave. An order to open that was left unanswered may
/// be carried out after that of closing; it finds no group any more.
fn closing_order(view: &View<'_>, group: &GroupRow, truncate: bool) -> GroupCommand {
    let head = group.members.first().and_then(|head| view.observations.instance(head));
    let membership = head.and_then(|seen| seen.membership.as_ref());
    let has_closed = membership.is_some_and(|membership| {
        let is_closed = matches!(membership.state, MembershipState::Ready | MembershipState::Broken);
        membership.epoch == group.epoch && is_closed
    });
    if has_closed { GroupCommand::Leave } else { GroupCommand::Close { truncate } }
}

/// Where the head can't be asked to close, its other members are told to leave: without them it can't go on, whether
/// it is lost or only cut off, and they need not wait until it is known which.
fn members_to_leave<'a>(view: &'a View<'_>, group: &'a GroupRow) -> impl Iterator<Item = String> + 'a {
    let head_answers = group.members.first().is_some_and(|head| view.observations.is_present(view.now, head));
    let others = group.members.iter().skip(1).filter(move |_| !head_answers);
    others.filter(|member| has_joined(view, group, member)).cloned()
}

fn has_joined(view: &View<'_>, group: &GroupRow, member: &str) -> bool {
    let membership = view.observations.instance(member).and_then(|seen| seen.membership.as_ref());
    membership.is_some_and(|membership| {
        membership.epoch == group.epoch && membership.state != MembershipState::Broken
    })
}
