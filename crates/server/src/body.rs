//! Reads request bodies and writes responses, both as JSON documents.

use std::{
    future::poll_fn,
    panic::RefUnwindSafe,
    pin::Pin,
    sync::Arc,
    task::Poll,
    time::Duration, //
};

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    timer, //
};
use bytes::Bytes;
use gotham::{
    handler::HandlerResult,
    helpers::http::{
        Body,
        response::create_response, //
    },
    http_body::{
        Body as _,
        Frame, //
    },
    state::{
        FromState,
        State,
        StateData, //
    },
};
use http::{
    HeaderMap,
    HeaderValue,
    StatusCode,
    header, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::{
    connection::Connection,
    listener::Settings,
    memory::{
        self,
        Reservation, //
    },
    turn::Turnstile,
};

/// The maximum length of a JSON request body, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// The first memory that is reserved for a body of unknown length, in bytes.
const FIRST_BYTES: usize = 1024;

/// How many frames of a body are received in one turn. A body of legal size whose frames are not small
/// has fewer.
const FRAMES_PER_TURN: usize = 64;

/// The length from which a body is worth a turn, since decoding it takes long, in bytes.
const LARGE_BYTES: usize = 16 * 1024;

/// The body of a request that is being received, or that is handled after that.
#[derive(StateData)]
pub(crate) struct Receiver {
    timer: timer::Service,
    timeout: Duration,
    memory: Reservation,
    turnstile: Turnstile,
    connection: Option<Arc<Connection>>,
}

impl RefUnwindSafe for Receiver {}

impl Receiver {
    pub(crate) fn new(settings: &Settings, connection: Option<Arc<Connection>>) -> Self {
        Self {
            memory: settings.budget.receive(settings.timer.now()),
            turnstile: settings.budget.turnstile().clone(),
            timer: settings.timer.clone(),
            timeout: settings.body_timeout,
            connection,
        }
    }

    async fn receive(&mut self, body: Body, limit: usize) -> Result<Bytes> {
        if let Some(connection) = &self.connection {
            connection.begin_upload(self.timer.now());
        }
        let timer = self.timer.clone();
        let received = timer.timeout(self.timeout, self.collect(body, limit)).await;
        if let Some(connection) = &self.connection {
            connection.end_upload();
        }
        received.unwrap_or_else(|| {
            let message = "the body came in too slowly";
            Err(Error::new(Kind::SlowRequest, message))
        })
    }

    /// Copies the frames of a body into one buffer. Each frame would else be kept with its own
    /// overhead, which is a multiple of a frame of one byte.
    async fn collect(&mut self, mut body: Body, limit: usize) -> Result<Bytes> {
        let declared = body.size_hint().exact().unwrap_or(0);
        if declared > limit as u64 {
            return Err(too_large(limit));
        }
        let mut buffer = Vec::new();
        for number in 1_usize.. {
            if number.is_multiple_of(FRAMES_PER_TURN) {
                self.turnstile.pass().await;
            }
            let Some(frame) = self.next_frame(&mut body).await? else {
                break;
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = buffer.len() + data.len();
            if length > limit {
                return Err(too_large(limit));
            }
            if length > buffer.capacity() {
                let doubled = (2 * buffer.capacity()).max(FIRST_BYTES);
                let longest = if declared > 0 {
                    declared as usize
                } else {
                    limit
                };
                let capacity = doubled.min(longest).max(length);
                let bytes = capacity - buffer.capacity();
                let now = self.timer.now();
                let grown = poll_fn(|cx| self.memory.poll_grow(cx, bytes, now)).await;
                grown.map_err(|_| memory::exhausted())?;
                buffer.reserve_exact(capacity - buffer.len());
            }
            buffer.extend_from_slice(&data);
        }
        if buffer.len() > LARGE_BYTES {
            self.turnstile.pass().await;
        }
        self.memory.begin_handling()?;
        Ok(buffer.into())
    }

    /// Returns the next frame, or `None` at the end of the body.
    async fn next_frame(&self, body: &mut Body) -> Result<Option<Frame<Bytes>>> {
        let frame = poll_fn(|cx| {
            if self.memory.poll_evicted(cx).is_ready() {
                return Poll::Ready(Err(memory::exhausted()));
            }
            let polled = Pin::new(&mut *body).poll_frame(cx);
            polled.map(|frame| {
                let frame = frame.transpose();
                frame.map_err(|error| Error::new(Kind::Malformed, error.to_string()))
            })
        });
        frame.await
    }
}

fn too_large(limit: usize) -> Error {
    let message = format!("the body is longer than {limit} bytes");
    Error::new(Kind::TooLarge, message)
}

/// Reads the whole body of a request, up to `limit` bytes. Its memory counts as held until the
/// response is created.
///
/// Returns [`Kind::SlowRequest`] if the body does not arrive within the time limit,
/// [`Kind::TooLarge`] if it is longer than `limit` and [`Kind::Overloaded`] if requests hold all the
/// memory that they may and this one gives way.
pub async fn read(state: &mut State, limit: usize) -> Result<Bytes> {
    let body = Body::take_from(state);
    let mut receiver = Receiver::take_from(state);
    let received = receiver.receive(body, limit).await;
    state.put(receiver);
    received
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
