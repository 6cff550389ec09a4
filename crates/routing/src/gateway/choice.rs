//! Chooses among groups or servers by the requests in flight there: the best of a few drawn at random, so that
//! entries with the same, slightly old figures don't all choose the same one.

/// Candidates drawn for one choice.
const DRAWN: usize = 3;
/// What another zone costs, in hundredths of a full group: bytes between zones are priced, and take longer.
const OTHER_ZONE_PENALTY: u64 = 12;

/// A group or server that may take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Position in the caller's list.
    pub position: usize,
    /// Requests in flight, over all entries.
    pub in_flight: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Stands in the zone of this entry.
    pub same_zone: bool,
}

impl Candidate {
    fn cost(&self) -> u64 {
        let filled = u64::from(self.in_flight) * 100 / u64::from(self.slots.max(1));
        filled + if self.same_zone { 0 } else { OTHER_ZONE_PENALTY }
    }
}

/// The position of the best of some drawn candidates; `draw` gives a number below its argument.
pub fn choose(candidates: &[Candidate], mut draw: impl FnMut(usize) -> usize) -> Option<usize> {
    let mut left: Vec<&Candidate> = candidates.iter().collect();
    let mut drawn = Vec::new();
    while drawn.len() < DRAWN && !left.is_empty() {
        let position = draw(left.len());
        drawn.push(left.swap_remove(position));
    }
    drawn.into_iter().min_by_key(|candidate| candidate.cost()).map(|candidate| candidate.position)
}
