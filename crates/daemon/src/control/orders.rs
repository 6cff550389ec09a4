//! Sends fenced orders to machines. An order is in the log before it is sent, and is repeated until answered.

use super::ControlMessage;
use crate::clock::monotonic_ms;
use crate::shared::Shared;
use dockwood_api::engine::{
    EngineOrder, GroupHealth, OrderAction, OrderProgress, OrderReply, PATH_HEALTH, PATH_ORDERS,
};
use dockwood_control::{Millis, OrderToSend};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long a machine may take to answer one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between looks at an order that is being carried out.
const POLL_EVERY: Duration = Duration::from_millis(100);
/// An order is followed this long by one task; then the control thread decides anew.
const FOLLOW_FOR: Duration = Duration::from_secs(20);

/// Sends orders from the traffic runtime and reports back to the control thread.
#[derive(Clone)]
pub struct OrderSender {
    shared: Arc<Shared>,
    http: reqwest::Client,
    runtime: tokio::runtime::Handle,
}

/// One order on its way.
struct Delivery {
    order: EngineOrder,
    server: String,
    address: SocketAddr,
    checks_fences: bool,
    /// Until when this daemon surely leads; a machine that doesn't check fences gets nothing after that.
    lease_until: Millis,
}

impl OrderSender {
    /// A sender that works on the given runtime.
    pub fn new(shared: Arc<Shared>, http: reqwest::Client, runtime: tokio::runtime::Handle) -> Self {
        OrderSender { shared, http, runtime }
    }

    /// Sends one order and follows it; the result arrives as [`ControlMessage::OrderAnswered`].
    pub fn send(&self, to_send: OrderToSend) {
        let OrderToSend { order: row, address, checks_fences, lease_until } = to_send;
        let order = EngineOrder { id: row.id, fence: row.fence, action: row.action };
        let delivery = Delivery { order, server: row.server, address, checks_fences, lease_until };
        let sender = self.clone();
        self.runtime.spawn(async move {
            let done = tokio::time::timeout(FOLLOW_FOR, sender.follow(&delivery)).await.unwrap_or(false);
            let (server, fence) = (delivery.server, delivery.order.fence);
            sender.shared.control.send(ControlMessage::OrderAnswered { server, fence, done }).await;
        });
    }

    /// True once the machine has carried the order out; false if it refused or did not answer.
    async fn follow(&self, delivery: &Delivery) -> bool {
        loop {
            let may_send = delivery.checks_fences || monotonic_ms() < delivery.lease_until;
            if !may_send {
                return false;
            }
            match self.post(delivery).await {
                Some(OrderReply { progress: OrderProgress::Done, .. }) => {
                    return self.is_in_effect(delivery).await;
                }
                Some(OrderReply { progress: OrderProgress::Working, .. }) => {
                    tokio::time::sleep(POLL_EVERY).await
                }
                Some(OrderReply { progress: OrderProgress::Fenced, .. }) | None => return false,
            }
        }
    }

    async fn post(&self, delivery: &Delivery) -> Option<OrderReply> {
        let url = format!("http://{}{PATH_ORDERS}", delivery.address);
        let response = self.http.post(url).timeout(CALL_TIMEOUT).json(&delivery.order).send().await.ok()?;
        response.json().await.ok()
    }

    /// A machine that doesn't check fences may have carried out an older order since: its state is read back.
    async fn is_in_effect(&self, delivery: &Delivery) -> bool {
        if delivery.checks_fences {
            return true;
        }
        let url = format!("http://{}{PATH_HEALTH}", delivery.address);
        let Ok(response) = self.http.get(url).timeout(CALL_TIMEOUT).send().await else { return false };
        let Ok(health) = response.json::<GroupHealth>().await else { return false };
        match &delivery.order.action {
            OrderAction::Load(plan) => {
                health.loaded && health.epoch == plan.epoch && health.replica.as_ref() == Some(&plan.replica)
            }
            OrderAction::Unload => !health.loaded,
        }
    }
}
