//! The network between daemons, and between daemons and machines.

use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::BTreeSet;

/// Range of message delays on a healthy network, in milliseconds.
const NORMAL_DELAY_MS: (u64, u64) = (1, 3);
/// Range of message delays while the network is lossy, in milliseconds.
const LOSSY_DELAY_MS: (u64, u64) = (1, 400);
/// Message loss while the network is lossy, in percent.
const LOSS_PERCENT: u32 = 20;
/// Duplicated messages while the network is lossy, in percent.
const DUPLICATE_PERCENT: u32 = 10;

/// An endpoint of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Endpoint {
    /// A daemon, by index.
    Daemon(usize),
    /// A machine, by index.
    Machine(usize),
    /// The operators.
    Operator,
}

/// State of the links between endpoints.
#[derive(Clone, Debug, Default)]
pub(crate) struct Network {
    blocked: BTreeSet<(Endpoint, Endpoint)>,
    pub lossy: bool,
}

impl Network {
    /// Blocks messages in one direction.
    pub fn block_one_way(&mut self, from: Endpoint, to: Endpoint) {
        self.blocked.insert((from, to));
    }

    /// Drops all messages between an endpoint and the others, in both directions.
    pub fn isolate(&mut self, endpoint: Endpoint, others: impl Iterator<Item = Endpoint>) {
        for other in others {
            self.blocked.insert((endpoint, other));
            self.blocked.insert((other, endpoint));
        }
    }

    /// Restores all links.
    pub fn heal(&mut self) {
        self.blocked.clear();
        self.lossy = false;
    }

    /// Whether messages are delivered in this direction.
    pub fn delivers(&self, from: Endpoint, to: Endpoint) -> bool {
        !self.blocked.contains(&(from, to))
    }

    /// Returns the delay of each delivery of a message: none if it is lost, two if it is duplicated.
    pub fn delivery_delays(&self, random: &mut StdRng, from: Endpoint, to: Endpoint) -> Vec<u64> {
        if !self.delivers(from, to) {
            return Vec::new();
        }
        let (min, max) = if self.lossy { LOSSY_DELAY_MS } else { NORMAL_DELAY_MS };
        let mut delays = vec![random.random_range(min..=max)];
        if self.lossy && random.random_range(0..100) < LOSS_PERCENT {
            delays.clear();
        }
        if self.lossy && random.random_range(0..100) < DUPLICATE_PERCENT {
            delays.push(random.random_range(min..=max));
        }
        delays
    }
}
