//! Quarantines parts of prompts that crash servers.

use crate::Millis;
use dockwood_state::{CommandBody, GatewayCommand, PromptSuspicionTable};
use std::collections::VecDeque;

/// A crash counts once the leader has known it for this long. By then all daemons have reported the requests that the server
/// was running, and complete responses to requests with parts that are innocent.
const SETTLING_TIME_MS: Millis = 300;

/// When the leader first saw a crash.
#[derive(Clone, Copy, Debug)]
struct SeenCrash {
    number: u64,
    at: Millis,
}

/// Determines which crashes have settled, by the leader's own clock.
#[derive(Debug, Default)]
pub struct SettledCrashes {
    unsettled: VecDeque<SeenCrash>,
    newest_seen: u64,
    newest_settled: u64,
}

impl SettledCrashes {
    /// Returns the commands that quarantine the parts to which the settled crashes are attributed.
    pub fn quarantine_commands(
        &mut self,
        now: Millis,
        wall_ms: u64,
        table: &PromptSuspicionTable,
    ) -> Vec<CommandBody> {
        self.update(now, table.last_crash);
        let command = |parts| GatewayCommand::QuarantineParts { parts, at_ms: wall_ms };
        let sets = table.parts_to_quarantine(self.newest_settled).into_iter();
        sets.map(|parts| CommandBody::Gateway(command(parts))).collect()
    }

    fn update(&mut self, now: Millis, last_crash: u64) {
        if last_crash > self.newest_seen {
            self.newest_seen = last_crash;
            self.unsettled.push_back(SeenCrash { number: last_crash, at: now });
        }
        while let Some(crash) = self.unsettled.pop_front_if(|crash| now >= crash.at + SETTLING_TIME_MS) {
            self.newest_settled = crash.number;
        }
    }
}
