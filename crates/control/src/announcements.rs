//! Selects the daemons to which a new leader announces itself: those in the tables that hold no lease of its
//! term.
//!
//! A daemon that lost its tables only knows its seeds, and these may be members that know no leader either.
//! So the leader does not rely on being discovered.

use crate::Millis;
use crate::leases::LeaseTable;
use dockwood_state::Tables;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time that daemons have to find a new leader by themselves after an election, as nearly all of them do:
/// each announcement costs a connection.
const INITIAL_DELAY_MS: Millis = 1_000;
/// Interval between two rounds of announcements.
const ROUND_INTERVAL_MS: Millis = 100;
/// Maximum number of announcements per round: low enough to leave the leader's link and CPU to leases, and
/// enough for some hundreds of daemons per second.
const ANNOUNCEMENTS_PER_ROUND: usize = 40;
/// Delay before an announcement is repeated: longer than the announcement, a lease request and its answer
/// take.
const REPEAT_DELAY_MS: Millis = 1_000;
/// A daemon that has not reacted to this many announcements is most likely down.
const MAX_FREQUENT_ANNOUNCEMENTS: u32 = 10;
/// Delay before an announcement to such a daemon is repeated: it may be back without knowing whom to ask.
const SILENT_REPEAT_DELAY_MS: Millis = 5_000;

#[derive(Clone, Copy, Debug)]
struct Announcement {
    count: u32,
    repeat_at: Millis,
}

/// Announcements of one leader term.
#[derive(Debug)]
pub struct Announcements {
    next_round_at: Millis,
    sent: BTreeMap<String, Announcement>,
}

impl Announcements {
    /// Creates the state of a leader that was elected at `now`.
    pub fn new(now: Millis) -> Self {
        Announcements { next_round_at: now + INITIAL_DELAY_MS, sent: BTreeMap::new() }
    }

    /// Returns the peer addresses to announce to now. The leader itself, identified by `own_name`, is
    /// excluded.
    pub fn due<R>(
        &mut self,
        now: Millis,
        own_name: &str,
        tables: &Tables,
        leases: &LeaseTable<R>,
    ) -> Vec<SocketAddr> {
        if now < self.next_round_at {
            return Vec::new();
        }
        self.next_round_at = now + ROUND_INTERVAL_MS;
        let holds_no_lease = |name: &str| leases.row(name).is_none_or(|lease| now >= lease.expires);
        self.sent.retain(|name, _| tables.daemons.contains_key(name) && holds_no_lease(name));
        let repeat_at = |name: &str| self.sent.get(name).map_or(0, |announcement| announcement.repeat_at);
        let without_lease =
            tables.daemons.iter().filter(|(name, _)| *name != own_name && holds_no_lease(name));
        let mut due: Vec<(Millis, &String, SocketAddr)> =
            without_lease.map(|(name, row)| (repeat_at(name), name, row.record.peer)).collect();
        due.retain(|(at, ..)| now >= *at);
        due.sort_unstable();
        due.truncate(ANNOUNCEMENTS_PER_ROUND);
        for (_, name, _) in &due {
            let announcement =
                self.sent.entry((*name).clone()).or_insert(Announcement { count: 0, repeat_at: 0 });
            announcement.count += 1;
            let pause = if announcement.count < MAX_FREQUENT_ANNOUNCEMENTS {
                REPEAT_DELAY_MS
            } else {
                SILENT_REPEAT_DELAY_MS
            };
            announcement.repeat_at = now + pause;
        }
        due.into_iter().map(|(_, _, address)| address).collect()
    }
}
