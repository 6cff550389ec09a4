//! Determines which orders must be sent now. An order is repeated until its effect is observed. An unanswered
//! order may be executed late, which the epoch in each order makes harmless.

use crate::domains::has_staged;
use crate::required_orders::{RequiredOrder, required_orders};
use crate::staging::{LOAD_TIMEOUT_FACTOR, StagingInProgress, StagingPriority, StagingRequest};
use crate::{Millis, View};
use dockwood_api::gateway::{GroupCommand, GroupOrder, OrderAnswer};
use dockwood_state::{GroupPhase, GroupRow};
use imbl::OrdMap;
use imbl::ordmap::DiffItem;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Delay before an order without visible effect is sent again.
const RETRY_MS: Millis = 200;
/// Delay before an accepted order is sent again, in which its effect should be reported.
const ACCEPTED_RETRY_MS: Millis = 3_000;
/// Interval between two scans of all groups that are not open: half of the shortest delay before an order is
/// due again, and the maximum delay of effects that only depend on time.
const SWEEP_INTERVAL_MS: Millis = 50;
/// Maximum number of orders to join in flight: sending them to a whole fleet at once would starve the
/// leader's heartbeats of CPU time. Each is answered within some ten milliseconds, so that 760 servers
/// receive theirs within half a second.
const MAX_PENDING_JOINS: usize = 64;
/// Window over which loads from the weight store are counted.
const LOAD_WINDOW_MS: Millis = 5_000;
/// Percentage of the store's allowed loads that is used, because the loads of a former leader are not known.
const LOAD_LIMIT_PERCENT: u64 = 80;

/// Loads of additional models may use at most the store's concurrent loads divided by this: the rest is
/// reserved for groups that wait, and for servers that have no model they could serve.
const ADDITIONAL_MODEL_DIVISOR: u32 = 2;
/// Before the first request, as many loads as the store allows in a window may start within this time,
/// because the loads that start between the first request and the time the leader learns of it count against
/// the limit.
const INITIAL_BURST_MS: Millis = 500;

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

/// An order sent to a member of a group.
#[derive(Clone, Debug)]
struct OrderState {
    instance: String,
    kind: OrderKind,
    /// When it was sent last.
    sent_at: Millis,
    /// When it may be sent again; `None` while it is in flight.
    due: Option<Millis>,
}

/// The orders of one group.
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

/// Tracks orders in flight and recent loads.
///
/// Open groups require no orders, so only the others are examined: those that have changed, and all of them
/// once per [`SWEEP_INTERVAL_MS`] for effects that only depend on time.
#[derive(Clone, Debug, Default)]
pub struct OrderTracker {
    /// The groups as of the last call.
    known_groups: OrdMap<u64, Arc<GroupRow>>,
    /// Orders of the groups that are not open.
    unsettled: BTreeMap<u64, GroupOrders>,
    /// Groups to examine in the next call.
    to_examine: BTreeSet<u64>,
    sweep_at: Millis,
    pending_joins: usize,
    /// Number of groups examined so far.
    groups_examined: u64,
    /// Weights that are being staged.
    staging: StagingInProgress,
    /// Weights that should be staged, the most urgent first.
    staging_requests: Vec<StagingRequest>,
    /// Members that load weights as they join, with the latest time until which they may be loading.
    joining_loads: BTreeMap<String, Millis>,
    load_starts: VecDeque<Millis>,
}

impl OrderTracker {
    /// Returns the orders to send now.
    pub fn due_orders(&mut self, view: &View<'_>, fence: u64) -> Vec<GroupOrder> {
        self.track_groups(view);
        if view.now >= self.sweep_at {
            self.sweep(view);
        }
        let mut orders = Vec::new();
        for epoch in std::mem::take(&mut self.to_examine) {
            self.group_orders(view, fence, epoch, &mut orders);
        }
        orders.extend(self.staging_orders(view, fence));
        orders
    }

    /// Marks a group to be examined again, because a member's report or an answer may have changed the orders
    /// that it requires.
    pub fn touch(&mut self, epoch: u64) {
        if self.unsettled.contains_key(&epoch) {
            self.to_examine.insert(epoch);
        }
    }

    /// Number of groups examined over all calls, which determines the cost of sending orders.
    pub fn groups_examined(&self) -> u64 {
        self.groups_examined
    }

