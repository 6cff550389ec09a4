//! The gateway: routes callers' requests to registered servers and groups, serves the directory of entries, and handles
//! operators' calls and servers' reports.

mod answer_body;
mod assignment;
mod body;
mod caller_stream;
mod cold;
mod connection_record;
mod directory;
mod dispatchers;
mod evacuation;
mod frontend;
mod headers;
mod http_server;
mod large_response;
mod load_exchange;
mod loads;
mod operators;
mod plain;
mod planned_stop;
mod readiness;
mod receive;
mod regions;
mod report_forwarding;
mod request_log;
mod response_head;
mod responses;
mod retry_budgets;
mod server_selection;
mod source;
mod stalls;
mod stream;
mod upstream;
mod write_permit;

pub use cold::ColdServers;
pub use dispatchers::{DispatchMode, Dispatchers};
pub use evacuation::set_evacuation;
pub use large_response::{MAX_PART_BYTES, hold_part};
pub use upstream::ConnectFault;

use crate::clock::monotonic_ms;
use crate::dialect::Dialect;
use crate::line_budget::LineBudget;
use crate::metrics::Metrics;
use crate::scope_dispatchers::run_summaries;
use crate::shared::Shared;
use arc_swap::ArcSwap;
use dockwood_grouping::departing_groups;
use dockwood_routing::BackendPicker;
use dockwood_routing::gateway::{RouteTable, SendBudgetLimits};
use dockwood_state::{GatewayTables, GroupPhase, GroupRow};
use loads::Loads;
use planned_stop::PlannedStop;
use receive::ReceivedRequest;
use retry_budgets::RetryBudgets;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use tokio::sync::watch;
use tokio::time::Instant;
use upstream::{ConnectionPool, Upstream};

/// State of the gateway.
pub struct Gateway {
    /// State shared by all threads of the daemon.
    pub shared: Arc<Shared>,
    /// Protocol dialect of the deployment.
    pub dialect: Arc<dyn Dialect>,
    routes: ArcSwap<RouteTable>,
    loads: Loads,
    report_forwarder: report_forwarding::ReportForwarder,
    pickers: Mutex<HashMap<String, BackendPicker>>,
    retry_budgets: RetryBudgets,
    cold: cold::ColdServers,
    pool: ConnectionPool,
    line_budget: Mutex<LineBudget>,
    connection_line_budget: Mutex<LineBudget>,
    stopping: watch::Sender<bool>,
    planned_stop: PlannedStop,
}

/// Listening sockets of the gateway, bound before any task is started.
#[derive(Debug, Default)]
pub struct GatewayListeners {
    /// Socket for callers.
    pub frontend: Option<TcpListener>,
    /// Socket for readiness checks.
    pub readiness: Option<TcpListener>,
    /// Socket for the directory of entries.
    pub directory: Option<TcpListener>,
    /// Socket for operators and servers.
    pub operators: Option<TcpListener>,
}

impl Gateway {
    /// Starts the gateway's tasks on the current runtime.
    pub fn start(
        shared: Arc<Shared>,
        dialect: Arc<dyn Dialect>,
        listeners: GatewayListeners,
    ) -> std::io::Result<Arc<Gateway>> {
        let gateway = Arc::new(Gateway::new(shared, dialect));
        tokio::spawn(follow_publications(gateway.clone()));
        if let Some(listener) = listeners.frontend {
            tokio::spawn(load_exchange::run(gateway.clone()));
            tokio::spawn(run_summaries(gateway.shared.clone()));
            tokio::spawn(frontend::serve(gateway.clone(), async_listener(listener)?));
        }
        if let Some(listener) = listeners.readiness {
            let slots = gateway.shared.listener_slots.readiness.clone();
            let listener = async_listener(listener)?;
            tokio::spawn(http_server::serve(listener, slots, gateway.clone(), readiness::handle));
        }
        if let Some(listener) = listeners.directory {
            let slots = gateway.shared.listener_slots.directory.clone();
            let listener = async_listener(listener)?;
            tokio::spawn(http_server::serve(listener, slots, gateway.clone(), directory::handle));
        }
        if let Some(listener) = listeners.operators {
            let slots = gateway.shared.listener_slots.operators.clone();
            let listener = async_listener(listener)?;
            tokio::spawn(http_server::serve(listener, slots, gateway.clone(), operators::handle));
        }
        Ok(gateway)
    }

