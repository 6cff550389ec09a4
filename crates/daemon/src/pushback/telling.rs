//! What is told of servers that are held back: metrics, and events of the time line.

use super::SendPermit;
use crate::clock::monotonic_ms;
use crate::lock::lock;
use dockwood_api::ResultCode;
use dockwood_api::event::Subject;
use dockwood_routing::Millis;
use dockwood_routing::pushback::{AnswerSignals, LeavingMark};

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

    fn cause(&self, request: &str) -> String {
        let group = self.addressee().group.map_or(String::new(), |epoch| format!("; heads g{epoch}"));
        let request = if request.is_empty() { String::new() } else { format!("; request {request}") };
        format!("{group}{request}")
    }

    /// Records an event on the server, unless there were too many of its kind lately.
    fn tell(&self, reason: &str, message: &str, code: ResultCode) {
        let shared = self.shared();
        let Some(held_back) = lock(&shared.pushback.line_budget).take(monotonic_ms(), code) else { return };
        let held_back =
            if held_back == 0 { String::new() } else { format!(" ({held_back} lines held back before)") };
        let subject = Subject::new("instance", self.addressee().start.id.clone());
        shared.timeline.record(subject, reason, &format!("{message}{held_back}"), None, code);
    }
}
