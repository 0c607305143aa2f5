//! Request bodies and answers, both JSON documents.

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

use crate::edge::BodyTime;

/// The longest request body that is read, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Reads the whole body of a request, up to `limit` bytes.
pub async fn read(state: &mut State, limit: usize) -> Result<Bytes> {
    let body = Limited::new(Body::take_from(state), limit).collect();
    let collected = match state.try_take::<BodyTime>() {
        None => body.await,
        Some(time) => match time.timer.timeout(time.limit, body).await {
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

/// Reads the body of a request as a JSON document.
pub async fn read_json<T: DeserializeOwned>(state: &mut State) -> Result<T> {
    let body = read(state, MAX_BODY_BYTES).await?;
    serde_json::from_slice(&body).map_err(|error| Error::new(Kind::Malformed, error.to_string()))
}

/// Returns the key that came with a request.
pub fn bearer_token(state: &State) -> Option<String> {
    let value = HeaderMap::borrow_from(state).get(header::AUTHORIZATION)?;
    let key = value.to_str().ok()?.strip_prefix("Bearer ")?;
    Some(key.trim().to_owned())
}

/// Answers a request with a document, or with an error by the table of kinds.
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
        // The header knows whole seconds only, and zero would invite a client back at once.
        let seconds = wait.as_millis().div_ceil(1000).max(1) as u64;
        let value = HeaderValue::from(seconds);
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    Ok((state, response))
}
