//! The process: starts every part, waits for a planned stop, and ends in order.

use crate::clock::{monotonic_ms, wall_ms};
use crate::control::{
    Announcer, ControlHandle, ControlMessage, ControlThread, GroupOrderSender, OrderSender, StartError,
    StartedControl, run_admission, run_control_thread, run_lease_client, run_pulse,
};
use crate::dialect::Dialect;
use crate::gateway::{Gateway, GatewayListeners};
use crate::http::{App, serve_http};
use crate::log_line::LineBody;
use crate::logging;
use crate::metrics::Metrics;
use crate::peer::serve_peers;
use crate::probe::{
    EngineClient, Reporter, run_machine_prober, run_platform_reader, run_replica_watcher, run_reporter,
};
use crate::pushback::run_limit_sync;
use crate::settings::{GatewaySettings, Settings, run_settings_reader};
use crate::shared::Shared;
use crate::suspects::run_reporting;
use crate::traffic::Traffic;
use dockwood_api::ResultCode;
use dockwood_api::event::Subject;
use dockwood_state::Liveness;
use quick_error::quick_error;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// How long a planned stop waits for the control group to take note.
const LEAVE_LIMIT: Duration = Duration::from_secs(10);
/// How long a planned stop waits for requests in flight.
const DRAIN_LIMIT: Duration = Duration::from_secs(600);
/// Time between looks at whether a planned stop may go on.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Callers keep a directory answer for up to this many of its lifetimes.
const ANSWERS_KEPT_LIFETIMES: u32 = 3;
/// A planned stop takes new requests for at most this share of its limit, in percent: the rest is for finishing them.
const ACCEPTS_FOR_PERCENT: u32 = 30;
/// A planned stop ends this much before its limit.
const STOP_MARGIN: Duration = Duration::from_millis(500);
/// Connections to one engine or service that are kept for later use.
const IDLE_CONNECTIONS: usize = 64;

/// What a daemon starts with.
pub struct Start {
    /// Settings.
    pub settings: Settings,
    /// Where they were read from.
    pub settings_path: PathBuf,
    /// The deployment's protocol.
    pub dialect: Arc<dyn Dialect>,
}

struct Listeners {
    http: TcpListener,
    peer: TcpListener,
    gateway: GatewayListeners,
}

quick_error! {
    /// Why the process ends with a failure.
    #[derive(Debug)]
    pub enum ProcessError {
        /// An address can't be listened on.
        Listen(address: SocketAddr, error: std::io::Error) {
            display("{}: {}: {}", ResultCode::ListenFailed, address, error)
        }
        /// The voter's state can't be read.
        Start(error: StartError) {
            display("{}", error)
            from()
        }
        /// The log sink, the metrics, a runtime or a thread can't be made.
        Setup(message: String) {
            display("{}", message)
        }
        /// The control thread ended.
        Control(message: String) {
            display("{}", message)
        }
    }
}

fn setup(error: impl std::fmt::Display) -> ProcessError {
    ProcessError::Setup(error.to_string())
}

fn listen(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    let listener = TcpListener::bind(address).map_err(|error| ProcessError::Listen(address, error))?;
    listener.set_nonblocking(true).map_err(|error| ProcessError::Listen(address, error))?;
    Ok(listener)
}

/// Binds the gateway's addresses.
fn gateway_listeners(settings: &Settings) -> Result<GatewayListeners, ProcessError> {
    let Some(gateway) = &settings.gateway else { return Ok(GatewayListeners::default()) };
    Ok(GatewayListeners {
        frontend: gateway.frontend.map(listen).transpose()?,
        readiness: gateway.readiness.map(listen).transpose()?,
        directory: gateway.directory.map(listen).transpose()?,
        operators: gateway.operators.map(listen).transpose()?,
    })
}

/// Runs the daemon to its end.
pub fn run(start: Start) -> Result<(), ProcessError> {
    let Start { settings, settings_path, dialect } = start;
    logging::init(&settings).map_err(setup)?;
    let ended = run_with_logs(Start { settings, settings_path, dialect });
    logging::finish();
    ended
}

