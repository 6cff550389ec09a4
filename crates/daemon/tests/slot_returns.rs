//! Slots that an entry returns to a coordinator, and the requests for slots that follow.

use dockwood_api::ResultCode;
use dockwood_api::peer::{
    AcquireReply, AcquireRequest, DaemonRecord, MAX_FRAME_BYTES, PeerRequest, PeerResponse, PostcardCodec,
    Refusal, ReplicaEvidence,
};
use dockwood_api::resource::TenantLimits;
use dockwood_daemon::clock::monotonic_ms;
use dockwood_daemon::control::ControlHandle;
use dockwood_daemon::metrics::Metrics;
use dockwood_daemon::published::Published;
use dockwood_daemon::settings::Settings;
use dockwood_daemon::shared::Shared;
use dockwood_daemon::traffic::pools::HostedPools;
use dockwood_daemon::traffic::slots::{HeldSlot, SlotClient};
use dockwood_routing::{ChoicePolicy, Coordinator, Input, Output, PoolConfig, PoolReplica, TenantShare};
use dockwood_state::{DaemonRow, Liveness, PoolRow, Tables};
use futures::StreamExt;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tarpc::ServerError;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::server::{BaseChannel, Channel, Serve};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::LengthDelimitedCodec;

type TestResult = Result<(), Box<dyn std::error::Error>>;

const POOL: &str = "pool";
const TENANT: &str = "tenant";
const COORDINATOR: &str = "coordinator";
/// Longer than any test waits for a slot.
const RETURN_DELAY: Duration = Duration::from_secs(60);
/// How long an entry waits for a slot, in milliseconds.
const PATIENCE_MS: u64 = 5_000;

/// How a coordinator treats the calls that reach it.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// The first so many requests for a slot are processed, but not answered.
    lost_answers: u64,
}

#[derive(Default)]
struct PoolState {
    coordinator: Coordinator,
    tickets: u64,
}

/// A coordinator that processes calls that return a slot only long after it has received them.
#[derive(Clone)]
struct DelayingCoordinator {
    pool: Arc<Mutex<PoolState>>,
    faults: Faults,
}

impl Serve for DelayingCoordinator {
    type Req = PeerRequest;
    type Resp = PeerResponse;

    async fn serve(self, _: Context, request: PeerRequest) -> Result<PeerResponse, ServerError> {
        match request {
            PeerRequest::Acquire { request } => self.acquire(request).map(PeerResponse::Acquire),
            PeerRequest::Release { slot_return } => {
                tokio::time::sleep(RETURN_DELAY).await;
                self.step(Input::Release(slot_return));
                Ok(PeerResponse::Release(()))
            }
            other => Err(failure(&format!("unexpected call {other:?}"))),
        }
    }
}

fn failure(detail: &str) -> ServerError {
    ServerError::new(std::io::ErrorKind::Other, detail.to_string())
}

impl DelayingCoordinator {
    /// Creates the coordinator of a pool with one replica, at which the tenant may run one request at a time.
    fn new(faults: Faults) -> DelayingCoordinator {
        let limits = TenantLimits { requests_per_second: 0, tokens_per_second: 0, concurrency: 1 };
        let replica = PoolReplica {
            name: "replica".to_string(),
            epoch: 1,
            head: SocketAddr::from(([127, 0, 0, 1], 80)),
            serving: true,
            draining: false,
        };
        let coordinator = DelayingCoordinator { pool: Arc::default(), faults };
        coordinator.step(Input::Configure(PoolConfig {
            term: 1,
            slots_per_replica: 4,
            queue_limit: 4,
            declared_replicas: 1,
            replicas: vec![replica],
            tenants: BTreeMap::from([(TENANT.to_string(), TenantShare { tier: 0, weight: 1, limits })]),
            policy: ChoicePolicy::default(),
        }));
        coordinator
    }

    fn step(&self, input: Input) -> Vec<Output> {
        let mut pool = self.pool.lock().unwrap_or_else(|error| panic!("{error}"));
        let now = monotonic_ms();
        let evidence = ReplicaEvidence {
            replica: "replica".to_string(),
            pool: POOL.to_string(),
            epoch: 1,
            complete: true,
            missing: Vec::new(),
            echo_ms: now,
        };
        pool.coordinator.step(now, Input::Evidence(evidence));
        pool.coordinator.step(now, input)
    }

    fn next_ticket(&self) -> u64 {
        let mut pool = self.pool.lock().unwrap_or_else(|error| panic!("{error}"));
        pool.tickets += 1;
        pool.tickets
    }

