//! Parts of prompts that crash servers: evidence for and against each part, attribution and quarantine.
//!
//! Requests of which no two are alike can crash servers because of a part that they share. Each of them is involved in a
//! single crash, so the evidence of the [suspicion table](crate::SuspicionTable), which is kept for requests, never suffices.
//! Here it is kept for the parts that requests may share. Most suspects are innocent: a system prompt is a part of nearly all
//! requests that run when a server crashes. They are told apart by complete responses, which clear all parts of their prompt.
//! The design and its alternatives are discussed in docs/design/prompt-parts.md.
//!
//! Invariants: no decision depends on the order of timestamps of different daemons; a part with complete responses after
//! its crashes is not quarantined; the size of the tables is bounded whatever callers send.

mod attribution;
mod rows;
mod table;

pub use attribution::{CrashHorizon, PartEvidence};
pub use rows::{CrashCause, PartQuarantineRow, PromptCrashRow, SuspectPrompt};
pub use table::PromptSuspicionTable;
