//! Metrics and timeline events of servers on hold.

use super::{Pushback, SendPermit};
use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::shared::Shared;
use dockwood_api::ResultCode;
use dockwood_api::event::Subject;
use dockwood_routing::Millis;
use dockwood_routing::pushback::{AnswerSignals, LeavingMark, LimitChange, RequestRate, ServerStart};

impl SendPermit {
    /// Counts the pushback signals of a response.
    pub(super) fn count_signals(&self, signals: &AnswerSignals) {
        let signal_states = [
            ("rest", signals.pushback_ms().is_some()),
            ("leaving", signals.leaving == LeavingMark::Leaving),
            ("limit", signals.limit.rate().is_some()),
            ("unreadable", signals.is_unreadable()),
        ];
        for (signal, _) in signal_states.iter().filter(|(_, is_present)| *is_present) {
            self.shared().metrics.server_signals.with_label_values(&[*signal]).inc();
        }
    }

    /// Records that the server requested a back-off.
    pub(super) fn record_backoff(&self, retry_after_ms: Millis, status: u16, hold_ms: Millis, request: &str) {
        let message = format!(
            "asked for {retry_after_ms} ms with {status}, held back for {hold_ms} ms{}",
            self.event_context(request)
        );
        self.record_event("AskedForRest", &message, ResultCode::ServersResting);
    }

    /// Records that the server accepts requests again after a back-off.
    pub(super) fn record_backoff_ended(&self) {
        self.record_event(
            "RestEnded",
            &format!("took the first request after its rest{}", self.event_context("")),
            ResultCode::Ok,
        );
    }

    /// Records that the server announced its shutdown.
    pub(super) fn record_leaving(&self, request: &str) {
        let message =
            format!("said in an answer that it leaves; sent nothing more{}", self.event_context(request));
        self.record_event("SaidItLeaves", &message, ResultCode::Ok);
    }

    pub(super) fn event_context(&self, request: &str) -> String {
        let group = self.target().group.map_or(String::new(), |epoch| format!("; heads g{epoch}"));
        let request = if request.is_empty() { String::new() } else { format!("; request {request}") };
        format!("{group}{request}")
    }

    fn record_event(&self, reason: &str, message: &str, code: ResultCode) {
        self.shared().pushback.record_event(self.shared(), &self.target().start.id, reason, message, code);
    }
}

impl Pushback {
    /// Records a change of a server's rate limit, and how this daemon learned of it.
    pub(super) fn record_limit_change(
        &self,
        shared: &Shared,
        server: &ServerStart,
        change: LimitChange,
        cause: &str,
    ) {
        let (reason, message) = match change {
            LimitChange::Named(rate) => {
                ("NamedLimit", format!("takes {} requests a second from all senders", rate.per_second()))
            }
            LimitChange::Changed { from, to } => (
                "ChangedLimit",
                format!(
                    "takes {} requests a second from all senders, {} before",
                    to.per_second(),
                    from.per_second()
                ),
            ),
            LimitChange::Ended(rate) => (
                "LimitEnded",
                format!("took {} requests a second, and names no limit any more", rate.per_second()),
            ),
        };
        self.record_event(
            shared,
            &server.id,
            reason,
            &format!("{message}; {cause}"),
            ResultCode::ServersAtLimit,
        );
    }

    /// Records how many grants were given for a server recently, against its rate limit.
    pub(super) fn record_grant_count(
        &self,
        shared: &Shared,
        server: &ServerStart,
        rate: RequestRate,
        granted: usize,
    ) {
        let message = format!(
            "given {granted} turns within 4 s here, where it takes {} requests a second",
            rate.per_second()
        );
        self.record_event(shared, &server.id, "LimitShared", &message, ResultCode::ServersAtLimit);
    }

    /// Records an event on a server, subject to the line budget of the result code.
    fn record_event(&self, shared: &Shared, server: &str, reason: &str, message: &str, code: ResultCode) {
        let Some(held_back) = lock(&self.line_budget).take(monotonic_ms(), code) else { return };
        let held_back =
            if held_back == 0 { String::new() } else { format!(" ({held_back} lines held back before)") };
        let subject = Subject::new("instance", server);
        shared.timeline.record(subject, reason, &format!("{message}{held_back}"), None, code);
    }
}
