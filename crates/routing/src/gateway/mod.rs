//! Gateway traffic decisions: selection of routes, services, groups and servers, retries, and stall timeouts.
//! This module is pure; the daemon does the I/O and the waiting.

mod attempts;
mod budget;
mod choice;
mod entries;
mod events;
mod recent_times;
mod regions;
mod route_table;
mod server_paths;
mod server_silence;
mod stall_detection;
mod tunnel_peers;

pub use attempts::{GiveUp, RequestAttempts, RetryDecision, SendOutcome, WithheldReason};
pub use budget::{BudgetUsage, SendBudget, SendBudgetLimits};
pub use choice::{Candidate, choose};
pub use entries::{Entry, entries_near};
pub use events::{EventSplitter, StreamEvent};
pub use regions::{AllowedRegions, AllowedZones};
pub use route_table::{Destination, KeyVerdict, RouteTable};
pub use server_paths::{CutOffChange, PathPlan, ServerPaths};
pub use server_silence::{
    Awaited, CallEnd, NewRequest, ServerCall, ServiceSilence, SilenceAdvice, SilenceDecision, SilenceEvidence,
};
pub use stall_detection::{LatencyStats, ObservedLatency, StallTimeout, StallTimeouts, timely_event_ms};
pub use tunnel_peers::{TunnelPeer, TunnelPeers};
