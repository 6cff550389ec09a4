//! The `gateway` section of the settings.

use super::section::{Problems, Section, line_of};
use dockwood_api::ResultCode;
use dockwood_grouping::{ColdLimit, GroupingPolicy, HeartbeatInterval};
use marked_yaml::Node;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const DEFAULT_ANSWER_LIFETIME_MS: u64 = 1_000;
const DEFAULT_STOP_LIMIT: Duration = Duration::from_secs(8);
/// A leader uses a tenth of a core for about 400 requests per second, each of which is also reported (measured with 300
/// entries); it cannot keep track of 940.
const DEFAULT_LEADER_DISPATCHES_UP_TO: u64 = 64;
/// Maximum duration of a daemon's lease, as a percentage of the time limit for revoking a key; the rest is for requests that
/// were accepted just before the lease expired.
const LEASE_PERCENT_OF_REVOCATION: u64 = 60;
const DEFAULT_BUDGET_PERCENT: u64 = 20;
const DEFAULT_BUDGET_WINDOW: Duration = Duration::from_secs(10);
const DEFAULT_BUDGET_EXTRA: u64 = 50;
/// Maximum permitted multiple of the declared rate of a cold server: with more, the declared rate would be
/// meaningless.
const MAX_COLD_OVERSHOOT: f64 = 10.0;
/// Maximum permitted requests per second in addition to that, for the same reason.
const MAX_COLD_EXTRA: u64 = 1_000;

/// Retry budget of all daemons together: in any window, retries are limited to a percentage of the requests plus a constant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    /// Retries per hundred requests.
    pub percent: u64,
    /// Length of the window.
    pub window: Duration,
    /// Additional retries per window.
    pub extra: u64,
}

/// Listen addresses and limits of a daemon's gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// Listens for callers' requests.
    pub frontend: Option<SocketAddr>,
    /// Listens for readiness checks.
    pub readiness: Option<SocketAddr>,
    /// Listens for directory queries, which return the entries that callers may use.
    pub directory: Option<SocketAddr>,
    /// Listens for operators' calls and servers' reports.
    pub operators: Option<SocketAddr>,
    /// Time for which callers may cache a directory answer.
    pub answer_lifetime: Duration,
    /// Time limit of a graceful shutdown.
    pub stop_limit: Duration,
    /// Time that a group stalls after the loss of a member before it breaks.
    pub stall: Duration,
    /// Minimum time that a leaving server continues to serve after its announcement was acknowledged.
    pub drain: Duration,
    /// Interval of the servers' heartbeats.
    pub heartbeat: HeartbeatInterval,
    /// Maximum number of entries for which the control leader assigns all requests to groups and receives all servers'
    /// reports; with more, daemons near the groups and servers do.
    pub leader_dispatches_up_to: usize,
    /// Regions of the deployment's zones, by zone; empty if the settings have none.
    pub zone_regions: BTreeMap<String, String>,
    /// Limits on retries.
    pub retry_budget: RetryBudgetSettings,
    /// By how much the declared rate of cold servers may be exceeded, over all daemons.
    pub cold_limit: ColdLimit,
    /// Time after the revocation of a key within which all requests with that key have ended; `None` if it is unbounded.
    pub revoked_within: Option<Duration>,
}

impl GatewaySettings {
    /// Returns the maximum duration of a lease that keeps to [`Self::revoked_within`], in milliseconds.
    pub fn lease_limit_ms(&self) -> Option<u64> {
        self.revoked_within.map(|within| within.as_millis() as u64 * LEASE_PERCENT_OF_REVOCATION / 100)
    }
}

