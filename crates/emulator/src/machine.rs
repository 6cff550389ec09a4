//! An emulated machine: its status, the loaded model and its orders.

use crate::config::EngineConfig;
use crate::group::Group;
use crate::pushback::Pushback;
use crate::wall_ms;
use dockwood_api::engine::{EngineOrder, LoadPlan, OrderProgress, OrderReply};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;

/// Status of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineStatus {
    /// The machine responds.
    Running,
    /// The process is down; connections are refused.
    Stopped,
    /// The process is suspended; connections hang.
    Paused,
    /// The network is down; connections hang.
    Disconnected,
}

/// An order and its progress.
#[derive(Clone, Debug)]
struct OrderStatus {
    id: String,
    progress: OrderProgress,
}

/// State of a machine. A stop clears the loaded model and the order, but not the fence.
#[derive(Debug)]
struct MachineState {
    status: MachineStatus,
    status_since_ms: u64,
    incarnation: u64,
    leaving_since_ms: Option<u64>,
    step_percent: u64,
    highest_fence: u64,
    order: Option<OrderStatus>,
    loaded: Option<LoadPlan>,
    weights: Option<(String, String)>,
    group: Option<Arc<Group>>,
}

/// An emulated machine.
#[derive(Debug)]
pub struct Machine {
    /// Entry in the fleet file.
    pub config: EngineConfig,
    /// Pushback towards callers.
    pub pushback: Pushback,
    state: Mutex<MachineState>,
    status: watch::Sender<MachineStatus>,
}

impl Machine {
    /// Creates a running machine with nothing loaded.
    pub fn new(config: EngineConfig) -> Self {
        let state = MachineState {
            status: MachineStatus::Running,
            status_since_ms: wall_ms(),
            incarnation: 1,
            leaving_since_ms: None,
            step_percent: 100,
            highest_fence: 0,
            order: None,
            loaded: None,
            weights: None,
            group: None,
        };
        Machine {
            config,
            pushback: Pushback::default(),
            state: Mutex::new(state),
            status: watch::channel(MachineStatus::Running).0,
        }
    }

    fn state(&self) -> MutexGuard<'_, MachineState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Subscribes to the machine's status.
    pub fn watch_status(&self) -> watch::Receiver<MachineStatus> {
        self.status.subscribe()
    }

    /// Waits while the machine is paused or disconnected.
    pub async fn wait_until_responsive(&self) {
        let mut status = self.status.subscribe();
        while matches!(*status.borrow_and_update(), MachineStatus::Paused | MachineStatus::Disconnected) {
            if status.changed().await.is_err() {
                return;
            }
        }
    }

    /// Sets the status. Stopping the machine clears everything it has in memory.
    pub fn set_status(&self, next: MachineStatus) {
        let mut state = self.state();
        if state.status == next {
            return;
        }
        state.status = next;
        state.status_since_ms = wall_ms();
        if next == MachineStatus::Stopped {
            state.incarnation += 1;
            state.order = None;
            state.loaded = None;
            state.weights = None;
            state.group = None;
        }
        drop(state);
        self.status.send_replace(next);
    }

    /// Returns the status, and the time of its last change in milliseconds since the Unix epoch.
    pub fn status(&self) -> (MachineStatus, u64) {
        let state = self.state();
        (state.status, state.status_since_ms)
    }

    /// Sets or clears the mark that the machine is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.state().leaving_since_ms = leaving.then(wall_ms);
    }

    /// Returns the time since which the machine is leaving, if it is.
    pub fn leaving_since(&self) -> Option<u64> {
        self.state().leaving_since_ms
    }

    /// Sets the step time, in percent of normal.
    pub fn set_step_percent(&self, percent: u64) {
        self.state().step_percent = percent.max(1);
    }

    /// Returns the step time, in percent of normal.
    pub fn step_percent(&self) -> u64 {
        self.state().step_percent
    }

    /// Returns the plan that is loaded.
    pub fn loaded(&self) -> Option<LoadPlan> {
        self.state().loaded.clone()
    }

    /// Returns the group that this machine heads.
    pub fn group(&self) -> Option<Arc<Group>> {
        self.state().group.clone()
    }

    /// Returns the highest fence of all accepted orders.
    pub fn highest_fence(&self) -> u64 {
        self.state().highest_fence
    }

    /// Accepts or rejects an order. Returns the reply, and true if the order is new and must be carried out.
    pub fn accept_order(&self, order: &EngineOrder) -> (OrderReply, bool) {
        let mut state = self.state();
        let is_stale = order.fence < state.highest_fence;
        if is_stale && self.config.checks_fences {
            return (
                OrderReply { progress: OrderProgress::Fenced, highest_fence: state.highest_fence },
                false,
            );
        }
        state.highest_fence = state.highest_fence.max(order.fence);
        let highest_fence = state.highest_fence;
        if let Some(known) = state.order.as_ref().filter(|known| known.id == order.id) {
            return (OrderReply { progress: known.progress, highest_fence }, false);
        }
        state.order = Some(OrderStatus { id: order.id.clone(), progress: OrderProgress::Working });
        state.loaded = None;
        state.group = None;
        (OrderReply { progress: OrderProgress::Working, highest_fence }, true)
    }

    /// Whether the weights of this plan are already in memory.
    pub fn has_weights(&self, plan: &LoadPlan) -> bool {
        let wanted = (plan.model.clone(), plan.version.clone());
        self.state().weights.as_ref() == Some(&wanted)
    }

    /// Returns the incarnation of the process, which changes when the machine is stopped.
    pub fn incarnation(&self) -> u64 {
        self.state().incarnation
    }

    /// Marks an order as done and stores what it loaded. Returns false if the order was superseded or the
    /// machine was stopped in the meantime.
    pub fn finish_order(
        &self,
        order_id: &str,
        incarnation: u64,
        loaded: Option<LoadPlan>,
        group: Option<Arc<Group>>,
    ) -> bool {
        let mut state = self.state();
        let is_current = state.order.as_ref().is_some_and(|order| order.id == order_id);
        if !is_current || state.incarnation != incarnation {
            return false;
        }
        state.order = Some(OrderStatus { id: order_id.to_string(), progress: OrderProgress::Done });
        if let Some(plan) = &loaded {
            state.weights = Some((plan.model.clone(), plan.version.clone()));
        }
        state.loaded = loaded;
        state.group = group;
        true
    }

    /// Whether the machine currently works for this replica and epoch.
    pub fn works_for(&self, replica: &str, epoch: u64) -> bool {
        let state = self.state();
        let loaded = state.loaded.as_ref().is_some_and(|plan| plan.replica == replica && plan.epoch == epoch);
        state.status == MachineStatus::Running && loaded
    }
}
