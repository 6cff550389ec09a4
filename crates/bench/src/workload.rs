//! Generates traces of the load patterns of both presets: dispatch rush, shift close and market close.

use crate::topology::{Preset, Topology};
use crate::trace::{RequestKind, TraceRequest};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// Number of times the instruction is repeated in a tenant's shared prompt prefix.
const PREFIX_SENTENCES: usize = 16;
/// Number of sessions per tenant.
const SESSIONS: u32 = 12;

/// How the request rate varies over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadShape {
    /// Short drafts in bursts, one burst every few seconds.
    DispatchRush,
    /// Long summaries at a rate that increases towards the end.
    ShiftClose,
    /// Order checks at a rate that increases quadratically until the market closes.
    MarketClose,
    /// A constant rate.
    Steady,
}

/// Parameters of a generated trace.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Workload {
    /// Rate over time.
    pub shape: LoadShape,
    /// Mean rate, in requests per second.
    pub rate: f64,
    /// Duration, in seconds.
    pub seconds: f64,
    /// Share of plain service calls, in percent.
    #[serde(default = "default_service_percent")]
    pub service_percent: u32,
    /// Share of requests that must not be executed twice, in percent.
    #[serde(default = "default_once_percent")]
    pub once_percent: u32,
    /// Deadline of each request, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Seed of the random generator.
    #[serde(default = "default_seed")]
    pub seed: u64,
}

const fn default_service_percent() -> u32 {
    20
}

const fn default_once_percent() -> u32 {
    30
}

const fn default_deadline_ms() -> u64 {
    20_000
}

const fn default_seed() -> u64 {
    1
}

/// Request rate relative to the mean at a point of the trace, where `progress` runs from 0 to 1. Averages about 1.
fn relative_rate(shape: LoadShape, progress: f64, seconds: f64) -> f64 {
    match shape {
        LoadShape::Steady => 1.0,
        LoadShape::DispatchRush => {
            const BURST_INTERVAL_SECONDS: f64 = 5.0;
            let phase = (progress * seconds) % BURST_INTERVAL_SECONDS / BURST_INTERVAL_SECONDS;
            if phase < 0.3 { 2.0 } else { 0.57 }
        }
        LoadShape::ShiftClose => 0.4 + 1.2 * progress,
        LoadShape::MarketClose => 0.25 + 2.25 * progress * progress,
    }
}

/// Generates the trace of a workload for a fleet. Deterministic for a given seed.
pub fn generate(topology: &Topology, workload: &Workload) -> Vec<TraceRequest> {
    let mut random = StdRng::seed_from_u64(workload.seed);
    let mut requests = Vec::new();
    let mut seconds = 0.0;
    loop {
        let rate_factor = relative_rate(workload.shape, seconds / workload.seconds, workload.seconds);
        // Exponential gaps between arrivals model independent callers.
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        seconds += -uniform.ln() / (workload.rate * rate_factor).max(f64::EPSILON);
        if seconds >= workload.seconds {
            return requests;
        }
        requests.push(request(topology, workload, (seconds * 1000.0) as u64, &mut random));
    }
}

fn request(topology: &Topology, workload: &Workload, at_ms: u64, random: &mut StdRng) -> TraceRequest {
    let tenant = pick_tenant(topology, random);
    let session = format!("{tenant}-{}", random.random_range(0..SESSIONS));
    let once = random.random_range(0..100) < workload.once_percent;
    let is_service = random.random_range(0..100) < workload.service_percent;
    let number: u64 = random.random();
    if is_service {
        return TraceRequest {
            at_ms,
            kind: RequestKind::Service,
            tenant,
            session,
            target: topology.service.clone(),
            prompt: format!("record {number:016x}"),
            max_tokens: 0,
            repeatable: !once,
            stream: false,
            deadline_ms: workload.deadline_ms,
        };
    }
    let weights = [3, 1];
    let deployment = if topology.deployments.len() > 1 && random.random_range(0..4) >= weights[0] {
        let others = topology.deployments.len() - 1;
        1 + random.random_range(0..others)
    } else {
        0
    };
    TraceRequest {
        at_ms,
        kind: RequestKind::Chat,
        prompt: prompt(topology.preset, workload.shape, &tenant, &session, number),
        tenant,
        session,
        target: topology.deployments[deployment].model.clone(),
        max_tokens: 96,
        repeatable: !once,
        stream: random.random_range(0..10) < 7,
        deadline_ms: workload.deadline_ms,
    }
}

fn pick_tenant(topology: &Topology, random: &mut StdRng) -> String {
    let mut left: f64 = random.random_range(0.0..1.0);
    for tenant in &topology.tenants {
        left -= tenant.share;
        if left <= 0.0 {
            return tenant.name.clone();
        }
    }
    topology.tenants[0].name.clone()
}

/// A prompt: the tenant's instructions, which all its prompts share as a prefix, the session, and a unique part.
fn prompt(preset: Preset, shape: LoadShape, tenant: &str, session: &str, number: u64) -> String {
    let (instruction, subject) = match (preset, shape) {
        (Preset::Unidos, LoadShape::ShiftClose) => ("Summarise the trips of a driver.", "Trips of the shift"),
        (Preset::Unidos, _) => ("Draft an assignment note and a message to the driver.", "Pickup of a rider"),
        (Preset::Brokerage, _) => {
            ("Check the order, summarise it and propose what to do.", "Order of a client")
        }
    };
    let prefix = format!("[{tenant}] {instruction} ").repeat(PREFIX_SENTENCES);
    format!("{prefix}Session {session}. {subject} {number:016x}.")
}
