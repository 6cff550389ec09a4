//! Sends group orders to servers, and asks instances whether they are alive. Each is sent once; whether an order is
//! repeated is for the control thread to decide.

use super::ControlMessage;
use crate::dialect::Dialect;
use crate::log_line::{LineBody, OrderLine};
use crate::logging;
use crate::shared::Shared;
use dockwood_api::gateway::{GroupOrder, OrderAnswer};
use dockwood_control::{InstanceProbe, ProbeQuestion, ProbeResult};
use std::sync::Arc;
use std::time::Duration;

/// How long a server may take to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// How long an instance may take to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Sends from the traffic runtime and reports back to the control thread.
#[derive(Clone)]
pub struct GroupOrderSender {
    shared: Arc<Shared>,
    dialect: Arc<dyn Dialect>,
    http: reqwest::Client,
    runtime: tokio::runtime::Handle,
}

impl GroupOrderSender {
    /// A sender that works on the given runtime.
    pub fn new(
        shared: Arc<Shared>,
        dialect: Arc<dyn Dialect>,
        http: reqwest::Client,
        runtime: tokio::runtime::Handle,
    ) -> Self {
        GroupOrderSender { shared, dialect, http, runtime }
    }

    /// Sends one order; the result arrives as [`ControlMessage::GroupOrderAnswered`].
    pub fn send(&self, order: Box<GroupOrder>) {
        let sender = self.clone();
        self.runtime.spawn(async move {
            let answer = sender.post(&order).await;
            sender.tell(&order, answer);
            sender.shared.control.send(ControlMessage::GroupOrderAnswered(order, answer)).await;
        });
    }

    fn tell(&self, order: &GroupOrder, answer: OrderAnswer) {
        let line = OrderLine {
            order: format!("{:?}", order.command),
            instance: &order.instance,
            group: &order.group,
            epoch: order.epoch,
            fence: order.fence,
            answer: format!("{answer:?}"),
        };
        logging::write(&self.shared.settings.name, LineBody::Order(line));
    }

    async fn post(&self, order: &GroupOrder) -> OrderAnswer {
        let call = self.dialect.order_call(order);
        let url = format!("http://{}{}", order.address, call.path);
        let mut request = self.http.post(url).timeout(ORDER_TIMEOUT).body(call.body);
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        match request.send().await {
            Ok(response) => self.dialect.order_answer(response.status().as_u16()),
            Err(error) if error.is_connect() && !error.is_timeout() => OrderAnswer::Unreachable,
            Err(_) => OrderAnswer::Silent,
        }
    }

    /// Asks one instance; the result arrives as [`ControlMessage::Probed`].
    pub fn probe(&self, probe: InstanceProbe) {
        let sender = self.clone();
        self.runtime.spawn(async move {
            let (result, slowness) = sender.ask(&probe).await;
            sender.shared.metrics.probes.with_label_values(&[&format!("{result:?}")]).inc();
            let instance = probe.instance;
            sender.shared.control.send(ControlMessage::Probed { instance, result, slowness }).await;
        });
    }

    /// Whether an answer tells that it is another instance's.
    fn is_other(&self, response: &reqwest::Response, probe: &InstanceProbe) -> bool {
        let told = response.headers().get(self.dialect.headers().own_instance);
        told.is_some_and(|id| id.as_bytes() != probe.instance.as_bytes())
    }

    /// What came of asking, and how many times its declared times the instance takes, where it tells.
    async fn ask(&self, probe: &InstanceProbe) -> (ProbeResult, Option<f64>) {
        let path = match &probe.question {
            ProbeQuestion::IsAlive => self.dialect.report_path(),
            ProbeQuestion::AnswersAt(health_path) => health_path,
        };
        let url = format!("http://{}{path}", probe.address);
        match self.http.get(url).timeout(PROBE_TIMEOUT).send().await {
            // Without its id, nobody has said who answers there.
            Ok(response)
                if matches!(probe.question, ProbeQuestion::AnswersAt(_))
                    && !response.headers().contains_key(self.dialect.headers().own_instance) =>
            {
                (ProbeResult::Silent, None)
            }
            Ok(response) if self.is_other(&response, probe) => (ProbeResult::OtherInstance, None),
            // An answer whose body is lost shows a living server all the same.
            Ok(response) => {
                let body = response.bytes().await.unwrap_or_default();
                (ProbeResult::Answered, self.dialect.report_slowness(&body))
            }
            Err(error) if error.is_connect() && !error.is_timeout() => (ProbeResult::Refused, None),
            Err(_) => (ProbeResult::Silent, None),
        }
    }
}
