//! Takes what may change while a daemon runs from its settings file: the seeds. A file that can't be used changes
//! nothing, and is told of.

use super::{Problem, Settings};
use crate::shared::Shared;
use dockwood_api::ResultCode;
use dockwood_api::event::Subject;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{SignalKind, signal};

/// Time between two looks at the file: it may change without a signal.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// Reads the file again after SIGHUP, and whenever it has changed, for ever.
pub async fn run_settings_reader(shared: Arc<Shared>, path: PathBuf) {
    let mut known = modified(&path);
    let Ok(mut hangup) = signal(SignalKind::hangup()) else { return };
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(LOOK_EVERY) => false,
        };
        let found = modified(&path);
        if signalled || found != known {
            known = found;
            reload(&shared, &path);
        }
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
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
            let told: Vec<String> = problems.iter().map(Problem::to_string).collect();
            let code = problems.first().map_or(ResultCode::SettingsUnreadable, |problem| problem.code);
            let message = format!("the settings held stay: {}", told.join("; "));
            shared.timeline.record(subject, "SettingsRefused", &message, None, code);
        }
    }
}
