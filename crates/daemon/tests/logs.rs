//! Logs: lines are bounded, whatever happens, and nobody waits for them.

use dockwood_api::ResultCode;
use dockwood_daemon::line_budget::LineBudget;
use dockwood_daemon::log_line::{EventLine, LineBody, LogLine, SCHEMA_VERSION};
use dockwood_daemon::logging;
use spdlog::formatter::Formatter;
use spdlog::sink::{Sink, SinkProp, SinkPropAccess};
use spdlog::{ErrorHandler, LevelFilter, Record};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[test]
fn what_is_held_back_is_told_by_the_next_line() {
    let mut budget = LineBudget::default();
    let mut written = 0;
    let mut told_held_back = 0;
    let mut held_back = 0;
    let mut now_ms = 0;
    // Ten seconds of a thousand refusals each, then one more after a pause.
    for request in 0..10_001_u64 {
        now_ms = if request == 10_000 { now_ms + 5_000 } else { request };
        match budget.take(now_ms, ResultCode::Overloaded) {
            Some(told) => {
                written += 1;
                told_held_back += told;
            }
            None => held_back += 1,
        }
    }
    assert_eq!(written + held_back, 10_001, "no line is lost silently");
    assert_eq!(told_held_back, held_back);
    assert!((100..=130).contains(&written), "ten a second and a burst: {written}");
}

#[test]
fn one_result_does_not_hold_back_the_lines_of_another() {
    let mut budget = LineBudget::default();
    while budget.take(0, ResultCode::Ok).is_some() {}
    assert_eq!(budget.take(0, ResultCode::Interrupted), Some(0));
}

#[test]
fn a_line_is_one_json_object_with_its_schema() -> serde_json::Result<()> {
    let event =
        EventLine::new("group/g1".to_string(), "Open", "two \"lines\"\nin one", ResultCode::Ok, Some(7));
    let line = LogLine { schema: SCHEMA_VERSION, at_ms: 5, daemon: "e1", body: LineBody::Event(event) };
    let text = serde_json::to_string(&line)?;
    assert!(!text.contains('\n'));
    let value: serde_json::Value = serde_json::from_str(&text)?;
    let expected = serde_json::json!({
        "schema": 1, "atMs": 5, "daemon": "e1", "kind": "event", "subject": "group/g1", "reason": "Open",
        "message": "two \"lines\"\nin one", "code": 1000, "codeName": "Ok", "revision": 7,
    });
    assert_eq!(value, expected);
    Ok(())
}

/// A reader that has stopped reading: the first line written to it never ends until it is let go.
#[derive(Default)]
struct StoppedReader {
    properties: SinkProp,
    let_go: Mutex<bool>,
    changed: Condvar,
}

impl SinkPropAccess for StoppedReader {
    fn level_filter(&self) -> LevelFilter {
        self.properties.level_filter()
    }

    fn set_level_filter(&self, level_filter: LevelFilter) {
        self.properties.set_level_filter(level_filter);
    }

    fn set_formatter(&self, _: Box<dyn Formatter>) {}

    fn set_error_handler(&self, handler: ErrorHandler) {
        self.properties.set_error_handler(handler);
    }
}

impl Sink for StoppedReader {
    fn log(&self, _: &Record<'_>) -> spdlog::Result<()> {
        let guard = self.let_go.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let waited = self.changed.wait_while(guard, |let_go| !*let_go);
        drop(waited);
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

/// Lets a reader go on however the test ends, so that a failure is told and does not hang.
struct LetGo(Arc<StoppedReader>);

impl Drop for LetGo {
    fn drop(&mut self) {
        *self.0.let_go.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = true;
        self.0.changed.notify_all();
    }
}

#[test]
fn nobody_waits_for_a_reader_that_has_stopped() -> Result<(), spdlog::Error> {
    let reader = Arc::new(StoppedReader::default());
    let logger = logging::queued(reader.clone(), spdlog::Level::Info)?;
    let _let_go = LetGo(reader.clone());
    let dropped_before = logging::dropped();
    let began = Instant::now();
    for _ in 0..20_000 {
        spdlog::info!(logger: logger, "a line");
    }
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    let dropped = logging::dropped() - dropped_before;
    assert!(dropped >= 18_000, "the queue is bounded, and what is dropped is counted: {dropped}");
    Ok(())
}
