//! Prometheus metrics of a daemon.

use crate::client_metrics::ClientMetrics;
use dockwood_api::peer::PeerVolume;
use dockwood_control::ZoneCounts;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.6, 2.5, 5.0, 10.0];
/// Upper bounds of log sync buckets, in seconds.
const SYNC_BUCKETS: [f64; 10] = [0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.05, 0.25, 1.0];

/// Upper bounds of control turn buckets, in seconds: a turn of 50 ms is half of the interval between a leader's heartbeats.
const TURN_BUCKETS: [f64; 11] = [0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.5];

/// All metrics of one daemon.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Answers to callers by result code.
    pub answers: IntCounterVec,
    /// Requests that were not answered completely though no request line says so, by what their connection owed its caller and
    /// by what ended it.
    pub unanswered_callers: IntCounterVec,
    /// What is held for clients.
    pub clients: ClientMetrics,
    /// Request log lines written.
    pub request_lines_written: IntCounter,
    /// Request log lines suppressed by the line budget, which keeps logs small under load.
    pub request_lines_held_back: IntCounter,
    /// Refused operator calls by result code.
    pub operator_refusals: IntCounterVec,
    /// Time to the first token by tier.
    pub first_token_seconds: HistogramVec,
    /// Queueing time for a slot by tier.
    pub queue_seconds: HistogramVec,
    /// Tokens sent to callers.
    pub tokens: IntCounter,
    /// Requests in flight at this entry.
    pub in_flight: IntGauge,
    /// Retries by reason.
    pub retries: IntCounterVec,
    /// Retries refused by the retry budget.
    pub retries_refused: IntCounter,
    /// Sends of streaming requests to another source while one was stalled, by result.
    pub additional_sends: IntCounterVec,
    /// Checks of a server's process after a connection to it broke, by finding.
    pub process_checks: IntCounterVec,
    /// Sends that failed because the process of the server ended.
    pub sends_server_ended: IntCounter,
    /// Responses that were not forwarded because of their heads, by fault.
    pub head_faults: IntCounterVec,
    /// Responses with a pushback signal, by signal: back-off, shutdown, rate limit or unreadable.
    pub server_signals: IntCounterVec,
    /// Servers on hold by reason.
    pub servers_held_back: IntGaugeVec,
    /// Requests not sent to a server on hold, by result: stopped immediately before the write, delayed, or refused.
    pub held_back: IntCounterVec,
    /// Requests of the gateway that were not written to the server selected for them, by reason.
    pub withheld_sends: IntCounterVec,
    /// Turns at servers with a rate limit that this daemon has used, by source.
    pub limit_turns_used: IntCounterVec,
    /// Requests for a turn at the servers for which this daemon is the limiter, by result.
    pub limit_turns: IntCounterVec,
    /// Steps in the handling of suspected poison requests, by step.
    pub suspect_steps: IntCounterVec,
    /// Suspected poison requests known to this daemon.
    pub suspects: IntGauge,
    /// Requests under quarantine or on probation known to this daemon.
    pub quarantined_requests: IntGauge,
    /// Parts of prompts under quarantine or on probation known to this daemon.
    pub quarantined_parts: IntGauge,
    /// Calls received from other daemons, by method.
    pub peer_calls: IntCounterVec,
    /// Failed calls to other daemons.
    pub peer_failures: IntCounter,
    /// Connections to servers, by path.
    pub server_connections: IntCounterVec,
    /// Tunnels to servers that other daemons requested, by result.
    pub tunnels: IntCounterVec,
    /// Tunnels that are open through this daemon.
    pub open_tunnels: IntGauge,
    /// Whether this daemon is cut off from all servers, though other daemons reach them.
    pub cut_off: IntGauge,
    /// Calls relayed to the leader for other daemons.
    pub relayed_calls: IntCounter,
    /// Frames and bytes exchanged with other daemons, by direction and unit.
    pub peer_volume: IntGaugeVec,
    /// Calls to plain services by service and result.
    pub service_calls: IntCounterVec,
    /// Servers that are registered in the applied tables.
    pub known_servers: IntGauge,
    /// Groups that this entry may send new requests to, by service.
    pub open_groups: IntGaugeVec,
    /// Requests sent to cold servers, by service.
    pub cold_sends: IntCounterVec,
    /// Maximum number of requests that this daemon has sent to one cold server within a second.
    pub cold_sends_peak: IntGauge,
    /// Requests not sent to the server that was selected for them because of the limit on cold servers, by reason.
    pub cold_limited: IntCounterVec,
    /// Cold servers that accept requests, by service.
    pub cold_servers: IntGaugeVec,
    /// Open groups with a leaving member.
    pub departing_groups: IntGauge,
    /// Evacuated zones known to this daemon.
    pub evacuated_zones: IntGauge,
    /// Requests kept from evacuated zones, by result: redirected immediately before the write, or refused.
    pub kept_from_evacuated_zones: IntCounterVec,
    /// Probes of machines by result.
    pub probes: IntCounterVec,
    /// Newest revision applied.
    pub revision: IntGauge,
    /// Newest revision known to be in force everywhere.
    pub in_force_revision: IntGauge,
    /// 1 while this daemon holds a configuration lease.
    pub lease_held: IntGauge,
    /// 1 while this daemon leads the control group.
    pub is_leader: IntGauge,
    /// Voters of the control group in the state applied by this member.
    pub voters: IntGauge,
    /// Voters of the control group by zone; the label is empty for an unknown zone.
    pub voters_by_zone: IntGaugeVec,
    /// Announcements sent by this daemon as the leader to daemons that had not requested a lease from it.
    pub leader_calls: IntCounter,
    /// Lease requests that this voter reported to the leader in batches.
    pub delegated_leases: IntCounter,
    /// Waiting requests by pool and tier, at their coordinator.
    pub pool_waiting: IntGaugeVec,
    /// Slots in use by replica, at their coordinator.
    pub replica_slots_used: IntGaugeVec,
    /// Duration of a turn of the control thread without idle time.
    pub control_turn_seconds: Histogram,
    /// Time per turn spent on a kind of work, for turns in which it is not zero.
    pub control_work_seconds: HistogramVec,
    /// Duration of a synced write to the log.
    pub log_sync_seconds: Histogram,
    /// Committed commands applied from the log.
    pub commands_committed: IntCounter,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Result<Metrics, prometheus::Error> {
        let registry = Registry::new();
        let counters =
            |name: &str, help: &str, labels: &[&str]| -> Result<IntCounterVec, prometheus::Error> {
                let vector = IntCounterVec::new(Opts::new(name, help), labels)?;
                registry.register(Box::new(vector.clone()))?;
                Ok(vector)
            };
        let counter = |name: &str, help: &str| -> Result<IntCounter, prometheus::Error> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGauge, prometheus::Error> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let gauges = |name: &str, help: &str, labels: &[&str]| -> Result<IntGaugeVec, prometheus::Error> {
            let vector = IntGaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(vector.clone()))?;
            Ok(vector)
        };
        let histograms =
            |name: &str, help: &str, labels: &[&str]| -> Result<HistogramVec, prometheus::Error> {
                let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
                let vector = HistogramVec::new(options, labels)?;
                registry.register(Box::new(vector.clone()))?;
                Ok(vector)
            };
        let sync_options =
            HistogramOpts::new("dockwood_log_sync_seconds", "Time of a synced write to the log");
        let log_sync_seconds = Histogram::with_opts(sync_options.buckets(SYNC_BUCKETS.to_vec()))?;
        registry.register(Box::new(log_sync_seconds.clone()))?;
        let turn_options = HistogramOpts::new(
            "dockwood_control_turn_seconds",
            "Time that the control thread worked in one turn",
        );
        let control_turn_seconds = Histogram::with_opts(turn_options.buckets(TURN_BUCKETS.to_vec()))?;
        registry.register(Box::new(control_turn_seconds.clone()))?;
        let work_options = HistogramOpts::new(
            "dockwood_control_work_seconds",
            "Time that one kind of work took in a turn of the control thread",
        );
        let control_work_seconds = HistogramVec::new(work_options.buckets(TURN_BUCKETS.to_vec()), &["work"])?;
        registry.register(Box::new(control_work_seconds.clone()))?;
        Ok(Metrics {
            answers: counters("dockwood_answers_total", "Answers to callers", &["code"])?,
            unanswered_callers: counters(
                "dockwood_unanswered_callers_total",
                "Callers' connections that ended before a request on them was answered",
                &["unanswered", "ended_by"],
            )?,
            clients: ClientMetrics::new(&registry)?,
            request_lines_written: counter("dockwood_request_lines_total", "Lines on requests written")?,
            request_lines_held_back: counter(
                "dockwood_request_lines_held_back_total",
                "Lines on requests held back",
            )?,
            operator_refusals: counters(
                "dockwood_operator_refusals_total",
                "Refused operator calls",
                &["code"],
            )?,
            first_token_seconds: histograms(
                "dockwood_first_token_seconds",
                "Time to the first token",
                &["tier"],
            )?,
            queue_seconds: histograms("dockwood_queue_seconds", "Time waited for a slot", &["tier"])?,
            tokens: counter("dockwood_tokens_total", "Tokens sent to callers")?,
            in_flight: gauge("dockwood_in_flight", "Requests in flight at this entry")?,
            retries: counters("dockwood_retries_total", "Retries", &["reason"])?,
            additional_sends: counters(
                "dockwood_additional_sends_total",
                "Sends of streams to another source while one was stalled",
                &["result"],
            )?,
            retries_refused: counter("dockwood_retries_refused_total", "Retries refused by the budget")?,
            process_checks: counters(
                "dockwood_process_checks_total",
                "Checks whether a server's process has exited, after a connection to it broke",
                &["found"],
            )?,
            head_faults: counters(
                "dockwood_head_faults_total",
                "Responses unusable by their heads",
                &["fault"],
            )?,
            sends_server_ended: counter(
                "dockwood_sends_server_ended_total",
                "Sends that ended with the process of their server",
            )?,
            server_signals: counters(
                "dockwood_server_signals_total",
                "Answers by which servers asked for something",
                &["signal"],
            )?,
            servers_held_back: gauges(
                "dockwood_servers_held_back",
                "Servers that are sent nothing or little, as they asked",
                &["reason"],
            )?,
            limit_turns: counters(
                "dockwood_limit_turns_total",
                "Turns at servers whose limits this daemon shares out",
                &["result"],
            )?,
            limit_turns_used: counters(
                "dockwood_limit_turns_used_total",
                "Turns at servers with a rate limit that this daemon has used",
                &["from"],
            )?,
            held_back: counters(
                "dockwood_held_back_total",
                "Requests not sent to servers that rest, leave or are at their limit",
                &["result"],
            )?,
            withheld_sends: counters(
                "dockwood_withheld_sends_total",
                "Requests that were not written to the server selected for them",
                &["reason"],
            )?,
            suspect_steps: counters(
                "dockwood_suspect_steps_total",
                "Steps of requests under which servers may end",
                &["step"],
            )?,
            suspects: gauge("dockwood_suspects", "Requests under which servers may have ended")?,
            quarantined_requests: gauge("dockwood_quarantined_requests", "Requests under quarantine")?,
            quarantined_parts: gauge(
                "dockwood_quarantined_prompt_parts",
                "Parts of prompts under quarantine",
            )?,
            peer_calls: counters("dockwood_peer_calls_total", "Calls received from daemons", &["method"])?,
            peer_failures: counter("dockwood_peer_failures_total", "Calls to daemons that failed")?,
            server_connections: counters(
                "dockwood_server_connections_total",
                "Connections to servers: direct, by a tunnel through another daemon, or none established",
                &["path"],
            )?,
            tunnels: counters(
                "dockwood_tunnels_total",
                "Tunnels to servers that other daemons requested",
                &["result"],
            )?,
            open_tunnels: gauge("dockwood_open_tunnels", "Tunnels through this daemon")?,
            cut_off: gauge(
                "dockwood_cut_off_from_servers",
                "Whether this daemon is cut off from all servers, though other daemons reach them",
            )?,
            relayed_calls: counter(
                "dockwood_relayed_calls_total",
                "Calls passed on to the leader for other daemons",
            )?,
            peer_volume: gauges(
                "dockwood_peer_volume",
                "Volume exchanged with daemons",
                &["direction", "unit"],
            )?,
            service_calls: counters(
                "dockwood_service_calls_total",
                "Calls to services",
                &["service", "result"],
            )?,
            known_servers: gauge(
                "dockwood_known_servers",
                "Servers that this daemon knows to be registered",
            )?,
            open_groups: gauges(
                "dockwood_open_groups",
                "Groups that this entry may send new requests to",
                &["service"],
            )?,
            cold_sends: counters(
                "dockwood_cold_sends_total",
                "Requests sent to servers that were cold",
                &["service"],
            )?,
            cold_sends_peak: gauge(
                "dockwood_cold_sends_peak",
                "Most requests sent to one cold server within a second",
            )?,
            cold_limited: counters(
                "dockwood_cold_limited_total",
                "Requests not sent for the limit of cold servers",
                &["reason"],
            )?,
            cold_servers: gauges(
                "dockwood_cold_servers",
                "Servers that take requests and are cold",
                &["service"],
            )?,
            departing_groups: gauge(
                "dockwood_departing_groups",
                "Open groups that a member leaves, as members of the control group see it",
            )?,
            evacuated_zones: gauge("dockwood_evacuated_zones", "Zones that are evacuated")?,
            kept_from_evacuated_zones: counters(
                "dockwood_kept_from_evacuated_zones_total",
                "Requests kept from evacuated zones",
                &["result"],
            )?,
            probes: counters("dockwood_probes_total", "Probes of machines", &["result"])?,
            revision: gauge("dockwood_revision", "Newest revision applied")?,
            in_force_revision: gauge("dockwood_in_force_revision", "Newest revision in force everywhere")?,
            lease_held: gauge("dockwood_lease_held", "Whether a configuration lease is held")?,
            is_leader: gauge("dockwood_is_leader", "Whether this daemon leads the control group")?,
            voters: gauge("dockwood_voters", "Voters of the control group")?,
            voters_by_zone: gauges(
                "dockwood_voters_by_zone",
                "Voters of the control group by zone",
                &["zone"],
            )?,
            delegated_leases: counter(
                "dockwood_delegated_leases_total",
                "requests for leases that this voter reported to the leader",
            )?,
            leader_calls: counter(
                "dockwood_leader_calls_total",
                "Calls to daemons that had not asked this leader",
            )?,
            pool_waiting: gauges("dockwood_pool_waiting", "Waiting requests", &["pool", "tier"])?,
            replica_slots_used: gauges("dockwood_replica_slots_used", "Slots in use", &["replica"])?,
            commands_committed: counter(
                "dockwood_commands_committed_total",
                "Commands applied from the log",
            )?,
            control_turn_seconds,
            control_work_seconds,
            log_sync_seconds,
            registry,
        })
    }

    /// Sets the gauges for the voters of the control group.
    pub fn set_voters(&self, counts: &ZoneCounts) {
        self.voters.set(counts.total() as i64);
        self.voters_by_zone.reset();
        let unknown = (counts.unknown > 0).then_some(("", counts.unknown));
        let known = counts.by_zone.iter().map(|(zone, count)| (zone.as_str(), *count));
        for (zone, count) in known.chain(unknown) {
            self.voters_by_zone.with_label_values(&[zone]).set(count as i64);
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let volume = PeerVolume::now();
        for (direction, unit, value) in [
            ("sent", "frames", volume.sent_frames),
            ("sent", "bytes", volume.sent_bytes),
            ("received", "frames", volume.received_frames),
            ("received", "bytes", volume.received_bytes),
        ] {
            self.peer_volume.with_label_values(&[direction, unit]).set(value as i64);
        }
        let mut text = Vec::new();
        // Writing to memory can't fail; metrics that can't be encoded are omitted.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
