//! Process lifecycle: starts all components, waits for a graceful shutdown, and stops them in order.

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
use crate::settings::{GatewaySettings, Settings, run_settings_reloader};
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

/// Time limit for the control group to acknowledge a graceful shutdown.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a graceful shutdown waits for requests in flight.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(600);
/// Time between checks whether a graceful shutdown can proceed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Callers cache a directory answer for up to this multiple of its lifetime.
const ANSWER_CACHE_LIFETIMES: u32 = 3;
/// Maximum share of the time limit of a graceful shutdown in which new requests are accepted, in percent: the rest is for
/// finishing them.
const MAX_ACCEPT_PERCENT: u32 = 30;
/// A graceful shutdown ends this much before its time limit.
const STOP_MARGIN: Duration = Duration::from_millis(500);
/// Requests without a response are given up this long before the end of a graceful shutdown, so that their callers still
/// receive the final response.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Maximum number of idle connections kept to one engine or service.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Options that a daemon is started with.
pub struct ProcessOptions {
    /// Settings of the daemon.
    pub settings: Settings,
    /// File that they were read from.
    pub settings_path: PathBuf,
    /// Protocol of the deployment.
    pub dialect: Arc<dyn Dialect>,
}

struct Listeners {
    http: TcpListener,
    peer: TcpListener,
    gateway: GatewayListeners,
}

quick_error! {
    /// Error that ends the process.
    #[derive(Debug)]
    pub enum ProcessError {
        /// Binding a listen address failed.
        Listen(address: SocketAddr, error: std::io::Error) {
            display("{}: {}: {}", ResultCode::ListenFailed, address, error)
        }
        /// The persistent state of the voter can't be read.
        Start(error: StartError) {
            display("{}", error)
            from()
        }
        /// Creating the log sink, the metrics, a runtime or a thread failed.
        Setup(message: String) {
            display("{}", message)
        }
        /// The control thread ended unexpectedly.
        Control(message: String) {
            display("{}", message)
        }
    }
}

fn setup_error(error: impl std::fmt::Display) -> ProcessError {
    ProcessError::Setup(error.to_string())
}

fn bind(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    let listener = TcpListener::bind(address).map_err(|error| ProcessError::Listen(address, error))?;
    listener.set_nonblocking(true).map_err(|error| ProcessError::Listen(address, error))?;
    Ok(listener)
}

/// Binds the listen addresses of the gateway.
fn gateway_listeners(settings: &Settings) -> Result<GatewayListeners, ProcessError> {
    let Some(gateway) = &settings.gateway else { return Ok(GatewayListeners::default()) };
    Ok(GatewayListeners {
        frontend: gateway.frontend.map(bind).transpose()?,
        readiness: gateway.readiness.map(bind).transpose()?,
        directory: gateway.directory.map(bind).transpose()?,
        operators: gateway.operators.map(bind).transpose()?,
    })
}

/// Runs the daemon until it ends.
pub fn run(options: ProcessOptions) -> Result<(), ProcessError> {
    let ProcessOptions { settings, settings_path, dialect } = options;
    logging::init(&settings).map_err(setup_error)?;
    let ended = run_with_logging(ProcessOptions { settings, settings_path, dialect });
    logging::shutdown();
    ended
}

fn run_with_logging(options: ProcessOptions) -> Result<(), ProcessError> {
    let ProcessOptions { settings, settings_path, dialect } = options;
    let metrics = Metrics::new().map_err(setup_error)?;
    let http_listener = bind(settings.http)?;
    let peer_listener = bind(settings.peer_bind)?;
    let gateway_listeners = gateway_listeners(&settings)?;
    let started = StartedControl::open(&settings, &metrics)?;
    let member_id = started.member_id;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(setup_error)?;
    let voter_links = member_id.map(|_| voter_links_runtime()).transpose()?;
    let (control, messages) = ControlHandle::new();
    let shared = Arc::new(Shared::new(settings, wall_ms(), metrics, control));
    let http = reqwest::Client::builder()
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .build()
        .map_err(setup_error)?;
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
        tokio::spawn(run_settings_reloader(shared.clone(), settings_path));
        serve(shared, dialect, http, listeners, control_ended).await
    })
}

/// Creates a single-threaded runtime for messages to the other voters, so that the leader's heartbeats are delayed neither by
/// calls of the traffic threads nor by disk writes of the control thread.
fn voter_links_runtime() -> Result<tokio::runtime::Runtime, ProcessError> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(1).thread_name("voter-links").enable_all().build().map_err(setup_error)
}

