//! Sends group orders to servers, and asks instances whether they are alive. Each is sent once; whether an order is
//! repeated is for the control thread to decide.

use super::ControlMessage;
use crate::dialect::Dialect;
use crate::log_line::{LineBody, OrderLine};
use crate::logging;
use crate::pushback::{SendPermit, SendPurpose, SendTarget, signals_of};
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

    /// The instance that is asked. Questions are no requests, but a server that wants nothing is spared them, too; orders go
    /// to it all the same, as groups have to be closed and left in time.
    fn addressee(&self, probe: &InstanceProbe) -> SendTarget {
        let tables = self.shared.tables();
        let row = tables.gateway.instances.get(&probe.instance);
        row.map_or_else(|| SendTarget::named(&probe.instance, 1), |row| SendTarget::instance(row))
    }

    /// What an answer shows of who gave it.
    fn result_of(&self, response: &reqwest::Response, probe: &InstanceProbe) -> ProbeResult {
        match response.headers().get(self.dialect.headers().own_instance) {
            Some(id) if id.as_bytes() != probe.instance.as_bytes() => ProbeResult::OtherInstance,
            // Without its id, nobody has said who answers there.
            None if matches!(probe.question, ProbeQuestion::AnswersAt(_)) => ProbeResult::Silent,
            _ => ProbeResult::Answered,
        }
    }

    /// What came of asking, and how many times its declared times the instance takes, where it tells.
    async fn ask(&self, probe: &InstanceProbe) -> (ProbeResult, Option<f64>) {
        let asked = SendPermit::acquire(&self.shared, self.addressee(probe), SendPurpose::Probe).await;
        let Ok(mut permit) = asked else {
            return (ProbeResult::NotAsked, None);
        };
        let path = match &probe.question {
            ProbeQuestion::IsAlive => self.dialect.report_path(),
            ProbeQuestion::AnswersAt(health_path) => health_path,
        };
        let url = format!("http://{}{path}", probe.address);
        match self.http.get(url).timeout(PROBE_TIMEOUT).send().await {
            Ok(response) => match self.result_of(&response, probe) {
                ProbeResult::Answered => {
                    let names = &self.dialect.headers().signals;
                    permit.record_response(&signals_of(response.status(), response.headers(), names), "");
                    // An answer whose body is lost shows a living server all the same.
                    let body = response.bytes().await.unwrap_or_default();
                    (ProbeResult::Answered, self.dialect.report_slowness(&body))
                }
                other => (other, None),
            },
            Err(error) if error.is_connect() && !error.is_timeout() => (ProbeResult::Refused, None),
            Err(_) => (ProbeResult::Silent, None),
        }
    }
}
