//! Reads request bodies and writes responses, both as JSON documents.

use basilbridge_common::error::{
    Error,
    Kind,
    Result, //
};
use bytes::Bytes;
use gotham::{
    handler::HandlerResult,
    helpers::http::{
        Body,
        response::create_response, //
    },
    state::{
        FromState,
        State, //
    },
};
use http::{
    HeaderMap,
    HeaderValue,
    StatusCode,
    header, //
};
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::handler::BodyTimeout;

/// The maximum length of a JSON request body, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Reads the whole body of a request, up to `limit` bytes.
///
/// Returns [`Kind::SlowRequest`] if the body does not arrive within the time limit and
/// [`Kind::TooLarge`] if it is longer than `limit`.
pub async fn read(state: &mut State, limit: usize) -> Result<Bytes> {
    let body = Limited::new(Body::take_from(state), limit).collect();
    let collected = match state.try_take::<BodyTimeout>() {
        None => body.await,
        Some(timeout) => match timeout.timer.timeout(timeout.limit, body).await {
            Some(collected) => collected,
            None => return Err(Error::new(Kind::SlowRequest, "the body came in too slowly")),
        },
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let message = format!("the body is longer than {limit} bytes");
            Err(Error::new(Kind::TooLarge, message))
        }
        Err(error) => Err(Error::new(Kind::Malformed, error.to_string())),
    }
}

/// Reads the body of a request as a JSON document of up to [`MAX_BODY_BYTES`] bytes.
pub async fn read_json<T: DeserializeOwned>(state: &mut State) -> Result<T> {
    let body = read(state, MAX_BODY_BYTES).await?;
    serde_json::from_slice(&body).map_err(|error| Error::new(Kind::Malformed, error.to_string()))
}

/// Returns the bearer token of a request, which is the caller's key.
pub fn bearer_token(state: &State) -> Option<String> {
    let value = HeaderMap::borrow_from(state).get(header::AUTHORIZATION)?;
    let key = value.to_str().ok()?.strip_prefix("Bearer ")?;
    Some(key.trim().to_owned())
}

/// Creates the response: a document with status `success`, or an error with the status of its kind.
pub fn respond<T: Serialize>(
    state: State,
    success: StatusCode,
    result: Result<T>,
) -> HandlerResult {
    let (status, retry_after, text) = match &result {
        Ok(value) => (success, None, serde_json::to_vec(value)),
        Err(error) => {
            let status = StatusCode::from_u16(error.kind.properties().http_status)
                .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            (status, error.retry_after, serde_json::to_vec(error))
        }
    };
    let text = text.unwrap_or_default();
    let mut response = create_response(&state, status, mime::APPLICATION_JSON, text);
    if let Some(wait) = retry_after {
        // The header has whole seconds only, and zero would make a client retry immediately.
        let seconds = wait.as_millis().div_ceil(1000).max(1) as u64;
        let value = HeaderValue::from(seconds);
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    Ok((state, response))
}