/// Starts the control thread; the receiver gets its result when it ends.
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
    std::thread::Builder::new().name("control".to_string()).spawn(run).map_err(setup_error)?;
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
    let peer_listener = tokio::net::TcpListener::from_std(listeners.peer).map_err(setup_error)?;
    tokio::spawn(serve_peers(shared.clone(), traffic.clone(), peer_listener));
    tokio::spawn(run_lease_client(shared.clone()));
    tokio::spawn(run_machine_prober(shared.clone(), engines.clone(), reporter.clone()));
    tokio::spawn(run_replica_watcher(shared.clone(), traffic.clone(), engines, reporter.clone()));
    tokio::spawn(run_reporter(shared.clone(), reporter));
    tokio::spawn(run_reporting(shared.clone()));
    tokio::spawn(run_limit_sync(shared.clone()));
    tokio::spawn(run_platform_reader(shared.clone(), http));
    let gateway = Gateway::start(shared.clone(), dialect, listeners.gateway).map_err(setup_error)?;
    let (stop, stopped) = watch::channel(false);
    let app = App { shared: shared.clone(), traffic };
    let serving = tokio::spawn(serve_http(app, listeners.http, stopped));
    tokio::select! {
        () = shut_down_on_signal(&shared, &gateway) => {}
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

/// Waits for SIGTERM or SIGINT; then removes this daemon from entry answers, finishes the requests in flight, and waits until
/// every answer that contains this daemon has expired.
async fn shut_down_on_signal(shared: &Arc<Shared>, gateway: &Gateway) {
    use tokio::signal::unix::{SignalKind, signal};
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = tokio::signal::ctrl_c() => {}
            }
        }
        Err(error) => {
            let message = format!("failed to install the signal handler: {error}");
            logging::write(&shared.settings.name, LineBody::Fault { message: &message });
            std::future::pending::<()>().await;
        }
    }
    let subject = || Subject::new("daemon", &shared.settings.name);
    shared.set_leaving();
    shared.timeline.record(subject(), "StopBegun", "takes no new work", None, ResultCode::DaemonLeaving);
    if let Some(settings) = &shared.settings.gateway {
        shut_down_gateway(shared, gateway, settings).await;
        return;
    }
    let known = wait_until(LEAVE_TIMEOUT, || duties_handed_over(shared)).await;
    // Starts only now, because other daemons may have returned this one in their answers until here.
    let lifetime_ends = monotonic_ms() + shared.settings.entry_lifetime.as_millis() as u64;
    let drained =
        wait_until(DRAIN_TIMEOUT, || shared.in_flight() == 0 && monotonic_ms() >= lifetime_ends).await;
    let message = format!("leaving known: {known}; nothing in flight: {drained}");
    shared.timeline.record(subject(), "StopEnded", &message, None, ResultCode::Ok);
}

/// Returns the time for which a graceful shutdown continues to accept requests: while callers may have cached a directory
/// answer that contains this daemon, but not so long that the last accepted requests can't be finished.
pub fn accept_duration(settings: &GatewaySettings) -> Duration {
    let cached_for = settings.answer_lifetime * ANSWER_CACHE_LIFETIMES + Duration::from_millis(200);
    cached_for.min(settings.stop_limit * MAX_ACCEPT_PERCENT / 100)
}

/// Accepts requests while callers may have cached a directory answer that contains this daemon, then closes each connection
/// once its responses are written.
async fn shut_down_gateway(shared: &Shared, gateway: &Gateway, settings: &GatewaySettings) {
    let began = tokio::time::Instant::now();
    let ends_at = began + settings.stop_limit.saturating_sub(STOP_MARGIN);
    gateway.begin_stop(ends_at.checked_sub(ANSWER_MARGIN).unwrap_or(began));
    if settings.frontend.is_some() {
        tokio::time::sleep_until(began + accept_duration(settings)).await;
    }
    let idle = async {
        gateway.close_connections().await;
        while shared.in_flight() > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    let drained = tokio::time::timeout_at(ends_at, idle).await.is_ok();
    // The last responses are in socket buffers, but may not have been sent yet.
    tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    let message = format!("nothing in flight: {drained}");
    let subject = Subject::new("daemon", &shared.settings.name);
    shared.timeline.record(subject, "StopEnded", &message, None, ResultCode::Ok);
}

/// Returns whether the control group knows of the shutdown and other daemons have taken over the duties of this one.
fn duties_handed_over(shared: &Shared) -> bool {
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
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(limit, waiting).await.is_ok()
}
