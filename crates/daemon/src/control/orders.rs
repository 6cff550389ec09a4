//! Sends fenced orders to machines. An order is committed to the log before it is sent, and is retried until answered.

use super::ControlMessage;
use crate::bounded_response::{MAX_ANSWER_BYTES, read_json};
use crate::clock::monotonic_ms;
use crate::framed_response::send_request;
use crate::shared::Shared;
use dockwood_api::engine::{
    EngineOrder, GroupHealth, OrderAction, OrderProgress, OrderReply, PATH_HEALTH, PATH_ORDERS,
};
use dockwood_control::{Millis, OrderToSend};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time limit of one call to a machine.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between polls of an order that is being carried out.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit of one task that follows an order; after it, the control thread decides how to go on.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends orders from the traffic runtime and reports the results to the control thread.
#[derive(Clone)]
pub struct OrderSender {
    shared: Arc<Shared>,
    http: reqwest::Client,
    runtime: tokio::runtime::Handle,
}

/// An order with what is needed to deliver it.
struct Delivery {
    order: EngineOrder,
    server: String,
    address: SocketAddr,
    checks_fences: bool,
    /// End of the time for which this daemon is certain to lead; a machine that doesn't check fences is sent no order after
    /// that.
    lease_until: Millis,
}

impl OrderSender {
    /// Creates a sender that makes its calls on `runtime`.
    pub fn new(shared: Arc<Shared>, http: reqwest::Client, runtime: tokio::runtime::Handle) -> Self {
        OrderSender { shared, http, runtime }
    }

    /// Sends one order and follows its progress; the result arrives as [`ControlMessage::OrderAnswered`].
    pub fn send(&self, to_send: OrderToSend) {
        let OrderToSend { order: row, address, checks_fences, lease_until } = to_send;
        let order = EngineOrder { id: row.id, fence: row.fence, action: row.action };
        let delivery = Delivery { order, server: row.server, address, checks_fences, lease_until };
        let sender = self.clone();
        self.runtime.spawn(async move {
            let done = tokio::time::timeout(FOLLOW_TIMEOUT, sender.follow(&delivery)).await.unwrap_or(false);
            let (server, fence) = (delivery.server, delivery.order.fence);
            sender.shared.control.send(ControlMessage::OrderAnswered { server, fence, done }).await;
        });
    }

    /// Returns true once the machine has carried out the order, and false if it rejected the order or did not answer.
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
                    tokio::time::sleep(POLL_INTERVAL).await
                }
                Some(OrderReply { progress: OrderProgress::Fenced, .. }) | None => return false,
            }
        }
    }

    async fn post(&self, delivery: &Delivery) -> Option<OrderReply> {
        let url = format!("http://{}{PATH_ORDERS}", delivery.address);
        let request = self.http.post(url).timeout(CALL_TIMEOUT).json(&delivery.order);
        let response = send_request(request).await.ok()?;
        read_json(response, MAX_ANSWER_BYTES).await.ok()
    }

    /// Returns whether the order is in effect. A machine that doesn't check fences may have carried out an older order since,
    /// so its state is read back.
    async fn is_in_effect(&self, delivery: &Delivery) -> bool {
        if delivery.checks_fences {
            return true;
        }
        let url = format!("http://{}{PATH_HEALTH}", delivery.address);
        let request = self.http.get(url).timeout(CALL_TIMEOUT);
        let Ok(response) = send_request(request).await else { return false };
        let Ok(health) = read_json::<GroupHealth>(response, MAX_ANSWER_BYTES).await else { return false };
        match &delivery.order.action {
            OrderAction::Load(plan) => {
                health.loaded && health.epoch == plan.epoch && health.replica.as_ref() == Some(&plan.replica)
            }
            OrderAction::Unload => !health.loaded,
        }
    }
}
