//! What is told of servers that are held back: metrics, and events of the time line.

use super::{Pushback, SendPermit};
use crate::clock::monotonic_ms;
use crate::lock::lock;
use crate::shared::Shared;
use dockwood_api::ResultCode;
use dockwood_api::event::Subject;
use dockwood_routing::Millis;
use dockwood_routing::pushback::{AnswerSignals, LeavingMark, LimitChange, RequestRate, ServerStart};

impl SendPermit {
    /// Counts what an answer asks for.
    pub(super) fn count(&self, signals: &AnswerSignals) {
        let asked = [
            ("rest", signals.pushback_ms().is_some()),
            ("leaving", signals.leaving == LeavingMark::Leaving),
            ("limit", signals.limit.rate().is_some()),
            ("unreadable", signals.is_unreadable()),
        ];
        for (signal, _) in asked.iter().filter(|(_, is_asked)| *is_asked) {
            self.shared().metrics.server_signals.with_label_values(&[*signal]).inc();
        }
    }

    /// Tells that the server asked for rest.
    pub(super) fn tell_rest(&self, rest_ms: Millis, status: u16, held_ms: Millis, request: &str) {
        let message = format!(
            "asked for {rest_ms} ms with {status}, held back for {held_ms} ms{}",
            self.cause(request)
        );
        self.tell("AskedForRest", &message, ResultCode::ServersResting);
    }

    /// Tells that the server takes requests again after a rest.
    pub(super) fn tell_rest_ended(&self) {
        self.tell(
            "RestEnded",
            &format!("took the first request after its rest{}", self.cause("")),
            ResultCode::Ok,
        );
    }

    /// Tells that the server said that it leaves.
    pub(super) fn tell_leaving(&self, request: &str) {
        let message = format!("said in an answer that it leaves; sent nothing more{}", self.cause(request));
        self.tell("SaidItLeaves", &message, ResultCode::Ok);
    }

    pub(super) fn cause(&self, request: &str) -> String {
        let group = self.addressee().group.map_or(String::new(), |epoch| format!("; heads g{epoch}"));
        let request = if request.is_empty() { String::new() } else { format!("; request {request}") };
        format!("{group}{request}")
    }

    fn tell(&self, reason: &str, message: &str, code: ResultCode) {
        self.shared().pushback.tell(self.shared(), &self.addressee().start.id, reason, message, code);
    }
}

impl Pushback {
    /// Tells what has changed of a server's limit, and how it became known here.
    pub(super) fn tell_limit(&self, shared: &Shared, server: &ServerStart, change: LimitChange, cause: &str) {
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
        self.tell(shared, &server.id, reason, &format!("{message}; {cause}"), ResultCode::ServersAtLimit);
    }

    /// Tells what a server's senders got lately, of what it takes.
    pub(super) fn tell_turns(&self, shared: &Shared, server: &ServerStart, rate: RequestRate, given: usize) {
        let message = format!(
            "given {given} turns within 4 s here, where it takes {} requests a second",
            rate.per_second()
        );
        self.tell(shared, &server.id, "LimitShared", &message, ResultCode::ServersAtLimit);
    }

    /// Records an event on a server, unless there were too many of its kind lately.
    fn tell(&self, shared: &Shared, server: &str, reason: &str, message: &str, code: ResultCode) {
        let Some(held_back) = lock(&self.line_budget).take(monotonic_ms(), code) else { return };
        let held_back =
            if held_back == 0 { String::new() } else { format!(" ({held_back} lines held back before)") };
        let subject = Subject::new("instance", server);
        shared.timeline.record(subject, reason, &format!("{message}{held_back}"), None, code);
    }
}