pub(super) fn read_gateway(node: &Node, problems: &mut Problems) -> Option<GatewaySettings> {
    let known = [
        "frontend",
        "readiness",
        "directory",
        "operators",
        "answerLifetimeMs",
        "stopLimitSeconds",
        "retryBudget",
        "coldLimit",
        "stallMs",
        "drainMs",
        "heartbeatMs",
        "leaderDispatchesUpTo",
        "revokedWithinMs",
        "zones",
    ];
    let section = Section::new(node, "gateway", &known, problems)?;
    let address = |key: &str, problems: &mut Problems| match section.optional(key) {
        None => Some(None),
        Some(_) => section.address(key, problems).map(|found| Some(found.value)),
    };
    let frontend = address("frontend", problems);
    let readiness = address("readiness", problems);
    let directory = address("directory", problems);
    let operators = address("operators", problems);
    let lifetime = section.number("answerLifetimeMs", DEFAULT_ANSWER_LIFETIME_MS, (100, 60_000), problems);
    let stop_limit = section.seconds("stopLimitSeconds", DEFAULT_STOP_LIMIT, (1, 3_600), problems);
    let default_policy = GroupingPolicy::default();
    let stall = section.number("stallMs", default_policy.stall_ms, (100, 600_000), problems);
    let drain = section.number("drainMs", default_policy.drain_ms, (0, 600_000), problems);
    let heartbeat =
        section.number("heartbeatMs", default_policy.heartbeat.as_millis(), (100, 600_000), problems);
    let dispatches_up_to =
        section.number("leaderDispatchesUpTo", DEFAULT_LEADER_DISPATCHES_UP_TO, (0, 1_000_000), problems);
    let revoked_within = match section.optional("revokedWithinMs") {
        None => Some(None),
        Some(_) => section.number("revokedWithinMs", 0, (500, 600_000), problems).map(Some),
    };
    let zone_regions = read_zone_regions(section.optional("zones"), problems);
    let retry_budget = read_retry_budget(section.optional("retryBudget"), problems);
    let cold_limit = read_cold_limit(section.optional("coldLimit"), problems);
    Some(GatewaySettings {
        frontend: frontend?,
        readiness: readiness?,
        directory: directory?,
        operators: operators?,
        answer_lifetime: Duration::from_millis(lifetime?),
        stop_limit: stop_limit?,
        stall: Duration::from_millis(stall?),
        drain: Duration::from_millis(drain?),
        heartbeat: HeartbeatInterval::from_millis(heartbeat?),
        leader_dispatches_up_to: dispatches_up_to? as usize,
        zone_regions: zone_regions?,
        retry_budget: retry_budget?,
        cold_limit: cold_limit?,
        revoked_within: revoked_within?.map(Duration::from_millis),
    })
}

fn read_zone_regions(node: Option<&Node>, problems: &mut Problems) -> Option<BTreeMap<String, String>> {
    let Some(node) = node else { return Some(BTreeMap::new()) };
    let Some(mapping) = node.as_mapping() else {
        let message = "must be a mapping from zones to regions";
        problems.add(ResultCode::SettingsBadValue, line_of(node.span()), "gateway.zones", message);
        return None;
    };
    let mut regions = BTreeMap::new();
    for (zone, region) in mapping.iter() {
        let Some(region) = region.as_scalar().filter(|region| !region.as_str().is_empty()) else {
            let field = format!("gateway.zones.{}", zone.as_str());
            let message = "must be the name of the zone's region";
            problems.add(ResultCode::SettingsBadValue, line_of(region.span()), &field, message);
            return None;
        };
        regions.insert(zone.as_str().to_string(), region.as_str().to_string());
    }
    Some(regions)
}

fn read_retry_budget(node: Option<&Node>, problems: &mut Problems) -> Option<RetryBudgetSettings> {
    let defaults = RetryBudgetSettings {
        percent: DEFAULT_BUDGET_PERCENT,
        window: DEFAULT_BUDGET_WINDOW,
        extra: DEFAULT_BUDGET_EXTRA,
    };
    let Some(node) = node else { return Some(defaults) };
    let section = Section::new(node, "gateway.retryBudget", &["ratio", "windowSeconds", "extra"], problems)?;
    let percent = section.percentage("ratio", defaults.percent, problems);
    let window = section.seconds("windowSeconds", defaults.window, (1, 3_600), problems);
    let extra = section.number("extra", defaults.extra, (0, 1_000_000), problems);
    Some(RetryBudgetSettings { percent: percent?, window: window?, extra: extra? })
}

fn read_cold_limit(node: Option<&Node>, problems: &mut Problems) -> Option<ColdLimit> {
    let defaults = ColdLimit::default();
    let Some(node) = node else { return Some(defaults) };
    let section = Section::new(node, "gateway.coldLimit", &["overshoot", "extra"], problems)?;
    let overshoot = section.multiple("overshoot", defaults.overshoot_percent, MAX_COLD_OVERSHOOT, problems);
    let extra = section.number("extra", defaults.extra, (0, MAX_COLD_EXTRA), problems);
    Some(ColdLimit { overshoot_percent: overshoot?, extra: extra? })
}
