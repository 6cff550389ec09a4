//! The daemon's own calls to servers: probes, orders, and calls on behalf of its own interface.

use crate::entry::new_shared;
use dockwood_api::engine::{
    GenerateEvent, GenerateRequest, GroupHealth, OrderAction, OrderProgress, OrderReply, RequestPhase,
    RequestState,
};
use dockwood_api::gateway::{GroupCommand, GroupOrder, OrderAnswer};
use dockwood_api::resource::{ServiceServer, ServiceSpec};
use dockwood_control::{InstanceProbe, OrderToSend, ProbeQuestion, ProbeResult};
use dockwood_daemon::clock::monotonic_ms;
use dockwood_daemon::control::{ControlHandle, ControlMessage, GroupOrderSender, OrderSender};
use dockwood_daemon::native_dialect::NativeDialect;
use dockwood_daemon::probe::{EngineClient, Reporter};
use dockwood_daemon::pushback::{SendPermit, SendPurpose, SendTarget};
use dockwood_daemon::shared::Shared;
use dockwood_daemon::traffic::Traffic;
use dockwood_daemon::traffic::engine_stream::{EngineStream, StreamRead, bar_request, request_state};
use dockwood_daemon::traffic::services::{ServiceBody, ServiceCall, forward};
use dockwood_state::{OrderRow, OrderState};
use reqwest::Method;
use reqwest::header::HeaderMap;
use serde_json::to_string;
use std::io::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::mpsc::Receiver;

const SERVER: &str = "board-z";
/// Time limit of a service call and of a generation stream; the other calls have their own.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A caller closes its connection if the body of a service's response is longer than this.
const MAX_BODY_BYTES: usize = 1 << 20;

/// One kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Health of a machine's engine.
    Health,
    /// State of a request at a head.
    RequestState,
    /// Barring a request at a head.
    BarRequest,
    /// A generation stream.
    Generate,
    /// An order to a machine's engine.
    EngineOrder,
    /// An order to a member of a group.
    GroupOrder,
    /// A probe of an instance.
    ProbeAlive,
    /// A health check of an instance.
    ProbeHealth,
    /// A call to a plain service.
    Service,
}

impl Call {
    pub const ALL: [Call; 9] = [
        Call::Health,
        Call::RequestState,
        Call::BarRequest,
        Call::Generate,
        Call::EngineOrder,
        Call::GroupOrder,
        Call::ProbeAlive,
        Call::ProbeHealth,
        Call::Service,
    ];

    /// Returns the body that answers the call.
    pub fn body(self) -> String {
        let health = GroupHealth {
            replica: None,
            epoch: 0,
            version: String::new(),
            loaded: false,
            missing: Vec::new(),
            running: 0,
            waiting: 0,
            blocks_used: 0,
            blocks_total: 1,
            highest_fence: 0,
        };
        let body = match self {
            Call::Health => to_string(&health),
            Call::RequestState | Call::BarRequest => {
                to_string(&RequestState { phase: RequestPhase::Barred, next_sequence: 0 })
            }
            Call::Generate => {
                to_string(&GenerateEvent::Finished { tokens: 0 }).map(|line| format!("{line}\n"))
            }
            Call::EngineOrder => to_string(&OrderReply { progress: OrderProgress::Done, highest_fence: 1 }),
            Call::GroupOrder | Call::ProbeAlive | Call::ProbeHealth | Call::Service => Ok("{}".to_string()),
        };
        body.unwrap_or_else(|error| panic!("{error}"))
    }

    /// Makes the call, and returns whether the daemon uses the server's response.
    pub async fn is_answered(self, address: SocketAddr) -> Result<bool> {
        let caller = Caller::new(address)?;
        Ok(match self {
            Call::Health => EngineClient::new(caller.http.clone()).health(address).await.is_ok(),
            Call::RequestState => request_state(&caller.http, address, "r").await.is_some(),
            Call::BarRequest => bar_request(&caller.http, address, "r").await.is_some(),
            Call::Generate => caller.generate().await,
            Call::EngineOrder => caller.order_engine().await,
            Call::GroupOrder => caller.order_group().await,
            Call::ProbeAlive => caller.probe(ProbeQuestion::IsAlive).await,
            Call::ProbeHealth => caller.probe(ProbeQuestion::AnswersAt("/".to_string())).await,
            Call::Service => tokio::time::timeout(CALL_TIMEOUT, caller.call_service()).await.unwrap_or(false),
        })
    }
}

