//! All sends of one request that servers have at the same time.

use super::open_send::{OpenSend, Position, Progress};
use futures::future::select_all;

/// The open sends of a request, in the order in which they were made. There is more than one only while the older ones
/// have stalled.
#[derive(Default)]
pub(super) struct OpenSends(Vec<OpenSend>);

impl OpenSends {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of servers that have the request.
    pub fn count(&self) -> u32 {
        self.0.len() as u32
    }

    pub fn push(&mut self, send: OpenSend) {
        self.0.push(send);
    }

    pub fn get_mut(&mut self, index: usize) -> Option<&mut OpenSend> {
        self.0.get_mut(index)
    }

    pub fn newest(&self) -> Option<&OpenSend> {
        self.0.last()
    }

    pub fn newest_mut(&mut self) -> Option<&mut OpenSend> {
        self.0.last_mut()
    }

    pub fn iter(&self) -> impl Iterator<Item = &OpenSend> {
        self.0.iter()
    }

    /// Removes a send.
    pub fn take(&mut self, index: usize) -> Option<OpenSend> {
        (index < self.0.len()).then(|| self.0.remove(index))
    }

    /// Removes all sends but one, and returns them with whether each is older than the one that is kept.
    pub fn keep_only(&mut self, index: usize) -> Vec<(OpenSend, bool)> {
        let Some(kept) = self.take(index) else { return Vec::new() };
        let others = std::mem::replace(&mut self.0, vec![kept]);
        others.into_iter().enumerate().map(|(position, send)| (send, position < index)).collect()
    }

    /// Waits for the next progress on any send, and returns the index of that send. If several have progressed, the oldest
    /// is returned. May be cancelled without losing anything.
    pub async fn progress(&mut self, position: Position) -> (usize, Progress) {
        match self.0.as_mut_slice() {
            [only] => (0, only.progress(position).await),
            [] => std::future::pending().await,
            several => {
                let all = several.iter_mut().map(|send| Box::pin(send.progress(position)));
                let (progress, index, _) = select_all(all).await;
                (index, progress)
            }
        }
    }
}
