//! Logs by `spdlog-rs`: one line for each change of state; what repeats is counted in metrics instead.

use crate::settings::Settings;
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{FileSink, Sink, StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};
use std::sync::Arc;

/// Sets the process's logger up by the settings.
pub fn init(settings: &Settings) -> Result<(), spdlog::Error> {
    let formatter = PatternFormatter::new(pattern!("{date} {time}.{millisecond} {level} {payload}{kv}{eol}"));
    let sink: Arc<dyn Sink> = match &settings.log_file {
        Some(path) => FileSink::builder().path(path).formatter(formatter).build_arc()?,
        None => StdStreamSink::builder().std_stream(StdStream::Stdout).formatter(formatter).build_arc()?,
    };
    let level = level_of(&settings.log_level);
    let logger: Logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
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
