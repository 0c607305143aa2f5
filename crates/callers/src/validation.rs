//! Limits on the values of a request, so that no value in it costs more than the request itself.

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    job::Request,
};

/// The maximum number of tasks in a job.
pub const MAX_TASKS: u32 = 100_000;

/// The maximum length of a name in a request, in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// Returns an error if a request has no tasks, or a value that would take too much memory.
pub fn validate(request: &Request) -> Result<()> {
    if !(1..=MAX_TASKS).contains(&request.count) {
        let message = format!("`count` must be from 1 to {MAX_TASKS}");
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
        let message =
            format!("`queue`, `idempotency_key` or `family` is longer than {MAX_NAME_BYTES} bytes");
        return Err(Error::new(Kind::TooLarge, message));
    }
    Ok(())
}
