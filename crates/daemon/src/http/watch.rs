//! Watches: stream the changes of selected resources from a revision on, as one JSON object per line.

use super::list_query::Selector;
use crate::shared::Shared;
use bytes::Bytes;
use dockwood_api::resource::{Kind, ResourceKey, ResourceView};
use dockwood_api::{ApiError, ResultCode};
use dockwood_state::view;
use futures::Stream;
use serde::Serialize;
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Interval of bookmarks in a watch without changes.
const BOOKMARK_INTERVAL: Duration = Duration::from_secs(10);

/// One line of a watch stream.
#[derive(Debug, Serialize)]
#[serde(tag = "type", rename_all = "UPPERCASE", rename_all_fields = "camelCase")]
enum WatchLine {
    /// The resource exists and has changed, possibly only in its status.
    Modified { object: Box<ResourceView>, resource_version: u64 },
    /// The resource was deleted.
    Deleted { kind: Kind, name: String, resource_version: u64 },
    /// No selected resource has changed up to this revision. A watch may resume from it.
    Bookmark { resource_version: u64 },
    /// The watch can't continue from its revision.
    Error { code: u16, message: String },
}

struct Watcher {
    shared: Arc<Shared>,
    kind: Kind,
    selector: Selector,
    publications: watch::Receiver<u64>,
    revision: u64,
    in_force_revision: u64,
    lines: VecDeque<Bytes>,
    ended: bool,
}

/// Streams the changes after revision `from`, or after the current one if it is absent.
pub fn watch_stream(
    shared: Arc<Shared>,
    kind: Kind,
    selector: Selector,
    from: Option<u64>,
) -> Result<impl Stream<Item = Result<Bytes, std::io::Error>> + Send + 'static, ApiError> {
    let published = shared.published();
    let revision = from.unwrap_or(published.tables.revision);
    if shared.watch_hub.touched(revision, revision).is_none() {
        let message = format!("resourceVersion {revision} is older than the retained changes");
        return Err(ApiError::new(ResultCode::WatchTooOld, message));
    }
    let watcher = Watcher {
        publications: shared.watch_publications(),
        shared,
        kind,
        selector,
        revision,
        // A revision that came into force before the watch began is reported only with the changes that the watch
        // requests.
        in_force_revision: revision.min(published.in_force_revision),
        lines: VecDeque::new(),
        ended: false,
    };
    Ok(futures::stream::unfold(watcher, |mut watcher| async move {
        let line = watcher.next_line().await?;
        Some((Ok(line), watcher))
    }))
}

impl Watcher {
    async fn next_line(&mut self) -> Option<Bytes> {
        loop {
            if let Some(line) = self.lines.pop_front() {
                return Some(line);
            }
            if self.ended {
                return None;
            }
            self.collect_changes();
            if !self.lines.is_empty() {
                continue;
            }
            match tokio::time::timeout(BOOKMARK_INTERVAL, self.publications.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return None,
                Err(_) => self.push_line(&WatchLine::Bookmark { resource_version: self.revision }),
            }
        }
    }

    fn collect_changes(&mut self) {
        let published = self.shared.published();
        let (revision, in_force) = (published.tables.revision, published.in_force_revision);
        let hub = &self.shared.watch_hub;
        let changed = hub.touched(self.revision, revision);
        // A revision that comes into force changes the status of the resources that were changed up to it.
        let newly_in_force = hub.touched(self.in_force_revision, in_force.min(revision));
        let Some(mut keys) = changed else {
            let message = format!("resourceVersion {} is older than the retained changes", self.revision);
            self.push_line(&WatchLine::Error { code: ResultCode::WatchTooOld.number(), message });
            self.ended = true;
            return;
        };
        keys.extend(newly_in_force.unwrap_or_default());
        self.revision = revision.max(self.revision);
        self.in_force_revision = in_force.max(self.in_force_revision);
        let wanted: BTreeSet<ResourceKey> = keys.into_iter().filter(|key| key.kind == self.kind).collect();
        for key in wanted {
            match view::view(&published.tables, in_force, &key) {
                Some(object) if self.selector.matches(&object.metadata) => {
                    self.push_line(&WatchLine::Modified {
                        object: Box::new(object),
                        resource_version: revision,
                    });
                }
                Some(_) => {}
                None => self.push_line(&WatchLine::Deleted {
                    kind: key.kind,
                    name: key.name,
                    resource_version: revision,
                }),
            }
        }
    }

    fn push_line(&mut self, line: &WatchLine) {
        let mut bytes = serde_json::to_vec(line).unwrap_or_default();
        bytes.push(b'\n');
        self.lines.push_back(Bytes::from(bytes));
    }
}
