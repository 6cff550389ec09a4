//! The `limits` section of the settings: what the process may use of its machine, and what callers may use of the process.

use super::section::{Problems, Section};
use marked_yaml::Node;
use rustix::process::{Resource, getrlimit};
use std::time::Duration;

const BYTES_PER_MEGABYTE: u64 = 1 << 20;
const DEFAULT_MEMORY_MEGABYTES: u64 = 256;
const MIN_MEMORY_MEGABYTES: u64 = 16;
const MAX_MEMORY_MEGABYTES: u64 = 1 << 20;
const MIN_FILE_DESCRIPTORS: u64 = 32;
const MAX_FILE_DESCRIPTORS: u64 = 1 << 20;
const DEFAULT_HEAD_BYTES: u64 = 16 << 10;
const MIN_HEAD_BYTES: u64 = 16 << 10;
const MAX_HEAD_BYTES: u64 = 1 << 20;
const DEFAULT_HEAD_TIMEOUT_MS: u64 = 4_000;
const DEFAULT_BODY_TIMEOUT_MS: u64 = 15_000;
const MAX_TIMEOUT_MS: u64 = 600_000;

/// Limits on resources of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Memory that the process may use, in bytes. Callers may make it hold a part of that.
    pub memory_bytes: usize,
    /// File descriptors that the process may use. Callers' connections may take a part of them.
    pub file_descriptors: usize,
    /// Maximum size of a request's head, in bytes, at listeners to which the gateway configuration does not apply.
    pub head_bytes: usize,
    /// Maximum time from the first byte of a request's head to its last, at those listeners.
    pub head_timeout: Duration,
    /// Maximum time from a request's head to the end of its body, at those listeners.
    pub body_timeout: Duration,
}

impl ResourceLimits {
    /// Returns a share of the memory, in bytes.
    pub fn memory_sixteenths(&self, sixteenths: usize) -> usize {
        self.memory_bytes / 16 * sixteenths
    }
}

pub(super) fn read_limits(node: Option<&Node>, problems: &mut Problems) -> Option<ResourceLimits> {
    let Some(node) = node else { return Some(ResourceLimits::default()) };
    let known = ["memoryMegabytes", "fileDescriptors", "headBytes", "headTimeoutMs", "bodyTimeoutMs"];
    let section = Section::new(node, "limits", &known, problems)?;
    let allowed_memory = (MIN_MEMORY_MEGABYTES, MAX_MEMORY_MEGABYTES);
    let memory = section.number("memoryMegabytes", DEFAULT_MEMORY_MEGABYTES, allowed_memory, problems);
    let allowed_descriptors = (MIN_FILE_DESCRIPTORS, MAX_FILE_DESCRIPTORS);
    let descriptors = section.number("fileDescriptors", process_descriptors(), allowed_descriptors, problems);
    let head = section.number("headBytes", DEFAULT_HEAD_BYTES, (MIN_HEAD_BYTES, MAX_HEAD_BYTES), problems);
    let head_timeout =
        section.number("headTimeoutMs", DEFAULT_HEAD_TIMEOUT_MS, (100, MAX_TIMEOUT_MS), problems);
    let body_timeout =
        section.number("bodyTimeoutMs", DEFAULT_BODY_TIMEOUT_MS, (100, MAX_TIMEOUT_MS), problems);
    Some(ResourceLimits {
        memory_bytes: (memory? * BYTES_PER_MEGABYTE) as usize,
        file_descriptors: descriptors? as usize,
        head_bytes: head? as usize,
        head_timeout: Duration::from_millis(head_timeout?),
        body_timeout: Duration::from_millis(body_timeout?),
    })
}

impl Default for ResourceLimits {
    fn default() -> ResourceLimits {
        ResourceLimits {
            memory_bytes: (DEFAULT_MEMORY_MEGABYTES * BYTES_PER_MEGABYTE) as usize,
            file_descriptors: process_descriptors() as usize,
            head_bytes: DEFAULT_HEAD_BYTES as usize,
            head_timeout: Duration::from_millis(DEFAULT_HEAD_TIMEOUT_MS),
            body_timeout: Duration::from_millis(DEFAULT_BODY_TIMEOUT_MS),
        }
    }
}

/// Returns how many descriptors the kernel allows this process.
fn process_descriptors() -> u64 {
    let allowed = getrlimit(Resource::Nofile).current.unwrap_or(MAX_FILE_DESCRIPTORS);
    allowed.clamp(MIN_FILE_DESCRIPTORS, MAX_FILE_DESCRIPTORS)
}
