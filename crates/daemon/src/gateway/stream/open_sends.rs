//! All sends of one request that servers have at the same time.

use super::open_send::{OpenSend, Position, Progress};
use futures::future::select_all;

/// Sends that were removed because another one continues.
pub(super) struct ClosedSends {
    /// Those that were made before the one that continues.
    pub older: Vec<OpenSend>,
    /// Those that were made after it.
    pub newer: Vec<OpenSend>,
}

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

    /// Removes the only send, after all others were removed.
    pub fn take_only(&mut self) -> Option<OpenSend> {
        self.0.pop()
    }

    /// Removes all sends but one.
    pub fn keep_only(&mut self, index: usize) -> ClosedSends {
        let newer = self.0.split_off((index + 1).min(self.0.len()));
        let older = self.0.drain(..index.min(self.0.len())).collect();
        ClosedSends { older, newer }
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
