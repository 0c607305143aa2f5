//! Structured logs.

use slog::{
    Drain,
    Logger,
    o, //
};

/// How logs are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// Lines for people.
    Text,
    /// One JSON document a line, for programs.
    Json,
}

/// The least level that is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Level {
    /// What must be looked at.
    Error,
    /// What may have to be looked at.
    Warning,
    /// Changes of state and refusals.
    Info,
    /// Each request.
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

/// Makes a logger that writes to the standard error stream.
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

/// Makes a logger that writes JSON lines to the standard output stream.
///
/// Lines that come faster than they can be written are left out and counted, so that a slow reader
/// never holds a decision up.
pub fn lines(level: Level) -> Logger {
    let drain = slog_json::Json::default(std::io::stdout()).fuse();
    root(drain, level.into())
}

/// Makes a logger that writes nothing.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn root<D>(drain: D, level: slog::Level) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    // The usual 128 lines are less than a takeover writes at once.
    let drain = slog_async::Async::new(drain).chan_size(2048).build().fuse();
    Logger::root(drain.filter_level(level).fuse(), o!())
}
