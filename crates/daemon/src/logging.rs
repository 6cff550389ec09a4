//! Logs by `spdlog-rs`: one JSON object a line. Lines are handed to a thread of their own by a bounded queue; where
//! nobody reads them, they are dropped and counted, and nothing waits.

use crate::clock::wall_ms;
use crate::log_line::{LineBody, LogLine, SCHEMA_VERSION};
use crate::settings::Settings;
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, FileSink, OverflowPolicy, Sink, StdStream, StdStreamSink};
use spdlog::{ErrorHandler, Level, LevelFilter, Logger, ThreadPool};
use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::time::Duration;

/// Lines that wait to be written, at most.
const QUEUE_LINES: usize = 1_024;
/// How long the end of the process waits for the last lines.
const FINISH_LIMIT: Duration = Duration::from_millis(200);

/// Lines that were dropped because nobody read them.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Sets the process's logger up by the settings.
pub fn init(settings: &Settings) -> Result<(), spdlog::Error> {
    let formatter = PatternFormatter::new(pattern!("{payload}{eol}"));
    let sink: Arc<dyn Sink> = match &settings.log_file {
        Some(path) => FileSink::builder().path(path).formatter(formatter).build_arc()?,
        None => StdStreamSink::builder().std_stream(StdStream::Stdout).formatter(formatter).build_arc()?,
    };
    let level = level_of(&settings.log_level);
    spdlog::set_default_logger(queued(sink, level)?);
    Ok(())
}

/// A logger that never waits for its sink.
pub fn queued(sink: Arc<dyn Sink>, level: Level) -> Result<Arc<Logger>, spdlog::Error> {
    let capacity = NonZeroUsize::new(QUEUE_LINES).unwrap_or(NonZeroUsize::MIN);
    let writer = ThreadPool::builder().capacity(capacity).build_arc()?;
    // A full queue is an error of the logger's call, not of the sink behind the queue.
    let count_dropped = ErrorHandler::new(|_| {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    });
    let queue = AsyncPoolSink::builder()
        .sink(sink)
        .thread_pool(writer)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    let logger = Logger::builder()
        .sink(queue)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .error_handler(count_dropped)
        .build()?;
    Ok(Arc::new(logger))
}

/// Writes one line.
pub fn write(daemon: &str, body: LineBody<'_>) {
    let line = LogLine { schema: SCHEMA_VERSION, at_ms: wall_ms(), daemon, body };
    let Ok(text) = serde_json::to_string(&line) else { return };
    spdlog::info!("{}", text);
}

/// Lines dropped so far.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Waits shortly for the last lines to be written.
pub fn finish() {
    let (done, finished) = mpsc::channel();
    std::thread::spawn(move || {
        spdlog::default_logger().flush();
        // What is queued is written when the last logger that uses the queue goes.
        if let Ok(empty) = Logger::builder().build() {
            drop(spdlog::swap_default_logger(Arc::new(empty)));
        }
        let _ = done.send(());
    });
    let _ = finished.recv_timeout(FINISH_LIMIT);
}

fn level_of(name: &str) -> Level {
    match name {
        "trace" => Level::Trace,
        "debug" => Level::Debug,
        "warn" => Level::Warn,
        "error" => Level::Error,
        "critical" => Level::Critical,
        _ => Level::Info,
    }
}
