//! Structured logs.

use slog::{
    Drain,
    Logger,
    o, //
};

/// The format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// Human-readable lines.
    Text,
    /// One JSON document per line.
    Json,
}

/// The lowest level that is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Level {
    /// Faults that need attention.
    Error,
    /// Conditions that may need attention.
    Warning,
    /// State changes and refused requests.
    Info,
    /// Every request.
    Debug,
}

impl From<Level> for slog::Level {
    fn from(level: Level) -> Self {
        match level {
            Level::Error => Self::Error,
            Level::Warning => Self::Warning,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
        }
    }
}

/// Returns a logger that writes to standard error.
pub fn logger(format: Format, level: Level) -> Logger {
    match format {
        Format::Text => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            root(drain, level.into())
        }
        Format::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).fuse();
            root(drain, level.into())
        }
    }
}

/// Returns a logger that writes JSON lines to standard output.
///
/// Lines that arrive faster than they can be written are dropped and counted, so that a slow reader
/// of the log never delays the scheduler.
pub fn json_lines(level: Level) -> Logger {
    let drain = slog_json::Json::default(std::io::stdout()).fuse();
    root(drain, level.into())
}

/// Returns a logger that discards everything.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Returns a logger that filters by level and writes from a thread of its own.
fn root<D>(drain: D, level: slog::Level) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    // A takeover writes more lines at once than the default of 128.
    let drain = slog_async::Async::new(drain).chan_size(2048).build().fuse();
    Logger::root(drain.filter_level(level).fuse(), o!())
}
