//! Bounds on what a request may ask for, so that no number in it costs more than the request.

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    job::Request,
};

/// The most tasks of one job.
pub const MAX_TASKS: u32 = 100_000;

/// The longest name in a request, in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// Refuses a request that asks for nothing, or for more than any part may be made to keep.
pub fn check(request: &Request) -> Result<()> {
    if !(1..=MAX_TASKS).contains(&request.count) {
        let message = format!("a job has from 1 to {MAX_TASKS} tasks");
        return Err(Error::new(Kind::Malformed, message));
    }
    let names = [
        Some(&request.queue),
        request.idempotency_key.as_ref(),
        request.family.as_ref(),
    ];
    if names
        .into_iter()
        .flatten()
        .any(|name| name.len() > MAX_NAME_BYTES)
    {
        let message = format!("a name is longer than {MAX_NAME_BYTES} bytes");
        return Err(Error::new(Kind::TooLarge, message));
    }
    Ok(())
}
