//! The gateway's part of the settings.

use super::section::{Problems, Section, line_of};
use dockwood_api::ResultCode;
use dockwood_grouping::{ColdLimit, GroupingPolicy, HeartbeatInterval};
use marked_yaml::Node;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const DEFAULT_ANSWER_LIFETIME_MS: u64 = 1_000;
const DEFAULT_STOP_LIMIT: Duration = Duration::from_secs(8);
/// A leader takes a tenth of a core for some 400 requests a second, each of which is also reported; measured with 300
/// entries, it can't see 940.
const DEFAULT_LEADER_DISPATCHES_UP_TO: u64 = 64;
/// Part of the time for taking a key away that a daemon's lease may last, in percent; the rest is for requests that were
/// taken just before it ran out.
const LEASE_PERCENT_OF_REVOCATION: u64 = 60;
const DEFAULT_BUDGET_PERCENT: u64 = 20;
const DEFAULT_BUDGET_WINDOW: Duration = Duration::from_secs(10);
const DEFAULT_BUDGET_EXTRA: u64 = 50;
/// Most of what a cold server declares that may be allowed, as a multiple: with more, the declared rate would mean
/// nothing.
const MOST_COLD_OVERSHOOT: f64 = 10.0;
/// Most arrivals a second that may be allowed beyond that, for the same reason.
const MOST_COLD_EXTRA: u64 = 1_000;

/// Bounds on second sends over all daemons: within any window no more than a share of the requests, and some extra.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    /// Second sends for a hundred requests.
    pub percent: u64,
    /// The window.
    pub window: Duration,
    /// Second sends beyond the share, within one window.
    pub extra: u64,
}

/// Where a daemon takes the gateway's callers, and within which bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// Takes callers' requests.
    pub frontend: Option<SocketAddr>,
    /// Answers whether this daemon takes new work.
    pub readiness: Option<SocketAddr>,
    /// Answers callers which addresses to use.
    pub directory: Option<SocketAddr>,
    /// Takes operators' calls and servers' reports.
    pub operators: Option<SocketAddr>,
    /// How long callers may keep the directory's answer.
    pub answer_lifetime: Duration,
    /// How long a planned stop may take.
    pub stop_limit: Duration,
    /// How long a group that lost a member is stalled before it is broken.
    pub stall: Duration,
    /// How long a server that leaves serves on at least, once its word was acknowledged.
    pub drain: Duration,
    /// How often servers send heartbeats.
    pub heartbeat: HeartbeatInterval,
    /// Entries up to which the control leader assigns each request to a group and takes each server's report; with more,
    /// daemons near the groups and servers do.
    pub leader_dispatches_up_to: usize,
    /// The deployment's zones, each with its region; empty where they are not given.
    pub zone_regions: BTreeMap<String, String>,
    /// Bounds on second sends.
    pub retry_budget: RetryBudgetSettings,
    /// By how much the rate that cold servers declare may be exceeded, over all daemons.
    pub cold_limit: ColdLimit,
    /// No request runs under a key that was taken away longer ago than this; absent where it need not be bounded.
    pub revoked_within: Option<Duration>,
}

impl GatewaySettings {
    /// The longest lease, in milliseconds, under which a key that was taken away passes no longer than allowed.
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
    let engines = GroupingPolicy::default();
    let stall = section.number("stallMs", engines.stall_ms, (100, 600_000), problems);
    let drain = section.number("drainMs", engines.drain_ms, (0, 600_000), problems);
    let heartbeat = section.number("heartbeatMs", engines.heartbeat.as_millis(), (100, 600_000), problems);
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
    let overshoot = section.multiple("overshoot", defaults.overshoot_percent, MOST_COLD_OVERSHOOT, problems);
    let extra = section.number("extra", defaults.extra, (0, MOST_COLD_EXTRA), problems);
    Some(ColdLimit { overshoot_percent: overshoot?, extra: extra? })
}
