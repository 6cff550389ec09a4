//! Whom a leader calls, to say that it leads: daemons that the tables know and that hold no lease of its term.
//!
//! A daemon that has lost its tables knows no more of the control group than its seeds, and these may be members that
//! know no leader either. So the leader does not wait to be found.

use crate::Millis;
use crate::leases::LeaseTable;
use dockwood_state::Tables;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time that daemons have to find a new leader by themselves, as nearly all do when it is elected: calling them costs a
/// connection each.
const BEGIN_AFTER_MS: Millis = 1_000;
/// Time between two rounds of calls.
const ROUND_EVERY_MS: Millis = 100;
/// Calls in one round, at most: few enough to leave the leader's link and processor to leases, and enough for some
/// hundreds of daemons in a second.
const CALLS_PER_ROUND: usize = 40;
/// Pause before a daemon is called again: more than a call, a lease request and its answer take.
const CALL_AGAIN_MS: Millis = 1_000;
/// A daemon that was called so often in vain is most likely down.
const PATIENT_CALLS: u32 = 10;
/// Pause before such a daemon is called again: it may be back, and not know where to ask.
const CALL_SILENT_AGAIN_MS: Millis = 5_000;

#[derive(Clone, Copy, Debug)]
struct Called {
    times: u32,
    again_at: Millis,
}

/// The calls of one leader's term.
#[derive(Debug)]
pub struct Announcements {
    round_at: Millis,
    called: BTreeMap<String, Called>,
}

impl Announcements {
    /// No calls yet, of a leader that was elected now.
    pub fn new(now: Millis) -> Self {
        Announcements { round_at: now + BEGIN_AFTER_MS, called: BTreeMap::new() }
    }

    /// Peer addresses of the daemons to call now; never the leader's own, by its name.
    pub fn due<R>(
        &mut self,
        now: Millis,
        own_name: &str,
        tables: &Tables,
        leases: &LeaseTable<R>,
    ) -> Vec<SocketAddr> {
        if now < self.round_at {
            return Vec::new();
        }
        self.round_at = now + ROUND_EVERY_MS;
        let is_unheard = |name: &str| leases.row(name).is_none_or(|lease| now >= lease.expires);
        self.called.retain(|name, _| tables.daemons.contains_key(name) && is_unheard(name));
        let again_at = |name: &str| self.called.get(name).map_or(0, |called| called.again_at);
        let unheard = tables.daemons.iter().filter(|(name, _)| *name != own_name && is_unheard(name));
        let mut due: Vec<(Millis, &String, SocketAddr)> =
            unheard.map(|(name, row)| (again_at(name), name, row.record.peer)).collect();
        due.retain(|(at, ..)| now >= *at);
        due.sort_unstable();
        due.truncate(CALLS_PER_ROUND);
        for (_, name, _) in &due {
            let called = self.called.entry((*name).clone()).or_insert(Called { times: 0, again_at: 0 });
            called.times += 1;
            let pause = if called.times < PATIENT_CALLS { CALL_AGAIN_MS } else { CALL_SILENT_AGAIN_MS };
            called.again_at = now + pause;
        }
        due.into_iter().map(|(_, _, address)| address).collect()
    }
}
