//! The process: starts every part, waits for a planned stop, and ends in order.

use crate::clock::{monotonic_ms, wall_ms};
use crate::control::{
    ControlHandle, ControlMessage, ControlThread, OrderSender, StartError, StartedControl,
    run_control_thread, run_lease_client, run_outbox,
};
use crate::http::{App, serve_http};
use crate::metrics::Metrics;
use crate::peer::serve_peers;
use crate::probe::{
    EngineClient, Reporter, run_machine_prober, run_platform_reader, run_replica_watcher, run_reporter,
};
use crate::settings::Settings;
use crate::shared::Shared;
use crate::traffic::Traffic;
use dockwood_api::ResultCode;
use dockwood_api::event::Subject;
use dockwood_state::Liveness;
use quick_error::quick_error;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// How long a planned stop waits for the control group to take note.
const LEAVE_LIMIT: Duration = Duration::from_secs(10);
/// How long a planned stop waits for requests in flight.
const DRAIN_LIMIT: Duration = Duration::from_secs(600);
/// Time between looks at whether a planned stop may go on.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Connections to one engine or service that are kept for later use.
const IDLE_CONNECTIONS: usize = 64;

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

/// Runs the daemon to its end.
pub fn run(settings: Settings) -> Result<(), ProcessError> {
    crate::logging::init(&settings).map_err(setup)?;
    let metrics = Metrics::new().map_err(setup)?;
    let http_listener = listen(settings.http)?;
    let peer_listener = listen(settings.peer)?;
    let started = StartedControl::open(&settings, &metrics)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(setup)?;
    let (control, messages) = ControlHandle::new();
    let shared = Arc::new(Shared::new(settings, wall_ms(), metrics, control));
    let http = reqwest::Client::builder().pool_max_idle_per_host(IDLE_CONNECTIONS).build().map_err(setup)?;
    let orders = OrderSender::new(shared.clone(), http.clone(), runtime.handle().clone());
    let control_ended = start_control(&shared, messages, started, orders, runtime.handle())?;
    runtime.block_on(serve(shared, http, http_listener, peer_listener, control_ended))
}

/// Starts the control thread; the receiver shows how it ended.
fn start_control(
    shared: &Arc<Shared>,
    messages: mpsc::Receiver<ControlMessage>,
    mut started: StartedControl,
    orders: OrderSender,
    traffic: &tokio::runtime::Handle,
) -> Result<watch::Receiver<Option<Result<(), String>>>, ProcessError> {
    for (address, outbox) in std::mem::take(&mut started.to_send) {
        traffic.spawn(run_outbox(shared.clone(), address, outbox));
    }
    let control = ControlThread::new(shared.clone(), messages, started, orders);
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
    http: reqwest::Client,
    http_listener: TcpListener,
    peer_listener: TcpListener,
    mut control_ended: watch::Receiver<Option<Result<(), String>>>,
) -> Result<(), ProcessError> {
    let reporter = Arc::new(Reporter::default());
    let traffic = Traffic::start(shared.clone(), reporter.clone(), http.clone());
    let engines = EngineClient::new(http.clone());
    let peer_listener = tokio::net::TcpListener::from_std(peer_listener).map_err(setup)?;
    tokio::spawn(serve_peers(shared.clone(), traffic.clone(), peer_listener));
    tokio::spawn(run_lease_client(shared.clone()));
    tokio::spawn(run_machine_prober(shared.clone(), engines.clone(), reporter.clone()));
    tokio::spawn(run_replica_watcher(shared.clone(), traffic.clone(), engines, reporter.clone()));
    tokio::spawn(run_reporter(shared.clone(), reporter));
    tokio::spawn(run_platform_reader(shared.clone(), http));
    let (stop, mut stopped) = watch::channel(false);
    let app = App { shared: shared.clone(), traffic };
    let serving = tokio::spawn(serve_http(app, http_listener, async move {
        let _ = stopped.wait_for(|stopped| *stopped).await;
    }));
    tokio::select! {
        () = planned_stop(&shared) => {}
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
async fn planned_stop(shared: &Arc<Shared>) {
    use tokio::signal::unix::{SignalKind, signal};
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = tokio::signal::ctrl_c() => {}
            }
        }
        Err(error) => {
            spdlog::error!("no signal handler: {}", error);
            std::future::pending::<()>().await;
        }
    }
    let subject = || Subject::new("daemon", &shared.settings.name);
    shared.set_leaving();
    shared.timeline.record(subject(), "StopBegun", "takes no new work", None, ResultCode::DaemonLeaving);
    let known = wait_until(LEAVE_LIMIT, || duties_moved(shared)).await;
    // Counted from here: until now, another daemon may have named this one.
    let lifetime_ends = monotonic_ms() + shared.settings.entry_lifetime.as_millis() as u64;
    let drained =
        wait_until(DRAIN_LIMIT, || shared.in_flight() == 0 && monotonic_ms() >= lifetime_ends).await;
    let message = format!("leaving known: {known}; nothing in flight: {drained}");
    shared.timeline.record(subject(), "StopEnded", &message, None, ResultCode::Ok);
}

/// Whether the control group knows of the stop, and others have this daemon's duties.
fn duties_moved(shared: &Shared) -> bool {
    let tables = shared.tables();
    let own = Some(&shared.settings.name);
    let leaving = tables.daemons.get(&shared.settings.name).is_some_and(|row| row.liveness != Liveness::Live);
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