    /// Updates the tracked groups with the changes since the last call.
    fn track_groups(&mut self, view: &View<'_>) {
        if self.known_groups.ptr_eq(&view.tables.groups) {
            return;
        }
        let known = std::mem::replace(&mut self.known_groups, view.tables.groups.clone());
        for change in known.diff(&view.tables.groups) {
            match change {
                DiffItem::Add(epoch, row) | DiffItem::Update { new: (epoch, row), .. } => {
                    self.group_changed(view.now, *epoch, row);
                }
                DiffItem::Remove(epoch, _) => self.remove_group(*epoch),
            }
        }
    }

    fn group_changed(&mut self, now: Millis, epoch: u64, row: &GroupRow) {
        if row.phase == GroupPhase::Open {
            self.remove_group(epoch);
            return;
        }
        let orders = self.unsettled.entry(epoch).or_default();
        if matches!(row.phase, GroupPhase::Draining | GroupPhase::Cutting) {
            orders.closing_since.get_or_insert(now);
        }
        self.to_examine.insert(epoch);
    }

    fn remove_group(&mut self, epoch: u64) {
        self.to_examine.remove(&epoch);
        let Some(orders) = self.unsettled.remove(&epoch) else { return };
        let pending = orders.sent.iter().filter(|order| is_pending_join(order)).count();
        self.pending_joins -= pending;
    }

    /// Handles effects that only depend on time: orders that are due again, and loads that must have ended.
    fn sweep(&mut self, view: &View<'_>) {
        self.sweep_at = view.now + SWEEP_INTERVAL_MS;
        self.staging.refresh(view);
        self.joining_loads.retain(|instance, until| view.now < *until && is_joining(view, instance));
        self.to_examine.extend(self.unsettled.keys());
    }

    fn group_orders(&mut self, view: &View<'_>, fence: u64, epoch: u64, orders: &mut Vec<GroupOrder>) {
        let Some(group) = view.tables.groups.get(&epoch) else { return };
        self.groups_examined += 1;
        for order in required_orders(view, group) {
            let Some(row) = view.tables.instances.get(order.instance) else { continue };
            if order.kind == OrderKind::Join && self.pending_joins >= MAX_PENDING_JOINS {
                // The group is examined again in the next sweep.
                return;
            }
            let Some(is_first) = self.claim_order(view.now, epoch, order) else { continue };
            if is_first && needs_load(view, group, order) {
                self.load_starts.push_back(view.now);
                let until = view.now + load_ms(view, group) * LOAD_TIMEOUT_FACTOR;
                self.joining_loads.insert(order.instance.to_string(), until);
            }
            orders.push(GroupOrder {
                instance: order.instance.to_string(),
                address: row.address,
                group: group.name.clone(),
                epoch,
                fence,
                command: command(group, order.kind),
            });
        }
    }

    /// Records that an order is sent now. Returns `None` if it must not be sent yet, otherwise whether it is
    /// sent for the first time.
    fn claim_order(&mut self, now: Millis, epoch: u64, order: RequiredOrder<'_>) -> Option<bool> {
        let group = self.unsettled.entry(epoch).or_default();
        let is_first = match group.find(order.instance, order.kind) {
            None => {
                let instance = order.instance.to_string();
                group.sent.push(OrderState { instance, kind: order.kind, sent_at: now, due: None });
                true
            }
            Some(sent) => {
                sent.due.filter(|due| now >= *due || sent.sent_at < order.obsolete_before)?;
                sent.due = None;
                sent.sent_at = now;
                false
            }
        };
        self.pending_joins += usize::from(order.kind == OrderKind::Join);
        Some(is_first)
    }

    /// Sets what hosts should stage from now on.
    pub fn set_staging_requests(&mut self, requests: Vec<StagingRequest>) {
        self.staging_requests = requests;
    }

    /// Returns the orders to stage weights; none is repeated while the first may still be loading.
    fn staging_orders(&mut self, view: &View<'_>, fence: u64) -> Vec<GroupOrder> {
        let mut orders = Vec::new();
        if !self.staging_requests.is_empty() {
            self.staging.refresh(view);
        }
        for request in std::mem::take(&mut self.staging_requests) {
            if !self.may_stage(view, &request) {
                continue;
            }
            let Some(row) = view.tables.instances.get(&request.instance) else { continue };
            self.load_starts.push_back(view.now);
            self.staging.begin(view.now, &request);
            orders.push(GroupOrder {
                address: row.address,
                instance: request.instance,
                group: String::new(),
                epoch: 0,
                fence,
                command: GroupCommand::Stage { model: request.model },
            });
        }
        orders
    }

