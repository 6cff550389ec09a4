//! Decisions of the gateway's traffic: which route, service, group or server; whether a request may be sent again;
//! how long silence may last. Pure: the daemon sends and waits.

mod budget;
mod choice;
mod course;
mod entries;
mod events;
mod pace;
mod regions;
mod route_table;

pub use budget::{SendBudget, SendBudgetLimits};
pub use choice::{Candidate, choose};
pub use course::{Course, GiveUp, SendOutcome, Verdict};
pub use entries::{Entry, entries_near};
pub use events::{EventSplitter, StreamEvent};
pub use pace::{Pace, PaceEstimates, RecentPeak, Silence, timely_event_ms};
pub use regions::{AllowedRegions, AllowedZones};
pub use route_table::{Destination, KeyVerdict, RouteTable};