fn run_with_logs(start: Start) -> Result<(), ProcessError> {
    let Start { settings, settings_path, dialect } = start;
    let metrics = Metrics::new().map_err(setup)?;
    let http_listener = listen(settings.http)?;
    let peer_listener = listen(settings.peer)?;
    let gateway_listeners = gateway_listeners(&settings)?;
    let started = StartedControl::open(&settings, &metrics)?;
    let member_id = started.member_id;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(setup)?;
    let voter_links = member_id.map(|_| voter_links_runtime()).transpose()?;
    let (control, messages) = ControlHandle::new();
    let shared = Arc::new(Shared::new(settings, wall_ms(), metrics, control));
    let http = reqwest::Client::builder().pool_max_idle_per_host(IDLE_CONNECTIONS).build().map_err(setup)?;
    let orders = OrderSender::new(shared.clone(), http.clone(), runtime.handle().clone());
    let group_orders =
        GroupOrderSender::new(shared.clone(), dialect.clone(), http.clone(), runtime.handle().clone());
    let links = voter_links.as_ref().unwrap_or(&runtime).handle().clone();
    let announcer = Announcer::new(shared.clone(), runtime.handle().clone());
    let control =
        ControlThread::new(shared.clone(), messages, started, orders, group_orders, announcer, links);
    let control_ended = start_control(control)?;
    let listeners = Listeners { http: http_listener, peer: peer_listener, gateway: gateway_listeners };
    runtime.block_on(async move {
        if let Some(member_id) = member_id {
            tokio::spawn(run_admission(shared.clone(), member_id));
            tokio::spawn(run_pulse(shared.clone()));
        }
        tokio::spawn(run_settings_reader(shared.clone(), settings_path));
        serve(shared, dialect, http, listeners, control_ended).await
    })
}

/// A thread for messages to the other voters: the leader's heartbeats must wait neither for the traffic's calls nor for the
/// control thread's disk.
fn voter_links_runtime() -> Result<tokio::runtime::Runtime, ProcessError> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(1).thread_name("voter-links").enable_all().build().map_err(setup)
}

/// Starts the control thread; the receiver shows how it ended.
fn start_control(
    control: ControlThread,
) -> Result<watch::Receiver<Option<Result<(), String>>>, ProcessError> {
    let (ended, control_ended) = watch::channel(None);
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build();
        let result = match runtime {
            Ok(runtime) => runtime
                .block_on(run_control_thread(control))
                .map_err(|error| format!("{}: {error}", error.code_number())),
            Err(error) => Err(error.to_string()),
        };
        ended.send_replace(Some(result));
    };
    std::thread::Builder::new().name("control".to_string()).spawn(run).map_err(setup)?;
    Ok(control_ended)
}

async fn serve(
    shared: Arc<Shared>,
    dialect: Arc<dyn Dialect>,
    http: reqwest::Client,
    listeners: Listeners,
    mut control_ended: watch::Receiver<Option<Result<(), String>>>,
) -> Result<(), ProcessError> {
    let reporter = Arc::new(Reporter::default());
    let traffic = Traffic::start(shared.clone(), reporter.clone(), http.clone());
    let engines = EngineClient::new(http.clone());
    let peer_listener = tokio::net::TcpListener::from_std(listeners.peer).map_err(setup)?;
    tokio::spawn(serve_peers(shared.clone(), traffic.clone(), peer_listener));
    tokio::spawn(run_lease_client(shared.clone()));
    tokio::spawn(run_machine_prober(shared.clone(), engines.clone(), reporter.clone()));
    tokio::spawn(run_replica_watcher(shared.clone(), traffic.clone(), engines, reporter.clone()));
    tokio::spawn(run_reporter(shared.clone(), reporter));
    tokio::spawn(run_reporting(shared.clone()));
    tokio::spawn(run_limit_sync(shared.clone()));
    tokio::spawn(run_platform_reader(shared.clone(), http));
    let gateway = Gateway::start(shared.clone(), dialect, listeners.gateway).map_err(setup)?;
    let (stop, mut stopped) = watch::channel(false);
    let app = App { shared: shared.clone(), traffic };
    let serving = tokio::spawn(serve_http(app, listeners.http, async move {
        let _ = stopped.wait_for(|stopped| *stopped).await;
    }));
    tokio::select! {
        () = planned_stop(&shared, &gateway) => {}
        ended = control_ended.wait_for(Option::is_some) => {
            let message = match ended.as_deref() {
                Ok(Some(Err(message))) => message.clone(),
                _ => "the control thread ended".to_string(),
            };
            return Err(ProcessError::Control(message));
        }
    }
    shared.control.send(ControlMessage::Stop).await;
    stop.send_replace(true);
    let _ = serving.await;
    Ok(())
}

