//! Limit on how often one request is withheld from servers that were selected for it.

use std::collections::BTreeSet;

/// Maximum number of times that a request is withheld from servers from which it was withheld before. The first time at
/// each server is not limited: nothing was sent, and the search ends when all servers are known to be on hold.
const MAX_REPEATED: u32 = 6;

/// The servers from which one request was withheld.
#[derive(Clone, Debug, Default)]
pub struct WithheldSends {
    servers: BTreeSet<String>,
    repeated: u32,
}

impl WithheldSends {
    /// Records that the request was withheld from a server; returns whether a server may be selected again.
    pub fn record(&mut self, server: &str) -> bool {
        if !self.servers.insert(server.to_string()) {
            self.repeated += 1;
        }
        self.repeated < MAX_REPEATED
    }
}
