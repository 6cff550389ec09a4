//! The network between daemons, and between daemons and machines.

use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::BTreeSet;

/// Usual delay of a message, in milliseconds.
const USUAL_DELAY_MS: (u64, u64) = (1, 3);
/// Delay while the network is lossy.
const LOSSY_DELAY_MS: (u64, u64) = (1, 400);
/// Messages lost while the network is lossy, in percent.
const LOSS_PERCENT: u32 = 20;
/// Messages that arrive twice while the network is lossy, in percent.
const DUPLICATE_PERCENT: u32 = 10;

/// An end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Place {
    /// A daemon, by index.
    Daemon(usize),
    /// A machine, by index.
    Machine(usize),
    /// The operators.
    Operator,
}

/// Who can reach whom, and how well.
#[derive(Clone, Debug, Default)]
pub(crate) struct Network {
    cut: BTreeSet<(Place, Place)>,
    pub lossy: bool,
}

impl Network {
    /// Cuts one direction.
    pub fn cut_one_way(&mut self, from: Place, to: Place) {
        self.cut.insert((from, to));
    }

    /// Cuts a place off from all others, in silence.
    pub fn cut_off(&mut self, place: Place, others: impl Iterator<Item = Place>) {
        for other in others {
            self.cut.insert((place, other));
            self.cut.insert((other, place));
        }
    }

    /// Everybody reaches everybody again.
    pub fn heal(&mut self) {
        self.cut.clear();
        self.lossy = false;
    }

    /// Whether anything gets through in this direction.
    pub fn passes(&self, from: Place, to: Place) -> bool {
        !self.cut.contains(&(from, to))
    }

    /// Delays at which a message arrives: none if it is lost, two if it is doubled.
    pub fn delays(&self, random: &mut StdRng, from: Place, to: Place) -> Vec<u64> {
        if !self.passes(from, to) {
            return Vec::new();
        }
        let (least, most) = if self.lossy { LOSSY_DELAY_MS } else { USUAL_DELAY_MS };
        let mut delays = vec![random.random_range(least..=most)];
        if self.lossy && random.random_range(0..100) < LOSS_PERCENT {
            delays.clear();
        }
        if self.lossy && random.random_range(0..100) < DUPLICATE_PERCENT {
            delays.push(random.random_range(least..=most));
        }
        delays
    }
}