struct Caller {
    shared: Arc<Shared>,
    messages: Receiver<ControlMessage>,
    http: reqwest::Client,
    address: SocketAddr,
}

impl Caller {
    fn new(address: SocketAddr) -> Result<Caller> {
        let (control, messages) = ControlHandle::new();
        let shared = Arc::new(new_shared(None, control)?);
        shared.extend_lease(monotonic_ms());
        Ok(Caller { shared, messages, http: reqwest::Client::new(), address })
    }

    fn group_orders(&self) -> GroupOrderSender {
        let dialect = Arc::new(NativeDialect);
        GroupOrderSender::new(self.shared.clone(), dialect, self.http.clone(), Handle::current())
    }

    async fn generate(&self) -> bool {
        let target = SendTarget::named(SERVER, 1);
        let permit = SendPermit::acquire(&self.shared, target, SendPurpose::Request { rank: 0 }).await;
        let permit = permit.unwrap_or_else(|hold| panic!("{hold:?}"));
        let request = GenerateRequest {
            id: "r".to_string(),
            replica: "replica".to_string(),
            epoch: 1,
            prompt: String::new(),
            adapter: None,
            max_tokens: 1,
            priority: 0,
            resume_from: 0,
            repeatable: false,
        };
        let mut stream = EngineStream::new(&self.http, self.address, &request, permit);
        matches!(stream.next(CALL_TIMEOUT).await, StreamRead::Event(_))
    }

    async fn order_engine(mut self) -> bool {
        let orders = OrderSender::new(self.shared.clone(), self.http.clone(), Handle::current());
        let order = OrderRow {
            id: "o".to_string(),
            server: SERVER.to_string(),
            fence: 1,
            action: OrderAction::Unload,
            state: OrderState::Pending,
            revision: 1,
            issued_ms: 1,
        };
        let lease_until = u64::MAX;
        orders.send(OrderToSend { order, address: self.address, checks_fences: true, lease_until });
        matches!(self.messages.recv().await, Some(ControlMessage::OrderAnswered { done: true, .. }))
    }

    async fn order_group(mut self) -> bool {
        self.group_orders().send(Box::new(GroupOrder {
            instance: SERVER.to_string(),
            address: self.address,
            group: "g1".to_string(),
            epoch: 1,
            fence: 1,
            command: GroupCommand::Leave,
        }));
        let answered = self.messages.recv().await;
        !matches!(answered, Some(ControlMessage::GroupOrderAnswered(_, OrderAnswer::Silent)))
    }

    async fn probe(mut self, question: ProbeQuestion) -> bool {
        self.group_orders().probe(InstanceProbe {
            instance: SERVER.to_string(),
            service: "board".to_string(),
            address: self.address,
            question,
        });
        let answered = self.messages.recv().await;
        matches!(answered, Some(ControlMessage::Probed { result: ProbeResult::Answered, .. }))
    }

    /// Calls a service, and reads the whole body unless it is longer than [`MAX_BODY_BYTES`].
    async fn call_service(&self) -> bool {
        let traffic = Traffic::start(self.shared.clone(), Arc::new(Reporter::default()), self.http.clone());
        let server = ServiceServer {
            name: SERVER.to_string(),
            address: self.address,
            zone: "z".to_string(),
            drain: false,
        };
        let call = ServiceCall {
            service: "board".to_string(),
            spec: ServiceSpec { servers: vec![server], slots_per_server: 1, tenants: Vec::new() },
            method: Method::POST,
            path: "/".to_string(),
            headers: HeaderMap::new(),
            body: ServiceBody::Buffered(bytes::Bytes::new()),
            repeatable: false,
            suspect_attempt: None,
            record_key: None,
        };
        let Ok(mut response) = forward(&traffic, call).await else { return false };
        let mut received = 0;
        while received <= MAX_BODY_BYTES {
            match response.chunk().await {
                Ok(Some(part)) => received += part.len(),
                Ok(None) => return true,
                Err(_) => return false,
            }
        }
        false
    }
}
