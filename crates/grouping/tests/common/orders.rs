//! Sends orders of a group and processes their answers like the leader does.

use super::TestCluster;
use dockwood_api::gateway::{GroupCommand, GroupOrder, OrderAnswer};
use dockwood_grouping::OrderTracker;
use dockwood_state::{GatewayCommand, GroupPhase};

/// Cuts a group off.
pub fn cut(cluster: &mut TestCluster, epoch: u64) {
    let reason = "test".to_string();
    cluster.apply(GatewayCommand::SetPhase { epoch, phase: GroupPhase::Cutting, reason });
}

/// Sends the orders that are due.
pub fn send_due(cluster: &mut TestCluster, tracker: &mut OrderTracker) -> Vec<GroupOrder> {
    let orders = tracker.due_orders(&cluster.view(), 1);
    orders.iter().for_each(|order| cluster.observations.record_sent(cluster.now, order));
    orders
}

/// Processes the answer to an order.
pub fn process_answer(
    cluster: &mut TestCluster,
    tracker: &mut OrderTracker,
    order: &GroupOrder,
    answer: OrderAnswer,
) {
    tracker.answered(cluster.now, order, answer);
    cluster.observations.record_answer(cluster.now, order, answer);
}

/// The servers and commands of orders.
pub fn commands(orders: &[GroupOrder]) -> Vec<(&str, &GroupCommand)> {
    orders.iter().map(|order| (order.instance.as_str(), &order.command)).collect()
}

/// An order to join a group.
pub fn join_order(cluster: &TestCluster, instance: &str, epoch: u64, model: &str) -> GroupOrder {
    GroupOrder {
        instance: instance.to_string(),
        address: cluster.tables.instances[instance].address,
        group: format!("g{epoch}"),
        epoch,
        fence: 1,
        command: GroupCommand::Join { model: model.to_string(), members: Vec::new() },
    }
}
