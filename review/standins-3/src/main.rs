//! Plays one case of the independent review: `review-standins-3 CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, with 0 if it held and with 2 if the case couldn't run.

use std::{
    env,
    io,
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
    time::Duration, //
};

use tokio::{
    signal::unix::{
        SignalKind,
        signal, //
    },
    time::timeout,
};

mod cases;
mod cell;
mod fleet;
mod http;
mod record;
mod store;

/// A case may take 120 seconds.
const LIMIT: Duration = Duration::from_secs(115);

async fn play(case: &str, folder: &Path) -> io::Result<Vec<String>> {
    let record = folder.join("record.txt");
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    match case {
        "large-progress" => cases::large_progress(&record, trouble).await,
        "large-batch" => cases::large_batch(&record, trouble).await,
        "lost-rack" => cases::lost_rack(&record, trouble).await,
        "crowd" => cases::crowd(&record, trouble).await,
        "queue-back" => cases::queue_back(&record, trouble).await,
        _ => Err(io::Error::other("there is no such case")),
    }
}

/// Waits for a signal to stop.
async fn stop() -> io::Error {
    let (interrupt, terminate) = (SignalKind::interrupt(), SignalKind::terminate());
    match (signal(interrupt), signal(terminate)) {
        (Ok(mut interrupt), Ok(mut terminate)) => {
            tokio::select! {
                _ = interrupt.recv() => {}
                _ = terminate.recv() => {}
            }
            io::Error::other("stopped by a signal")
        }
        (Err(error), _) | (_, Err(error)) => error,
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standins-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let played = async {
        tokio::select! {
            played = timeout(LIMIT, play(&case, &folder)) => {
                played.unwrap_or_else(|_| Err(io::Error::other("the time is over")))
            }
            error = stop() => Err(error),
        }
    };
    // All processes have ended with what played the case.
    match played.await {
        Ok(violations) if violations.is_empty() => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(violations) => {
            println!("{} violations, among them:", violations.len());
            for violation in violations.iter().take(5) {
                println!("  {violation}");
            }
            ExitCode::FAILURE
        }
        Err(error) => {
            println!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