/// Waits for SIGTERM or SIGINT; then leaves the entry answers, finishes what is in flight, and lets every
/// answer that names this daemon run out.
async fn planned_stop(shared: &Arc<Shared>, gateway: &Gateway) {
    use tokio::signal::unix::{SignalKind, signal};
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = tokio::signal::ctrl_c() => {}
            }
        }
        Err(error) => {
            let message = format!("no signal handler: {error}");
            logging::write(&shared.settings.name, LineBody::Fault { message: &message });
            std::future::pending::<()>().await;
        }
    }
    let subject = || Subject::new("daemon", &shared.settings.name);
    shared.set_leaving();
    shared.timeline.record(subject(), "StopBegun", "takes no new work", None, ResultCode::DaemonLeaving);
    if let Some(settings) = &shared.settings.gateway {
        stop_gateway(shared, gateway, settings).await;
        return;
    }
    let known = wait_until(LEAVE_LIMIT, || duties_moved(shared)).await;
    // Counted from here: until now, another daemon may have named this one.
    let lifetime_ends = monotonic_ms() + shared.settings.entry_lifetime.as_millis() as u64;
    let drained =
        wait_until(DRAIN_LIMIT, || shared.in_flight() == 0 && monotonic_ms() >= lifetime_ends).await;
    let message = format!("leaving known: {known}; nothing in flight: {drained}");
    shared.timeline.record(subject(), "StopEnded", &message, None, ResultCode::Ok);
}

/// How long a planned stop goes on taking requests: while callers may hold a directory answer that names this daemon,
/// but not so long that what is taken last can't be finished.
pub fn accepts_for(settings: &GatewaySettings) -> Duration {
    let held_for = settings.answer_lifetime * ANSWERS_KEPT_LIFETIMES + Duration::from_millis(200);
    held_for.min(settings.stop_limit * ACCEPTS_FOR_PERCENT / 100)
}

/// Serves on while callers may still hold a directory answer that names this daemon, then ends connections as they
/// come to rest.
async fn stop_gateway(shared: &Shared, gateway: &Gateway, settings: &GatewaySettings) {
    let began = tokio::time::Instant::now();
    let ends_at = began + settings.stop_limit.saturating_sub(STOP_MARGIN);
    if settings.frontend.is_some() {
        tokio::time::sleep_until(began + accepts_for(settings)).await;
    }
    gateway.close_connections();
    let idle = async {
        while shared.in_flight() > 0 {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    };
    let drained = tokio::time::timeout_at(ends_at, idle).await.is_ok();
    // The last answers are with the system, but may not have left yet.
    tokio::time::sleep(DRAIN_POLL).await;
    let message = format!("nothing in flight: {drained}");
    let subject = Subject::new("daemon", &shared.settings.name);
    shared.timeline.record(subject, "StopEnded", &message, None, ResultCode::Ok);
}

/// Whether the control group knows of the stop, and others have this daemon's duties.
fn duties_moved(shared: &Shared) -> bool {
    let tables = shared.tables();
    let own = Some(&shared.settings.name);
    let leaving = tables
        .daemons
        .get(&shared.settings.name)
        .is_some_and(|row| matches!(row.liveness, Liveness::Leaving | Liveness::Lost));
    let only_daemon = tables.live_daemons().next().is_none();
    let coordinates = tables.pools.values().any(|pool| pool.coordinator.as_ref() == own);
    let watches = tables.replicas.values().any(|replica| replica.watcher.as_ref() == own);
    leaving && (only_daemon || (!coordinates && !watches))
}

async fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    };
    tokio::time::timeout(limit, waiting).await.is_ok()
}
