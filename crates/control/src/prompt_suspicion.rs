//! Quarantines parts of prompts that crash servers.

use crate::Millis;
use dockwood_state::{CommandBody, CrashHorizon, GatewayCommand, PromptSuspicionTable};
use std::collections::VecDeque;

/// Once the leader has known a crash for this long, all daemons have reported the requests that the server was running.
const REPORTED_WITHIN_MS: Millis = 300;
/// Once the leader has known a crash for this long, innocent parts of the requests that the server was running have been
/// cleared, if anything is answered: a response, the time that its server must outlive it, and the report.
const CLEARED_WITHIN_MS: Millis = 1_500;

/// When the leader first saw a crash.
#[derive(Clone, Copy, Debug)]
struct SeenCrash {
    number: u64,
    at: Millis,
}

/// Determines by the leader's own clock for how long crashes have been known.
#[derive(Debug, Default)]
pub struct CrashAges {
    unreported: VecDeque<SeenCrash>,
    unclearable: VecDeque<SeenCrash>,
    newest_seen: u64,
    horizon: CrashHorizon,
}

impl CrashAges {
    /// Returns the commands that quarantine the parts to which crashes are attributed.
    pub fn quarantine_commands(
        &mut self,
        now: Millis,
        wall_ms: u64,
        table: &PromptSuspicionTable,
    ) -> Vec<CommandBody> {
        self.update(now, table.last_crash);
        let command = |parts| GatewayCommand::QuarantineParts { parts, at_ms: wall_ms };
        let sets = table.parts_to_quarantine(self.horizon).into_iter();
        sets.map(|parts| CommandBody::Gateway(command(parts))).collect()
    }

    fn update(&mut self, now: Millis, last_crash: u64) {
        if last_crash > self.newest_seen {
            self.newest_seen = last_crash;
            let crash = SeenCrash { number: last_crash, at: now };
            self.unreported.push_back(crash);
            self.unclearable.push_back(crash);
        }
        while let Some(crash) = self.unreported.pop_front_if(|crash| now >= crash.at + REPORTED_WITHIN_MS) {
            self.horizon.reported = crash.number;
        }
        while let Some(crash) = self.unclearable.pop_front_if(|crash| now >= crash.at + CLEARED_WITHIN_MS) {
            self.horizon.clearable = crash.number;
        }
    }
}
