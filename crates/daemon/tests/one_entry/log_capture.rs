//! Log lines of this test process.

use serde_json::Value;
use spdlog::formatter::Formatter;
use spdlog::sink::{Sink, SinkProp, SinkPropAccess};
use spdlog::{ErrorHandler, LevelFilter, Logger, Record};
use std::sync::{Arc, LazyLock, Mutex, MutexGuard};

static LINES: LazyLock<Arc<CapturedLines>> = LazyLock::new(|| {
    let captured = Arc::new(CapturedLines::default());
    let logger = Logger::builder().sink(captured.clone()).build_arc();
    spdlog::set_default_logger(logger.unwrap_or_else(|error| panic!("{error}")));
    captured
});

/// A sink that keeps all lines.
#[derive(Default)]
struct CapturedLines {
    properties: SinkProp,
    lines: Mutex<Vec<String>>,
}

impl CapturedLines {
    fn lines(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl SinkPropAccess for CapturedLines {
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

impl Sink for CapturedLines {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        self.lines().push(record.payload().to_string());
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

/// Captures all lines written from now on.
pub fn capture_log() {
    LazyLock::force(&LINES);
}

/// Returns the captured lines of this kind on this request.
pub fn lines_on(kind: &str, request: &str) -> Vec<Value> {
    let lines = LINES.lines();
    let values = lines.iter().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    values.filter(|line| line["kind"] == kind && line["request"] == request).collect()
}
