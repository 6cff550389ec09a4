//! Reloads the settings that may change while a daemon runs, which are the seeds. An invalid file changes nothing and is
//! reported in the timeline.

use super::{Problem, Settings};
use crate::shared::Shared;
use dockwood_api::ResultCode;
use dockwood_api::event::Subject;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{SignalKind, signal};

/// Time between two checks of the file, which may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the file after SIGHUP and whenever its modification time changes. Runs for the life of the process.
pub async fn run_settings_reloader(shared: Arc<Shared>, path: PathBuf) {
    let mut last_modified = modified_at(&path);
    let Ok(mut hangup) = signal(SignalKind::hangup()) else { return };
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(CHECK_INTERVAL) => false,
        };
        let found = modified_at(&path);
        if signalled || found != last_modified {
            last_modified = found;
            reload(&shared, &path);
        }
    }
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

fn reload(shared: &Shared, path: &Path) {
    let subject = Subject::new("daemon", &shared.settings.name);
    match Settings::read(path) {
        Ok(settings) => {
            shared.set_seeds(settings.control_peers());
            shared.timeline.record(subject, "SettingsReloaded", "", None, ResultCode::Ok);
        }
        Err(problems) => {
            let messages: Vec<String> = problems.iter().map(Problem::to_string).collect();
            let code = problems.first().map_or(ResultCode::SettingsUnreadable, |problem| problem.code);
            let message = format!("the settings held stay: {}", messages.join("; "));
            shared.timeline.record(subject, "SettingsRefused", &message, None, code);
        }
    }
}
