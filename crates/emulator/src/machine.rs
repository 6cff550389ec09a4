//! One machine: whether it answers, what it has loaded, and the orders it takes.

use crate::config::EngineConfig;
use crate::group::Group;
use crate::manner::RequestManner;
use crate::wall_ms;
use dockwood_api::engine::{EngineOrder, LoadPlan, OrderProgress, OrderReply};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;

/// Whether a machine answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Power {
    /// It answers.
    On,
    /// The process is gone; connections are refused.
    Off,
    /// The process is stopped; connections hang.
    Paused,
    /// The network is gone; connections hang.
    Cut,
}

/// An order and how far it is.
#[derive(Clone, Debug)]
struct OrderStatus {
    id: String,
    progress: OrderProgress,
}

/// What a machine holds; lost when its process ends, but for the fence.
#[derive(Debug)]
struct MachineCore {
    power: Power,
    power_since_ms: u64,
    incarnation: u64,
    leaving_since_ms: Option<u64>,
    slow_percent: u64,
    highest_fence: u64,
    order: Option<OrderStatus>,
    loaded: Option<LoadPlan>,
    weights: Option<(String, String)>,
    group: Option<Arc<Group>>,
}

/// One emulated machine.
#[derive(Debug)]
pub struct Machine {
    /// Its entry in the fleet file.
    pub config: EngineConfig,
    /// How it treats requests.
    pub manner: RequestManner,
    core: Mutex<MachineCore>,
    power: watch::Sender<Power>,
}

impl Machine {
    /// A machine that answers and has nothing loaded.
    pub fn new(config: EngineConfig) -> Self {
        let core = MachineCore {
            power: Power::On,
            power_since_ms: wall_ms(),
            incarnation: 1,
            leaving_since_ms: None,
            slow_percent: 100,
            highest_fence: 0,
            order: None,
            loaded: None,
            weights: None,
            group: None,
        };
        Machine {
            config,
            manner: RequestManner::default(),
            core: Mutex::new(core),
            power: watch::channel(Power::On).0,
        }
    }

    fn core(&self) -> MutexGuard<'_, MachineCore> {
        self.core.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Follows the machine's power.
    pub fn watch_power(&self) -> watch::Receiver<Power> {
        self.power.subscribe()
    }

    /// Waits while the machine is paused or cut off.
    pub async fn wait_responsive(&self) {
        let mut power = self.power.subscribe();
        while matches!(*power.borrow_and_update(), Power::Paused | Power::Cut) {
            if power.changed().await.is_err() {
                return;
            }
        }
    }

    /// Changes the power. Switching off loses all that is in memory.
    pub fn set_power(&self, next: Power) {
        let mut core = self.core();
        if core.power == next {
            return;
        }
        core.power = next;
        core.power_since_ms = wall_ms();
        if next == Power::Off {
            core.incarnation += 1;
            core.order = None;
            core.loaded = None;
            core.weights = None;
            core.group = None;
        }
        drop(core);
        self.power.send_replace(next);
    }

    /// The machine's power and since when, in milliseconds since the Unix epoch.
    pub fn power(&self) -> (Power, u64) {
        let core = self.core();
        (core.power, core.power_since_ms)
    }

    /// Marks the machine as leaving, or takes that back.
    pub fn set_leaving(&self, leaving: bool) {
        self.core().leaving_since_ms = leaving.then(wall_ms);
    }

    /// Since when the machine is leaving.
    pub fn leaving_since(&self) -> Option<u64> {
        self.core().leaving_since_ms
    }

    /// Sets the time of each step, in percent of normal.
    pub fn set_slow(&self, percent: u64) {
        self.core().slow_percent = percent.max(1);
    }

    /// The time of each step, in percent of normal.
    pub fn slow_percent(&self) -> u64 {
        self.core().slow_percent
    }

    /// What is loaded.
    pub fn loaded(&self) -> Option<LoadPlan> {
        self.core().loaded.clone()
    }

    /// The group that this machine heads.
    pub fn group(&self) -> Option<Arc<Group>> {
        self.core().group.clone()
    }

    /// The highest fence seen.
    pub fn highest_fence(&self) -> u64 {
        self.core().highest_fence
    }

    /// Takes an order. Returns the answer, and true if the order is new and must be carried out.
    pub fn take_order(&self, order: &EngineOrder) -> (OrderReply, bool) {
        let mut core = self.core();
        let stale = order.fence < core.highest_fence;
        if stale && self.config.checks_fences {
            return (
                OrderReply { progress: OrderProgress::Fenced, highest_fence: core.highest_fence },
                false,
            );
        }
        core.highest_fence = core.highest_fence.max(order.fence);
        let highest_fence = core.highest_fence;
        if let Some(known) = core.order.as_ref().filter(|known| known.id == order.id) {
            return (OrderReply { progress: known.progress, highest_fence }, false);
        }
        core.order = Some(OrderStatus { id: order.id.clone(), progress: OrderProgress::Working });
        core.loaded = None;
        core.group = None;
        (OrderReply { progress: OrderProgress::Working, highest_fence }, true)
    }

    /// Whether the weights of this plan are in memory already.
    pub fn has_weights(&self, plan: &LoadPlan) -> bool {
        let wanted = (plan.model.clone(), plan.version.clone());
        self.core().weights.as_ref() == Some(&wanted)
    }

    /// Identifies the process; changes when the machine is switched off.
    pub fn incarnation(&self) -> u64 {
        self.core().incarnation
    }

    /// Ends an order with what is loaded by it. False if the order was overtaken, or the machine was switched
    /// off since.
    pub fn finish_order(
        &self,
        order_id: &str,
        incarnation: u64,
        loaded: Option<LoadPlan>,
        group: Option<Arc<Group>>,
    ) -> bool {
        let mut core = self.core();
        let current = core.order.as_ref().is_some_and(|order| order.id == order_id);
        if !current || core.incarnation != incarnation {
            return false;
        }
        core.order = Some(OrderStatus { id: order_id.to_string(), progress: OrderProgress::Done });
        if let Some(plan) = &loaded {
            core.weights = Some((plan.model.clone(), plan.version.clone()));
        }
        core.loaded = loaded;
        core.group = group;
        true
    }

    /// Whether the machine works for this replica and epoch right now.
    pub fn works_for(&self, replica: &str, epoch: u64) -> bool {
        let core = self.core();
        let loaded = core.loaded.as_ref().is_some_and(|plan| plan.replica == replica && plan.epoch == epoch);
        core.power == Power::On && loaded
    }
}