    fn new(shared: Arc<Shared>, dialect: Arc<dyn Dialect>) -> Gateway {
        let budget = shared.settings.gateway.as_ref().map(|gateway| gateway.retry_budget);
        let budget_limits =
            budget.map_or(SendBudgetLimits { percent: 0, window_ms: 1, extra: 0 }, |budget| {
                SendBudgetLimits {
                    percent: budget.percent,
                    window_ms: budget.window.as_millis() as u64,
                    extra: budget.extra,
                }
            });
        let cold = cold::ColdServers::new(shared.settings.cold_limit(), monotonic_ms());
        Gateway {
            shared,
            dialect,
            routes: ArcSwap::default(),
            loads: Loads::default(),
            report_forwarder: report_forwarding::ReportForwarder::default(),
            pickers: Mutex::default(),
            retry_budgets: RetryBudgets::new(budget_limits),
            cold,
            pool: ConnectionPool::default(),
            line_budget: Mutex::default(),
            connection_line_budget: Mutex::default(),
            stopping: watch::channel(false).0,
            planned_stop: PlannedStop::default(),
        }
    }

    /// Begins a planned stop. Requests without a response at `answers_due` are given up, so that each gets a final one.
    pub fn begin_stop(&self, answers_due: Instant) {
        self.planned_stop.begin(answers_due);
    }

    /// Closes each caller's connection as soon as its responses are written, and idle ones at once; completes when all are
    /// closed. The last step of a planned stop.
    pub async fn close_connections(&self) {
        self.stopping.send_replace(true);
        self.shared.listener_slots.frontend.all_closed().await;
    }

    /// Returns a connection to a server for a request.
    async fn connect(
        &self,
        received: &ReceivedRequest,
        server: SocketAddr,
    ) -> Result<Upstream, ConnectFault> {
        // An idle connection may be closed by the server at any moment, so a request that must run at most once is
        // never sent on one.
        let needs_new = !received.route.is_repeatable();
        self.pool.connection(&self.shared, server, needs_new, received.remaining()).await
    }

    /// Takes a retry from the budget of a service; returns false if the budget does not allow it.
    fn try_retry(&self, service: &str, reason: &str) -> bool {
        let known_entries = self.shared.dispatchers.entries(&self.shared.tables());
        let entries = u64::from(self.loads.entries().max(known_entries));
        let allowed = self.retry_budgets.try_retry(&self.shared, service, entries);
        if allowed {
            self.shared.metrics.retries.with_label_values(&[reason]).inc();
        } else {
            self.shared.metrics.retries_refused.inc();
        }
        allowed
    }
}

fn async_listener(listener: TcpListener) -> std::io::Result<tokio::net::TcpListener> {
    tokio::net::TcpListener::from_std(listener)
}

/// Updates the metrics of open groups, for each configured service with model engines, of departing groups, and of
/// registered servers.
fn update_table_metrics(metrics: &Metrics, tables: &GatewayTables) {
    let services = tables.configuration.iter().flat_map(|held| &held.services);
    for service in services.filter(|service| service.engine.is_some()) {
        let takes_requests = |group: &&Arc<GroupRow>| {
            let is_open = group.service == service.name && group.phase == GroupPhase::Open;
            is_open && !tables.is_evacuated(&group.zone)
        };
        let open = tables.groups.values().filter(takes_requests).count();
        metrics.open_groups.with_label_values(&[&service.name]).set(open as i64);
    }
    metrics.departing_groups.set(departing_groups(tables) as i64);
    metrics.known_servers.set(tables.instances.len() as i64);
}

/// Applies newly published tables indefinitely, and compiles each new configuration. A route table is never replaced by
/// an older one.
async fn follow_publications(gateway: Arc<Gateway>) {
    let mut publications = gateway.shared.watch_publications();
    let mut unknown_regions = regions::UnknownRegions::default();
    loop {
        let tables = gateway.shared.tables();
        if let Some(configuration) = &tables.gateway.configuration
            && configuration.version > gateway.routes.load().version
        {
            unknown_regions.follow(&gateway.shared, configuration);
            gateway.routes.store(Arc::new(RouteTable::compile(configuration)));
        }
        gateway.loads.follow(&tables.gateway);
        gateway.cold.follow(&gateway.shared.metrics, &tables.gateway);
        gateway.shared.pushback.follow(&gateway.shared.metrics, &tables.gateway);
        update_table_metrics(&gateway.shared.metrics, &tables.gateway);
        let evacuated = tables.gateway.evacuated_zones().count();
        gateway.shared.metrics.evacuated_zones.set(evacuated as i64);
        if publications.changed().await.is_err() {
            return;
        }
    }
}
