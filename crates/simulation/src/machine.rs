//! A simulated machine: accepts fenced orders, loads weights, and may be down, paused or disconnected.

use dockwood_api::engine::{EngineOrder, LoadPlan, OrderAction};
use dockwood_api::peer::MachineState;

/// Time that the weight store takes to serve one machine's share of the weights, in milliseconds. It serves
/// one machine after another.
pub(crate) const LOAD_MS: u64 = 250;
/// Time to join a group with weights that are already in memory, or to unload, in milliseconds.
pub(crate) const JOIN_MS: u64 = 50;

/// Whether a machine answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MachineStatus {
    On,
    /// The process is down.
    Off,
    /// The process hangs, or its network is down.
    Silent,
}

/// The work that an order requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderWork {
    /// Load weights from the store.
    Load,
    /// Only join or leave a group.
    Join,
}

/// A simulated machine.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    pub name: String,
    pub checks_fences: bool,
    pub status: MachineStatus,
    pub status_since: u64,
    pub incarnation: u64,
    pub highest_fence: u64,
    /// The highest number of a carried-out order; the number is part of the order's id.
    pub highest_carried_out: u64,
    pub order: Option<EngineOrder>,
    pub loaded: Option<LoadPlan>,
    weights: Option<(String, String)>,
}

impl Machine {
    pub fn new(name: String, checks_fences: bool) -> Self {
        Machine {
            name,
            checks_fences,
            status: MachineStatus::On,
            status_since: 0,
            incarnation: 1,
            highest_fence: 0,
            highest_carried_out: 0,
            order: None,
            loaded: None,
            weights: None,
        }
    }

    pub fn set_status(&mut self, now: u64, status: MachineStatus) {
        if self.status == status {
            return;
        }
        self.status = status;
        self.status_since = now;
        if status == MachineStatus::Off {
            self.incarnation += 1;
            self.order = None;
            self.loaded = None;
            self.weights = None;
        }
    }

    /// Returns the state that a probe observes.
    pub fn observed_state(&self) -> MachineState {
        match self.status {
            MachineStatus::Off => MachineState::Refusing,
            MachineStatus::Silent => MachineState::Silent,
            MachineStatus::On => {
                MachineState::alive(self.loaded.as_ref().map(|plan| (plan.replica.as_str(), plan.epoch)))
            }
        }
    }

    pub fn works_for(&self, replica: &str, epoch: u64) -> bool {
        let loaded = self.loaded.as_ref().is_some_and(|plan| plan.replica == replica && plan.epoch == epoch);
        self.status == MachineStatus::On && loaded
    }

    /// Accepts an order and returns the work that it requires, or `None` if it is rejected or already in
    /// progress.
    pub fn accept_order(&mut self, order: &EngineOrder) -> Option<OrderWork> {
        if self.status != MachineStatus::On || (self.checks_fences && order.fence < self.highest_fence) {
            return None;
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        if self.order.as_ref().is_some_and(|known| known.id == order.id) {
            return None;
        }
        self.order = Some(order.clone());
        self.loaded = None;
        match &order.action {
            OrderAction::Load(plan) if self.weights.as_ref() != Some(&weights_of(plan)) => {
                Some(OrderWork::Load)
            }
            _ => Some(OrderWork::Join),
        }
    }

    /// Finishes an order. Returns false if the order was superseded.
    pub fn finish_order(&mut self, order_id: &str) -> bool {
        let Some(order) = self.order.clone().filter(|order| order.id == order_id) else { return false };
        match order.action {
            OrderAction::Load(plan) => {
                self.weights = Some(weights_of(&plan));
                self.loaded = Some(plan);
            }
            OrderAction::Unload => self.loaded = None,
        }
        true
    }

    /// Whether the machine is in the state that an order requests.
    pub fn satisfies(&self, order: &EngineOrder) -> bool {
        match &order.action {
            OrderAction::Load(plan) => self.works_for(&plan.replica, plan.epoch),
            OrderAction::Unload => self.loaded.is_none(),
        }
    }
}

fn weights_of(plan: &LoadPlan) -> (String, String) {
    (plan.model.clone(), plan.version.clone())
}
