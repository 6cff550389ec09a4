//! Logging with `spdlog-rs`: one JSON object per line. A bounded queue passes the lines to a writer thread. If the output
//! is not read, lines are dropped and counted instead of blocking the caller.

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

/// Maximum number of lines waiting to be written.
const QUEUE_CAPACITY: usize = 1_024;
/// Time limit for writing the last lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of lines dropped because the queue was full.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Installs the default logger of the process as configured.
pub fn init(settings: &Settings) -> Result<(), spdlog::Error> {
    let formatter = PatternFormatter::new(pattern!("{payload}{eol}"));
    let sink: Arc<dyn Sink> = match &settings.log_file {
        Some(path) => FileSink::builder().path(path).formatter(formatter).build_arc()?,
        None => StdStreamSink::builder().std_stream(StdStream::Stdout).formatter(formatter).build_arc()?,
    };
    let level = level_of(&settings.log_level);
    spdlog::set_default_logger(async_logger(sink, level)?);
    Ok(())
}

/// Creates a logger that never blocks on its sink.
pub fn async_logger(sink: Arc<dyn Sink>, level: Level) -> Result<Arc<Logger>, spdlog::Error> {
    let capacity = NonZeroUsize::new(QUEUE_CAPACITY).unwrap_or(NonZeroUsize::MIN);
    let writer = ThreadPool::builder().capacity(capacity).build_arc()?;
    // A full queue is reported to the error handler of the logger, not to that of the sink behind the queue.
    let count_dropped = ErrorHandler::new(|_| {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
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

/// Writes one log line.
pub fn write(daemon: &str, body: LineBody<'_>) {
    let line = LogLine { schema: SCHEMA_VERSION, at_ms: wall_ms(), daemon, body };
    let Ok(text) = serde_json::to_string(&line) else { return };
    spdlog::info!("{}", text);
}

/// Returns the number of lines dropped so far.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Waits up to [`FLUSH_TIMEOUT`] for the last lines to be written.
pub fn shutdown() {
    let (done, flushed) = mpsc::channel();
    std::thread::spawn(move || {
        spdlog::default_logger().flush();
        // Dropping the last logger that uses the queue writes the queued lines.
        if let Ok(empty) = Logger::builder().build() {
            drop(spdlog::swap_default_logger(Arc::new(empty)));
        }
        let _ = done.send(());
    });
    let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
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
