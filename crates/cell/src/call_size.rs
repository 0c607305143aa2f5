//! What the platform's store takes in one call.

use basilbridge_platform::table::Put;

/// The most entries of a call, conditions included.
pub const MAX_ENTRIES: usize = 100;

/// The most bytes of a call, whose values are in base64.
pub const MAX_BYTES: usize = 1_000_000;

/// What the names of the fields of an entry take at most, in bytes.
const ENTRY_BYTES: usize = 128;

/// What a condition takes at most: the names of its fields, its table, its key and a version.
const CONDITION_BYTES: usize = 256;

/// Returns about how many bytes an entry of a call takes, and never less than it does.
pub fn bytes(put: &Put) -> usize {
    let value = put.value.as_ref().map_or(0, String::len);
    ENTRY_BYTES + put.table.len() + put.key.len() + value.div_ceil(3) * 4
}

/// Returns whether a call on so many conditions takes all of `puts`.
pub fn fits<'a>(puts: impl IntoIterator<Item = &'a Put>, checks: usize) -> bool {
    let sizes: Vec<usize> = puts.into_iter().map(bytes).collect();
    let bytes = sizes.iter().sum::<usize>() + checks * CONDITION_BYTES;
    sizes.len() + checks <= MAX_ENTRIES && bytes <= MAX_BYTES
}

/// Cuts `puts` into calls on so many conditions each, in their order.
pub fn cut(puts: Vec<Put>, checks: usize) -> Vec<Vec<Put>> {
    let mut calls: Vec<Vec<Put>> = Vec::new();
    for put in puts {
        if let Some(call) = calls.last_mut() {
            call.push(put);
            if fits(call.iter(), checks) {
                continue;
            }
            let excess = call.pop();
            calls.push(excess.into_iter().collect());
        } else {
            calls.push(vec![put]);
        }
    }
    calls
}