    /// Whether the store's limits permit another load.
    fn may_stage(&mut self, view: &View<'_>, request: &StagingRequest) -> bool {
        if self.staging.is_loading(&request.instance) {
            return false;
        }
        if !view.tables.requests_seen {
            return self.loads_since(view.now, INITIAL_BURST_MS) < max_loads(request.loads_per_second);
        }
        let max_active = match request.priority {
            StagingPriority::RequiredByGroup | StagingPriority::SpareServer => request.loads_at_once,
            StagingPriority::AdditionalModel => request.loads_at_once / ADDITIONAL_MODEL_DIVISOR,
        };
        let has_room = self.active_loads(view.now) < max_active;
        has_room && self.loads_since(view.now, LOAD_WINDOW_MS) < max_loads(request.loads_per_second)
    }

    /// Weights that are being staged.
    pub fn staging(&self) -> &StagingInProgress {
        &self.staging
    }

    /// Records the answer to an order.
    pub fn answered(&mut self, now: Millis, order: &GroupOrder, answer: OrderAnswer) {
        let pause = match answer {
            OrderAnswer::Begun | OrderAnswer::Holds => ACCEPTED_RETRY_MS,
            _ => RETRY_MS,
        };
        let kind = OrderKind::of(&order.command);
        let Some(group) = self.unsettled.get_mut(&order.epoch) else { return };
        let Some(sent) = group.find(&order.instance, kind) else { return };
        let was_pending_join = is_pending_join(sent);
        sent.due = Some(now + pause);
        self.pending_joins -= usize::from(was_pending_join);
    }

    /// When a group was first observed to be closing.
    pub fn closing_since(&self, now: Millis, epoch: u64) -> Millis {
        self.unsettled.get(&epoch).and_then(|orders| orders.closing_since).unwrap_or(now)
    }

    /// Number of loads that are not known to have ended.
    fn active_loads(&self, now: Millis) -> u32 {
        let joining = self.joining_loads.values().filter(|until| now < **until).count();
        joining as u32 + self.staging.count()
    }

    /// Number of loads that started in the last `span`, which must not exceed the window over which they are
    /// counted.
    fn loads_since(&mut self, now: Millis, span: Millis) -> usize {
        while self.load_starts.front().is_some_and(|at| now >= at + LOAD_WINDOW_MS) {
            self.load_starts.pop_front();
        }
        self.load_starts.iter().filter(|at| now < **at + span).count()
    }
}

/// Maximum number of loads that may start within the window.
fn max_loads(loads_per_second: f64) -> usize {
    let window = loads_per_second * LOAD_WINDOW_MS as f64 / 1_000.0;
    (window * LOAD_LIMIT_PERCENT as f64 / 100.0) as usize
}

/// Whether an instance is a member of a group that is still forming.
fn is_joining(view: &View<'_>, instance: &str) -> bool {
    let group = view.tables.group_of(instance);
    group.is_some_and(|group| group.phase == GroupPhase::Forming)
}

/// Declared duration of a load of a group's model.
fn load_ms(view: &View<'_>, group: &GroupRow) -> Millis {
    let engine = view.tables.engine(&group.service);
    engine.and_then(|engine| engine.model(&group.model)).map_or(0, |model| model.load_ms)
}

fn is_pending_join(order: &OrderState) -> bool {
    order.kind == OrderKind::Join && order.due.is_none()
}

fn needs_load(view: &View<'_>, group: &GroupRow, order: RequiredOrder<'_>) -> bool {
    let model = &group.model;
    let is_join = order.kind == OrderKind::Join;
    is_join
        && view.tables.last_model(order.instance) != Some(model)
        && !has_staged(view, order.instance, model)
}

fn command(group: &GroupRow, kind: OrderKind) -> GroupCommand {
    match kind {
        OrderKind::Join => GroupCommand::Join { model: group.model.clone(), members: group.members.clone() },
        // Staging is independent of groups and ordered separately.
        OrderKind::Stage => GroupCommand::Stage { model: group.model.clone() },
        OrderKind::Open => GroupCommand::Open,
        OrderKind::Leave => GroupCommand::Leave,
        OrderKind::Drain => GroupCommand::Close { truncate: false },
        OrderKind::Cut => GroupCommand::Close { truncate: true },
    }
}
