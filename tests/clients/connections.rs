//! Clients that hold connections rather than bodies.

use std::fmt::Write;

use bytes::Bytes;

use crate::{
    cell::{
        self,
        Limits, //
    },
    crowd::{
        self,
        Behaviour, //
    },
};

const LIMITS: Limits = Limits {
    memory_mb: 64,
    max_fds: 400,
    body_bytes: 128 * 1024,
};

/// Checks a crowd of so many clients that all do the same.
async fn check_crowd(number: u8, limits: Limits, clients: usize, behaviour: &Behaviour) {
    crowd::check(number, limits, |_, _| vec![behaviour.clone(); clients]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_without_a_byte_leave_descriptors_for_others() {
    let silent = Behaviour {
        parts: Vec::new(),
        reads: true,
    };

    check_crowd(20, LIMITS, 800, &silent).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_whose_body_never_comes_leave_descriptors_for_others() {
    let head = cell::head("POST", "0000000000000001", "content-length: 100");
    let waiting = Behaviour {
        parts: vec![head.into()],
        reads: true,
    };

    check_crowd(21, LIMITS, 800, &waiting).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_that_stop_short_of_their_end_use_bounded_memory() {
    let mut head = cell::head("GET", "0000000000000001", "content-length: 0");
    head.truncate(head.len() - 4);
    while head.len() < 70_000 {
        let _ = write!(head, "\r\nx-{}: {}", head.len(), "x".repeat(1000));
    }
    let slow = Behaviour {
        parts: vec![head.into()],
        reads: true,
    };
    let limits = Limits {
        max_fds: 2000,
        ..LIMITS
    };

    check_crowd(22, limits, 800, &slow).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_that_are_not_read_use_bounded_memory() {
    // The id of a request is part of its answer.
    let id = format!("x-request-id: {}", "x".repeat(8000));
    let request = cell::head("GET", "", &id).replace("connection: close\r\n", "");
    let request = Bytes::from(request);
    let deaf = Behaviour {
        parts: vec![request; 100],
        reads: false,
    };
    let limits = Limits {
        max_fds: 2000,
        ..LIMITS
    };

    check_crowd(23, limits, 300, &deaf).await;
}
