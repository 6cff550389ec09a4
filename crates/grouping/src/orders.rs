//! Which orders have to be sent now. An order is repeated until its effect is seen; what was sent and not answered
//! may be carried out late, which the epoch in each order makes harmless.

use crate::domains::has_staged;
use crate::staging::{LOADS_LENGTH, StagingUnderWay, StagingWish, Urgency};
use crate::wanted::{Wanted, wanted};
use crate::{Millis, View};
use dockwood_api::gateway::{GroupCommand, GroupOrder, OrderAnswer};
use dockwood_state::{GroupPhase, GroupRow};
use imbl::OrdMap;
use imbl::ordmap::DiffItem;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Pause before an order without visible effect is sent again.
const REPEAT_MS: Millis = 200;
/// Pause after an order was taken, for its effect to be reported.
const TAKEN_MS: Millis = 3_000;
/// Time between two looks at all groups that are not open: half of the shortest pause before an order is due again, and
/// what the effect of time alone may be late by.
const SWEEP_EVERY_MS: Millis = 50;
/// Orders to join that may be on their way at a time: a whole fleet's at once would keep the processor from the leader's
/// heartbeats. Each is answered within some ten milliseconds, so that 760 servers are told within half a second.
const MOST_JOINS_UNDER_WAY: usize = 64;
/// Window over which loads from the weight store are counted.
const LOAD_WINDOW_MS: Millis = 5_000;
/// Share of the loads that the store allows that is used, in percent: a former leader's are not known.
const LOAD_PERCENT: u64 = 80;

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

/// One order to one member of a group.
#[derive(Clone, Debug)]
struct OrderState {
    instance: String,
    kind: OrderKind,
    /// When it may be sent again; `None` while it is on its way.
    due: Option<Millis>,
}

/// What is known of one group's orders.
#[derive(Clone, Debug, Default)]
struct GroupOrders {
    sent: Vec<OrderState>,
    closing_since: Option<Millis>,
}

impl GroupOrders {
    fn find(&mut self, instance: &str, kind: OrderKind) -> Option<&mut OrderState> {
        self.sent.iter_mut().find(|order| order.kind == kind && order.instance == instance)
    }
}

