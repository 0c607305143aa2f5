//! Conversions between the types of this project and the generated ones.

use std::time::Duration;

use basilbridge_common::{
    call,
    error::{
        Error,
        Kind,
        Result, //
    },
    job::Status,
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::{
    cell::Forwarded,
    generated::{
        Call,
        ClientReply,
        Reply,
        call::Verb,
        client_reply,
        reply::Outcome, //
    },
};

pub(crate) fn call_to_wire(call: &call::Call) -> Result<Call> {
    let verb = match &call.verb {
        call::Verb::Submit(_, request) => Verb::Submit(to_json(request)?),
        call::Verb::Status(job) => Verb::Status(job.to_string()),
        call::Verb::Wait(job) => Verb::Wait(job.to_string()),
        call::Verb::Cancel(job) => Verb::Cancel(job.to_string()),
    };
    Ok(Call {
        request_id: call.request_id.to_string(),
        shard: call.verb.shard().to_string(),
        team: call.team.to_string(),
        remaining_ms: call.remaining.as_millis() as u64,
        verb: Some(verb),
    })
}

pub(crate) fn call_from_wire(call: Call) -> Result<call::Call> {
    let verb = match call.verb {
        Some(Verb::Submit(request)) => {
            call::Verb::Submit(parse(&call.shard)?, Box::new(from_json(&request)?))
        }
        Some(Verb::Status(job)) => call::Verb::Status(parse(&job)?),
        Some(Verb::Wait(job)) => call::Verb::Wait(parse(&job)?),
        Some(Verb::Cancel(job)) => call::Verb::Cancel(parse(&job)?),
        None => return Err(Error::new(Kind::Malformed, "the call has no verb")),
    };
    Ok(call::Call {
        request_id: call.request_id.into(),
        team: call.team.into(),
        remaining: Duration::from_millis(call.remaining_ms),
        verb,
    })
}

pub(crate) fn reply_to_wire(result: &Result<Status>) -> Result<Reply> {
    let outcome = match result {
        Ok(status) => Outcome::Status(to_json(status)?),
        Err(error) => Outcome::Error(to_json(error)?),
    };
    Ok(Reply {
        outcome: Some(outcome),
    })
}

pub(crate) fn reply_from_wire(reply: Reply) -> Result<Status> {
    match reply.outcome {
        Some(Outcome::Status(status)) => from_json(&status),
        Some(Outcome::Error(error)) => Err(from_json(&error)?),
        None => Err(Error::new(Kind::Truncated, "the reply has no outcome")),
    }
}

pub(crate) fn client_reply_to_wire(forwarded: &Forwarded) -> Result<ClientReply> {
    let outcome = match &forwarded.result {
        Ok(value) => client_reply::Outcome::Value(to_json(value)?),
        Err(error) => client_reply::Outcome::Error(to_json(error)?),
    };
    Ok(ClientReply {
        outcome: Some(outcome),
        configuration: forwarded.configuration,
    })
}

pub(crate) fn client_reply_from_wire(reply: ClientReply) -> Forwarded {
    let result = match reply.outcome {
        Some(client_reply::Outcome::Value(value)) => from_json(&value),
        Some(client_reply::Outcome::Error(error)) => from_json(&error).and_then(Err),
        None => Err(Error::new(Kind::Truncated, "the reply has no outcome")),
    };
    Forwarded {
        result,
        configuration: reply.configuration,
    }
}

/// Parses an identifier that a peer sent.
fn parse<T: std::str::FromStr<Err: std::fmt::Display>>(text: &str) -> Result<T> {
    text.parse()
        .map_err(|error| Error::new(Kind::Malformed, format!("{error}")))
}

/// Serialises a value as JSON.
fn to_json<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    serde_json::to_vec(value).map_err(|error| Error::new(Kind::Internal, error.to_string()))
}

/// Parses a JSON document that a peer sent.
fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|error| Error::new(Kind::Truncated, error.to_string()))
}
