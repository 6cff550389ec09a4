//! Controllers that run on the leader only: each reads the blackboard and returns commands.

use crate::Millis;
use crate::blackboard::Blackboard;
use dockwood_api::engine::OrderAction;
use dockwood_api::peer::MachineState;
use dockwood_placement::PlacementPolicy;
use dockwood_state::{CommandBody, GatewayCommand, OrderRow, OrderState, Tables};
use std::collections::HashMap;

/// A machine must contradict its order for this long before the order is repeated, as reports lag behind.
const MISMATCH_MS: Millis = 700;

/// Expires old records of requests that were running when servers ended.
pub fn expired_suspicions(tables: &Tables, wall_ms: u64) -> Option<CommandBody> {
    let has_expired = tables.gateway.has_expired_suspicions(wall_ms);
    has_expired.then_some(CommandBody::Gateway(GatewayCommand::ExpireSuspicions { at_ms: wall_ms }))
}

/// Commands decided by placement.
pub fn placement(board: &Blackboard, now: Millis, policy: PlacementPolicy) -> Vec<CommandBody> {
    dockwood_placement::plan(&board.fleet(now, policy)).into_iter().map(|operator| operator.body).collect()
}

/// Orders that have not been carried out yet.
pub fn pending_orders(tables: &Tables) -> impl Iterator<Item = &OrderRow> {
    tables.orders.values().map(AsRef::as_ref).filter(|order| order.state == OrderState::Pending)
}

/// Detects machines that answer but are not in the state that they confirmed: they restarted, or, if they
/// don't check fences, were changed by an older order that arrived late.
#[derive(Debug, Default)]
pub struct MismatchDetector {
    mismatch_since: HashMap<String, Millis>,
}

impl MismatchDetector {
    /// Returns the orders to repeat.
    pub fn check(&mut self, board: &Blackboard, now: Millis) -> Vec<CommandBody> {
        let mut commands = Vec::new();
        for (server, order) in &board.tables().orders {
            if !contradicts(order, board.observed.machines.state(server)) {
                self.mismatch_since.remove(server);
                continue;
            }
            let mismatch_since = *self.mismatch_since.entry(server.clone()).or_insert(now);
            if now >= mismatch_since + MISMATCH_MS {
                self.mismatch_since.remove(server);
                commands.push(CommandBody::RepeatOrder { server: server.clone(), fence: order.fence });
            }
        }
        commands
    }
}

fn contradicts(order: &OrderRow, observed: Option<MachineState>) -> bool {
    let Some(observed @ MachineState::Alive { .. }) = observed else { return false };
    let confirmed = match &order.action {
        OrderAction::Load(plan) => MachineState::alive(Some((&plan.replica, plan.epoch))),
        OrderAction::Unload => MachineState::alive(None),
    };
    order.state == OrderState::Done && observed != confirmed
}