/// Orders on their way, and loads that began lately.
///
/// Groups that are open call for nothing, so only the others are looked at: those that have changed, and all of them
/// once in [`SWEEP_EVERY_MS`] for what only time brings about.
#[derive(Clone, Debug, Default)]
pub struct OrderBook {
    /// The groups as they were when last looked at.
    known: OrdMap<u64, Arc<GroupRow>>,
    /// Orders of the groups that are not open.
    unsettled: BTreeMap<u64, GroupOrders>,
    /// Groups to look at.
    touched: BTreeSet<u64>,
    sweep_at: Millis,
    joins_under_way: usize,
    /// Groups looked at so far.
    examined: u64,
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
        self.follow(view);
        if view.now >= self.sweep_at {
            self.sweep(view);
        }
        let mut orders = Vec::new();
        for epoch in std::mem::take(&mut self.touched) {
            self.group_orders(view, fence, epoch, &mut orders);
        }
        orders.extend(self.staging_orders(view, fence));
        orders
    }

    /// A member's report, or an answer, may have changed what a group calls for.
    pub fn touch(&mut self, epoch: u64) {
        if self.unsettled.contains_key(&epoch) {
            self.touched.insert(epoch);
        }
    }

    /// How many times a group was looked at, over all calls: what the work of sending orders grows with.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// Takes the groups that have changed since the last call.
    fn follow(&mut self, view: &View<'_>) {
        if self.known.ptr_eq(&view.tables.groups) {
            return;
        }
        let known = std::mem::replace(&mut self.known, view.tables.groups.clone());
        for change in known.diff(&view.tables.groups) {
            match change {
                DiffItem::Add(epoch, row) | DiffItem::Update { new: (epoch, row), .. } => {
                    self.group_changed(view.now, *epoch, row);
                }
                DiffItem::Remove(epoch, _) => self.forget(*epoch),
            }
        }
    }

    fn group_changed(&mut self, now: Millis, epoch: u64, row: &GroupRow) {
        if row.phase == GroupPhase::Open {
            self.forget(epoch);
            return;
        }
        let orders = self.unsettled.entry(epoch).or_default();
        if matches!(row.phase, GroupPhase::Draining | GroupPhase::Cutting) {
            orders.closing_since.get_or_insert(now);
        }
        self.touched.insert(epoch);
    }

    fn forget(&mut self, epoch: u64) {
        self.touched.remove(&epoch);
        let Some(orders) = self.unsettled.remove(&epoch) else { return };
        let under_way = orders.sent.iter().filter(|order| is_join_under_way(order)).count();
        self.joins_under_way -= under_way;
    }

    /// Takes what only time brings about: orders that are due again, and loads that must have ended.
    fn sweep(&mut self, view: &View<'_>) {
        self.sweep_at = view.now + SWEEP_EVERY_MS;
        self.staging.refresh(view);
        self.joining_loads.retain(|instance, until| view.now < *until && is_joining(view, instance));
        self.touched.extend(self.unsettled.keys());
    }

    fn group_orders(&mut self, view: &View<'_>, fence: u64, epoch: u64, orders: &mut Vec<GroupOrder>) {
        let Some(group) = view.tables.groups.get(&epoch) else { return };
        self.examined += 1;
        for wanted in wanted(view, group) {
            let Some(row) = view.tables.instances.get(wanted.instance) else { continue };
            if wanted.kind == OrderKind::Join && self.joins_under_way >= MOST_JOINS_UNDER_WAY {
                // The group is looked at again with the next sweep.
                return;
            }
            let Some(is_first) = self.claim(view.now, epoch, wanted) else { continue };
            if is_first && needs_load(view, group, wanted) {
                self.loads.push_back(view.now);
                let until = view.now + load_ms(view, group) * LOADS_LENGTH;
                self.joining_loads.insert(wanted.instance.to_string(), until);
            }
            orders.push(GroupOrder {
                instance: wanted.instance.to_string(),
                address: row.address,
                group: group.name.clone(),
                epoch,
                fence,
                command: command(group, wanted.kind),
            });
        }
    }

    /// Notes that an order is sent now; `None` if it is not to be sent, else whether it is sent for the first time.
    fn claim(&mut self, now: Millis, epoch: u64, wanted: Wanted<'_>) -> Option<bool> {
        let group = self.unsettled.entry(epoch).or_default();
        let is_first = match group.find(wanted.instance, wanted.kind) {
            None => {
                let instance = wanted.instance.to_string();
                group.sent.push(OrderState { instance, kind: wanted.kind, due: None });
                true
            }
            Some(order) => {
                order.due.filter(|due| now >= *due)?;
                order.due = None;
                false
            }
        };
        self.joins_under_way += usize::from(wanted.kind == OrderKind::Join);
        Some(is_first)
    }

    /// What hosts should stage from now on.
    pub fn wish(&mut self, wishes: Vec<StagingWish>) {
        self.wishes = wishes;
    }

    /// Orders to stage weights; none is repeated while the first may still be loading.
    fn staging_orders(&mut self, view: &View<'_>, fence: u64) -> Vec<GroupOrder> {
        let mut orders = Vec::new();
        if !self.wishes.is_empty() {
            self.staging.refresh(view);
        }
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
        let pause = match answer {
            OrderAnswer::Begun | OrderAnswer::Holds => TAKEN_MS,
            _ => REPEAT_MS,
        };
        let kind = OrderKind::of(&order.command);
        let Some(group) = self.unsettled.get_mut(&order.epoch) else { return };
        let Some(sent) = group.find(&order.instance, kind) else { return };
        let was_under_way = is_join_under_way(sent);
        sent.due = Some(now + pause);
        self.joins_under_way -= usize::from(was_under_way);
    }

    /// When a group was first seen closing.
    pub fn closing_since(&self, now: Millis, epoch: u64) -> Millis {
        self.unsettled.get(&epoch).and_then(|orders| orders.closing_since).unwrap_or(now)
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
    let engine = view.tables.engine(&group.service);
    engine.and_then(|engine| engine.model(&group.model)).map_or(0, |model| model.load_ms)
}

fn is_join_under_way(order: &OrderState) -> bool {
    order.kind == OrderKind::Join && order.due.is_none()
}

fn needs_load(view: &View<'_>, group: &GroupRow, wanted: Wanted<'_>) -> bool {
    let model = &group.model;
    let joins = wanted.kind == OrderKind::Join;
    joins
        && view.tables.last_model(wanted.instance) != Some(model)
        && !has_staged(view, wanted.instance, model)
}

fn command(group: &GroupRow, kind: OrderKind) -> GroupCommand {
    match kind {
        OrderKind::Join => GroupCommand::Join { model: group.model.clone(), members: group.members.clone() },
        // Weights are staged for no group, by orders of their own.
        OrderKind::Stage => GroupCommand::Stage { model: group.model.clone() },
        OrderKind::Open => GroupCommand::Open,
        OrderKind::Leave => GroupCommand::Leave,
        OrderKind::Drain => GroupCommand::Close { truncate: false },
        OrderKind::Cut => GroupCommand::Close { truncate: true },
    }
}
