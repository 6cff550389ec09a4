//! Logging: the number of lines is bounded, and writing them never blocks.

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
fn the_next_line_reports_the_number_of_suppressed_lines() {
    let mut budget = LineBudget::default();
    let mut written = 0;
    let mut reported = 0;
    let mut suppressed = 0;
    let mut now_ms = 0;
    // A thousand refusals per second for ten seconds, then one more after a pause.
    for request in 0..10_001_u64 {
        now_ms = if request == 10_000 { now_ms + 5_000 } else { request };
        match budget.take(now_ms, ResultCode::Overloaded) {
            Some(newly_reported) => {
                written += 1;
                reported += newly_reported;
            }
            None => suppressed += 1,
        }
    }
    assert_eq!(written + suppressed, 10_001, "a line was neither written nor counted");
    assert_eq!(reported, suppressed);
    assert!((100..=130).contains(&written), "more or less than ten lines per second and a burst: {written}");
}

#[test]
fn lines_of_one_result_code_do_not_suppress_those_of_another() {
    let mut budget = LineBudget::default();
    while budget.take(0, ResultCode::Ok).is_some() {}
    assert_eq!(budget.take(0, ResultCode::Interrupted), Some(0));
}

#[test]
fn a_line_is_one_json_object_with_the_schema_version() -> serde_json::Result<()> {
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

/// A sink whose writes block until it is released.
#[derive(Default)]
struct BlockedSink {
    properties: SinkProp,
    released: Mutex<bool>,
    changed: Condvar,
}

impl SinkPropAccess for BlockedSink {
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

impl Sink for BlockedSink {
    fn log(&self, _: &Record<'_>) -> spdlog::Result<()> {
        let guard = self.released.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let waited = self.changed.wait_while(guard, |released| !*released);
        drop(waited);
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

/// Releases a sink however the test ends, so that a failing test does not hang.
struct ReleaseOnDrop(Arc<BlockedSink>);

impl Drop for ReleaseOnDrop {
    fn drop(&mut self) {
        *self.0.released.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = true;
        self.0.changed.notify_all();
    }
}

#[test]
fn logging_does_not_block_on_a_sink_that_does_not_return() -> Result<(), spdlog::Error> {
    let sink = Arc::new(BlockedSink::default());
    let logger = logging::async_logger(sink.clone(), spdlog::Level::Info)?;
    let _release = ReleaseOnDrop(sink.clone());
    let dropped_before = logging::dropped_lines();
    let began = Instant::now();
    for _ in 0..20_000 {
        spdlog::info!(logger: logger, "a line");
    }
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    let dropped = logging::dropped_lines() - dropped_before;
    assert!(dropped >= 18_000, "the queue is not bounded, or dropped lines are not counted: {dropped}");
    Ok(())
}
