//! Choice of a replica for one request: prefix affinity with bounded load.

/// Load above this share of the mean, in percent, takes a replica out of affinity's reach.
const BOUNDED_LOAD_PERCENT: u64 = 125;

/// How a replica is chosen. All but [`ChoicePolicy::PrefixAffinity`] are baselines for measurement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChoicePolicy {
    /// Longest cached prefix among replicas that are not overloaded, then least loaded.
    #[default]
    PrefixAffinity,
    /// Least loaded, prefixes left aside.
    LeastLoaded,
    /// In turn.
    RoundRobin,
}

/// A replica that may take the request now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Replica resource name.
    pub replica: &'a str,
    /// Slots in use.
    pub used: u32,
    /// Slots in all.
    pub slots: u32,
    /// Blocks of the prompt's prefix that it probably holds.
    pub matched_blocks: usize,
    /// When it was last granted, as a counter.
    pub last_granted: u64,
}

impl Candidate<'_> {
    /// Share of slots in use, in thousandths.
    fn load(&self) -> u64 {
        u64::from(self.used) * 1000 / u64::from(self.slots.max(1))
    }
}

/// Picks among candidates that all have a free slot. Ties go to the one that waited longest for a request.
pub fn choose<'a>(policy: ChoicePolicy, candidates: &[Candidate<'a>]) -> Option<&'a str> {
    let best = match policy {
        ChoicePolicy::PrefixAffinity => {
            let bound = load_bound(candidates);
            candidates.iter().min_by_key(|candidate| {
                let matched = if candidate.load() <= bound { candidate.matched_blocks } else { 0 };
                (std::cmp::Reverse(matched), candidate.load(), candidate.last_granted, candidate.replica)
            })
        }
        ChoicePolicy::LeastLoaded => candidates
            .iter()
            .min_by_key(|candidate| (candidate.load(), candidate.last_granted, candidate.replica)),
        ChoicePolicy::RoundRobin => {
            candidates.iter().min_by_key(|candidate| (candidate.last_granted, candidate.replica))
        }
    };
    best.map(|candidate| candidate.replica)
}

fn load_bound(candidates: &[Candidate<'_>]) -> u64 {
    let total: u64 = candidates.iter().map(Candidate::load).sum();
    let mean = total / (candidates.len().max(1) as u64);
    // One request on an idle pool must not break affinity, so the bound never falls below one slot in eight.
    (mean * BOUNDED_LOAD_PERCENT / 100).max(125)
}
