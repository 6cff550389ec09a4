//! Sends group orders to servers and probes instances. Nothing is retried here: the control thread decides whether an
//! order is sent again.

use super::ControlMessage;
use crate::bounded_response::{MAX_ANSWER_BYTES, read_bounded};
use crate::dialect::Dialect;
use crate::framed_response::{FramedResponse, send_request};
use crate::log_line::{LineBody, OrderLine};
use crate::logging;
use crate::probe::probe_instance;
use crate::pushback::{SendPermit, SendPurpose, SendTarget, signals_of};
use crate::shared::Shared;
use dockwood_api::gateway::{GroupOrder, OrderAnswer};
use dockwood_control::{InstanceProbe, ORDER_TIMEOUT_MS, ProbeQuestion, ProbeResult};
use std::sync::Arc;
use std::time::Duration;

/// Time limit for a server to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(ORDER_TIMEOUT_MS);

/// Sends orders and probes from the traffic runtime and reports the results to the control thread.
#[derive(Clone)]
pub struct GroupOrderSender {
    shared: Arc<Shared>,
    dialect: Arc<dyn Dialect>,
    http: reqwest::Client,
    runtime: tokio::runtime::Handle,
}

impl GroupOrderSender {
    /// Creates a sender that makes its calls on `runtime`.
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
            sender.log_answer(&order, answer);
            sender.shared.control.send(ControlMessage::GroupOrderAnswered(order, answer)).await;
        });
    }

    /// Records the result of an order.
    pub fn log_answer(&self, order: &GroupOrder, answer: OrderAnswer) {
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
        match send_request(request).await {
            Ok(response) => self.dialect.order_answer(response.status().as_u16()),
            Err(fault) if fault.is_connect() && !fault.is_timeout() => OrderAnswer::Unreachable,
            Err(_) => OrderAnswer::Silent,
        }
    }

    /// Probes one instance; the result arrives as [`ControlMessage::Probed`].
    pub fn probe(&self, probe: InstanceProbe) {
        let sender = self.clone();
        self.runtime.spawn(async move {
            let (result, slowness) = sender.send_probe(&probe).await;
            sender.shared.metrics.probes.with_label_values(&[&format!("{result:?}")]).inc();
            let instance = probe.instance;
            sender.shared.control.send(ControlMessage::Probed { instance, result, slowness }).await;
        });
    }

    /// Returns the target of a probe for its [`SendPermit`]. A server on hold is not probed either. Orders are sent to it
    /// regardless, because groups have to be closed and left in time.
    fn probe_target(&self, probe: &InstanceProbe) -> SendTarget {
        let tables = self.shared.tables();
        let row = tables.gateway.instances.get(&probe.instance);
        row.map_or_else(|| SendTarget::named(&probe.instance, 1), |row| SendTarget::instance(row))
    }

    /// Classifies a response by the instance id in its headers.
    fn classify_response(&self, response: &FramedResponse, probe: &InstanceProbe) -> ProbeResult {
        match response.headers().get(self.dialect.headers().own_instance) {
            Some(id) if id.as_bytes() != probe.instance.as_bytes() => ProbeResult::OtherInstance,
            // Without an instance id, any process at that address may have answered.
            None if matches!(probe.question, ProbeQuestion::AnswersAt(_)) => ProbeResult::Silent,
            _ => ProbeResult::Answered,
        }
    }

    /// Sends a probe. Returns its result and the ratio of the instance's actual to its declared processing times, if it
    /// reports one.
    async fn send_probe(&self, probe: &InstanceProbe) -> (ProbeResult, Option<f64>) {
        let acquired = SendPermit::acquire(&self.shared, self.probe_target(probe), SendPurpose::Probe).await;
        let Ok(mut permit) = acquired else {
            return (ProbeResult::NotAsked, None);
        };
        let path = match &probe.question {
            ProbeQuestion::IsAlive => self.dialect.report_path(),
            ProbeQuestion::AnswersAt(health_path) => health_path,
        };
        let url = format!("http://{}{path}", probe.address);
        let dialer = self.shared.server_dialer.as_ref();
        let response = match probe_instance(dialer, self.http.get(url), probe.address).await {
            Ok(response) => response,
            Err(result) => return (result, None),
        };
        match self.classify_response(&response, probe) {
            ProbeResult::Answered => {
                let names = &self.dialect.headers().signals;
                permit.record_response(&signals_of(response.status(), response.headers(), names), "");
                // A response shows that the server is alive even if its body is lost.
                let body = read_bounded(response, MAX_ANSWER_BYTES).await.unwrap_or_default();
                (ProbeResult::Answered, self.dialect.report_slowness(&body))
            }
            other => (other, None),
        }
    }
}
