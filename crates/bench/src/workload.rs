//! Generated traces of both users' work: dispatch rush, shift close, market close.

use crate::topology::{Preset, Topology};
use crate::trace::{RequestKind, TraceRequest};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// Length of a tenant's shared prompt prefix, in repetitions of its sentence.
const PREFIX_SENTENCES: usize = 16;
/// Sessions of each tenant.
const SESSIONS: u32 = 12;

/// A kind of load over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// Short drafts in bursts: a rush of calls every few seconds.
    DispatchRush,
    /// Long summaries, all at once towards the end.
    ShiftClose,
    /// Order checks that grow denser until the close.
    MarketClose,
    /// The same rate throughout.
    Steady,
}

/// What to generate.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Workload {
    /// Its shape.
    pub shape: Shape,
    /// Mean requests a second.
    pub rate: f64,
    /// Length, in seconds.
    pub seconds: f64,
    /// Share of calls of the plain service, in percent.
    #[serde(default = "default_service_percent")]
    pub service_percent: u32,
    /// Share of requests that must not be run twice, in percent.
    #[serde(default = "default_once_percent")]
    pub once_percent: u32,
    /// Longest wait, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Seeds the trace.
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

/// Load relative to the mean at a share of the way through the trace; its mean is about 1.
fn density(shape: Shape, progress: f64, seconds: f64) -> f64 {
    match shape {
        Shape::Steady => 1.0,
        Shape::DispatchRush => {
            const BURST_EVERY_SECONDS: f64 = 5.0;
            let within = (progress * seconds) % BURST_EVERY_SECONDS / BURST_EVERY_SECONDS;
            if within < 0.3 { 2.0 } else { 0.57 }
        }
        Shape::ShiftClose => 0.4 + 1.2 * progress,
        Shape::MarketClose => 0.25 + 2.25 * progress * progress,
    }
}

/// Generates the trace of a workload for a fleet. The same seed gives the same trace.
pub fn generate(topology: &Topology, workload: &Workload) -> Vec<TraceRequest> {
    let mut random = StdRng::seed_from_u64(workload.seed);
    let mut requests = Vec::new();
    let mut seconds = 0.0;
    loop {
        let density = density(workload.shape, seconds / workload.seconds, workload.seconds);
        // Exponential gaps: arrivals of independent callers.
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        seconds += -uniform.ln() / (workload.rate * density).max(f64::EPSILON);
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

/// The tenant's instructions, shared by all its prompts; then the session; then what is new.
fn prompt(preset: Preset, shape: Shape, tenant: &str, session: &str, number: u64) -> String {
    let (instruction, new) = match (preset, shape) {
        (Preset::Unidos, Shape::ShiftClose) => ("Summarise the trips of a driver.", "Trips of the shift"),
        (Preset::Unidos, _) => ("Draft an assignment note and a message to the driver.", "Pickup of a rider"),
        (Preset::Brokerage, _) => {
            ("Check the order, summarise it and propose what to do.", "Order of a client")
        }
    };
    let prefix = format!("[{tenant}] {instruction} ").repeat(PREFIX_SENTENCES);
    format!("{prefix}Session {session}. {new} {number:016x}.")
}
