//! Compresses the values of rows that are larger than the store takes.
//!
//! A job may have thousands of steps that differ little. Other rows stay plain, so that an earlier
//! version of this program can read them.

use std::borrow::Cow;

use base64::{
    Engine as _,
    engine::general_purpose::STANDARD, //
};
use basilbridge_common::error::{
    Error,
    Kind,
    Result, //
};
use miniz_oxide::{
    deflate::compress_to_vec,
    inflate::decompress_to_vec_with_limit, //
};
use serde::Serialize;

/// What encloses a compressed value, which is JSON like all others.
const PREFIX: &str = "{\"deflate\":\"";
const SUFFIX: &str = "\"}";

/// The level of compression, from 0 to 10.
const LEVEL: u8 = 6;

/// The longest text that a compressed value may stand for, in bytes: a step of a job takes 80 bytes
/// in its row and 12 bytes in a body.
const MAX_TEXT_BYTES: usize = 8 * 1024 * 1024;

/// Returns whether a value is compressed.
pub fn is_packed(value: &str) -> bool {
    value.starts_with(PREFIX)
}

/// Encodes a value as JSON, for a row that takes at most `max_bytes`.
///
/// # Errors
///
/// Returns [`Kind::TooLarge`] if it does not fit into a row.
pub fn encode<T: Serialize>(value: &T, max_bytes: usize) -> Result<String> {
    let text = serde_json::to_string(value);
    pack(
        text.map_err(|error| Error::new(Kind::Internal, error.to_string()))?,
        max_bytes,
    )
}

/// Returns `text` as it is stored in a row that takes at most `max_bytes`.
///
/// # Errors
///
/// Returns [`Kind::TooLarge`] if it does not fit into a row.
pub fn pack(text: String, max_bytes: usize) -> Result<String> {
    match text.len() <= max_bytes {
        true => Ok(text),
        false => compress(&text, max_bytes),
    }
}

/// Returns `text` in its compressed form, for a row that takes at most `max_bytes`.
///
/// # Errors
///
/// Returns [`Kind::TooLarge`] if it does not fit into a row.
pub fn compress(text: &str, max_bytes: usize) -> Result<String> {
    let too_large = || Error::new(Kind::TooLarge, "the job is too large to be stored");
    if text.len() > MAX_TEXT_BYTES {
        return Err(too_large());
    }
    let compressed = STANDARD.encode(compress_to_vec(text.as_bytes(), LEVEL));
    let packed = format!("{PREFIX}{compressed}{SUFFIX}");
    match packed.len() <= max_bytes {
        true => Ok(packed),
        false => Err(too_large()),
    }
}

/// Returns the text that [`pack`] was given.
///
/// # Errors
///
/// Returns [`Kind::Internal`] if the value is damaged.
pub fn unpack(value: &str) -> Result<Cow<'_, str>> {
    let Some(rest) = value.strip_prefix(PREFIX) else {
        return Ok(Cow::Borrowed(value));
    };
    let damaged = |error: String| Error::new(Kind::Internal, error);
    let compressed = rest.strip_suffix(SUFFIX).unwrap_or(rest);
    let compressed = STANDARD.decode(compressed);
    let compressed = compressed.map_err(|error| damaged(error.to_string()))?;
    let text = decompress_to_vec_with_limit(&compressed, MAX_TEXT_BYTES);
    let text = text.map_err(|error| damaged(error.to_string()))?;
    let text = String::from_utf8(text).map_err(|error| damaged(error.to_string()))?;
    Ok(Cow::Owned(text))
}
