//! Selects a group or server by its requests in flight: the best of a small random sample, so that entries
//! with the same, slightly outdated load figures do not all select the same target.

/// Number of candidates sampled per choice.
const SAMPLE_SIZE: usize = 3;
/// Penalty for another zone, as a percentage of a full group: traffic between zones is charged for and takes
/// longer.
const OTHER_ZONE_PENALTY: u64 = 12;

/// A group or server that may take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Position in the caller's list.
    pub position: usize,
    /// Requests in flight from all entries.
    pub in_flight: u32,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is in the same zone as this entry.
    pub same_zone: bool,
}

impl Candidate {
    fn cost(&self) -> u64 {
        let filled = u64::from(self.in_flight) * 100 / u64::from(self.slots.max(1));
        filled + if self.same_zone { 0 } else { OTHER_ZONE_PENALTY }
    }
}

/// Position of the best of the sampled candidates; `draw` returns a random number below its argument.
pub fn choose(candidates: &[Candidate], mut draw: impl FnMut(usize) -> usize) -> Option<usize> {
    let mut remaining: Vec<&Candidate> = candidates.iter().collect();
    let mut sampled = Vec::new();
    while sampled.len() < SAMPLE_SIZE && !remaining.is_empty() {
        let position = draw(remaining.len());
        sampled.push(remaining.swap_remove(position));
    }
    sampled.into_iter().min_by_key(|candidate| candidate.cost()).map(|candidate| candidate.position)
}
