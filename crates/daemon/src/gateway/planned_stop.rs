//! The end of a planned stop, by which each request whose response has not begun gets a final one: its connection would end
//! without an answer otherwise.

use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// When the requests of this gateway have to be answered, if it is being stopped.
#[derive(Debug, Default)]
pub struct PlannedStop {
    answers_due: watch::Sender<Option<Instant>>,
}

impl PlannedStop {
    /// Begins the stop. Requests without a response at `answers_due` are given up.
    pub fn begin(&self, answers_due: Instant) {
        self.answers_due.send_replace(Some(answers_due));
    }

    /// Completes when a request with this deadline and without a response is given up: at its deadline, or earlier because of
    /// a stop.
    pub async fn time_is_up(&self, deadline: Instant) {
        tokio::select! {
            () = sleep_until(deadline) => {}
            () = self.answers_are_due() => {}
        }
    }

    /// Never completes if no stop begins.
    async fn answers_are_due(&self) {
        let mut begun = self.answers_due.subscribe();
        // The sender exists as long as `self`.
        let answers_due = begun.wait_for(Option::is_some).await.map_or(None, |answers_due| *answers_due);
        match answers_due {
            Some(answers_due) => sleep_until(answers_due).await,
            None => std::future::pending().await,
        }
    }
}