    fn acquire(&self, request: AcquireRequest) -> Result<AcquireReply, ServerError> {
        let ticket = self.next_ticket();
        let outputs = self.step(Input::Acquire { ticket, request });
        if ticket <= self.faults.lost_answers {
            return Err(failure("the answer is lost"));
        }
        let reply = outputs.into_iter().find_map(|output| match output {
            Output::Granted(granted, grant) if granted == ticket => Some(AcquireReply::Granted(grant)),
            Output::Refused(refused, refusal) if refused == ticket => Some(AcquireReply::Refused(refusal)),
            _ => None,
        });
        reply.ok_or_else(|| failure("the request was neither granted nor refused"))
    }

    /// Answers the calls of entries; returns the address for them.
    async fn serve_peers(self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(self.clone().serve_connection(stream));
            }
        });
        Ok(address)
    }

    async fn serve_connection(self, stream: TcpStream) {
        let framed = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream);
        let channel = BaseChannel::with_defaults(serde_transport::new(framed, PostcardCodec::default()));
        let serve = channel.execute(self).for_each(|call| async move {
            tokio::spawn(call);
        });
        serve.await;
    }
}

/// Starts a coordinator, and creates the slots of an entry that asks it.
async fn entry_of(coordinator: DelayingCoordinator) -> Result<Arc<SlotClient>, Box<dyn std::error::Error>> {
    let directory = tempfile::tempdir()?;
    let path = directory.path().join("entry.yaml");
    let text = "name: entry\nregion: r\nzone: z\nlisten: { http: \"127.0.0.1:1\", peer: \"127.0.0.1:2\" }\n\
         control: { seeds: [\"127.0.0.1:3\"], seedPeerPort: 4, founding: false, member: false }\n\
         gateway: { frontend: \"127.0.0.1:5\", readiness: \"127.0.0.1:6\", directory: \"127.0.0.1:7\" }\n";
    std::fs::write(&path, text)?;
    let settings = Settings::read(&path).map_err(|problems| format!("{problems:?}"))?;
    let shared = Arc::new(Shared::new(settings, 1, Metrics::new()?, ControlHandle::new().0));
    let peer = coordinator.serve_peers().await?;
    shared.publish(Published { tables: Arc::new(tables(peer)), ..Published::default() });
    let hosted_pools = Arc::new(HostedPools::new(shared.clone(), Arc::default()));
    Ok(Arc::new(SlotClient::new(shared, hosted_pools)))
}

fn tables(coordinator: SocketAddr) -> Tables {
    let record = DaemonRecord {
        name: COORDINATOR.to_string(),
        http: coordinator,
        peer: coordinator,
        zone: "z".to_string(),
        region: "r".to_string(),
        frontend: None,
        operators: None,
    };
    let daemon = DaemonRow { record, incarnation: 1, liveness: Liveness::Live, revision: 1, since_ms: 0 };
    let pool = PoolRow { coordinator: Some(COORDINATOR.to_string()), standby: None, term: 1 };
    Tables {
        daemons: [(COORDINATOR.to_string(), Arc::new(daemon))].into_iter().collect(),
        pools: [(POOL.to_string(), pool)].into_iter().collect(),
        ..Tables::default()
    }
}

async fn acquire(slots: &Arc<SlotClient>) -> Result<HeldSlot, Refusal> {
    let request = AcquireRequest {
        pool: POOL.to_string(),
        request_id: "request".to_string(),
        entry: "entry".to_string(),
        tenant: TENANT.to_string(),
        cost_tokens: 1,
        prefix_blocks: Vec::new(),
        wait_ms: 0,
        avoid: Vec::new(),
        search: rand::random(),
        call: 0,
        returned: Vec::new(),
    };
    slots.acquire(request, monotonic_ms() + PATIENCE_MS).await
}

fn code(slot: Result<HeldSlot, Refusal>) -> ResultCode {
    slot.map_or_else(|refusal| refusal.code, |_| ResultCode::Ok)
}

#[tokio::test]
async fn a_tenant_at_its_limit_gets_a_slot_after_one_whose_return_is_delayed() -> TestResult {
    let slots = entry_of(DelayingCoordinator::new(Faults::default())).await?;
    let stalled = acquire(&slots).await.map_err(|refusal| refusal.message)?;
    assert_eq!(code(acquire(&slots).await), ResultCode::TenantLimit, "the limit is in force");
    drop(stalled);
    assert_eq!(code(acquire(&slots).await), ResultCode::Ok);
    Ok(())
}

#[tokio::test]
async fn a_tenant_at_its_limit_gets_a_slot_although_the_first_answer_is_lost() -> TestResult {
    let slots = entry_of(DelayingCoordinator::new(Faults { lost_answers: 1 })).await?;
    assert_eq!(code(acquire(&slots).await), ResultCode::Ok);
    Ok(())
}
