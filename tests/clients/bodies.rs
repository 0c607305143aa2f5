//! Clients that send large bodies of legal size.

use bytes::Bytes;

use crate::{
    cell::{
        self,
        Cell,
        Limits, //
    },
    crowd::{
        self,
        Behaviour,
        id, //
    },
};

const LIMITS: Limits = Limits {
    memory_mb: 64,
    max_fds: 1000,
    body_bytes: 128 * 1024,
};

/// Returns a client that sends the head with `length`, and then the parts of its body.
fn sender(id: &str, length: &str, body: &[Bytes]) -> Behaviour {
    let head = cell::head("POST", id, length);
    let mut parts = vec![Bytes::from(head)];
    parts.extend_from_slice(body);
    Behaviour { parts, reads: true }
}

/// Encodes a body in chunks of so many bytes, without the last chunk.
fn chunked(body: &[u8], chunk_bytes: usize) -> Bytes {
    let mut encoded = Vec::new();
    for chunk in body.chunks(chunk_bytes) {
        encoded.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        encoded.extend_from_slice(chunk);
        encoded.extend_from_slice(b"\r\n");
    }
    encoded.into()
}

/// Returns a job of so many steps that is filled up with blanks to the longest legal body.
fn padded_job(steps: usize) -> Bytes {
    let mut job = cell::job(steps).into_bytes();
    job.resize(LIMITS.body_bytes, b' ');
    job.into()
}

/// Checks a crowd of so many clients, each of which submits a job with these tasks.
async fn check_crowd(
    number: u8,
    clients: usize,
    tasks_per_step: &[u32],
    behaviour: impl Fn(&str) -> Behaviour,
) {
    let submit = |cell: &Cell, round: usize| {
        let ids = (0..clients).map(|client| id(round, client));
        let submitted = ids.map(|id| {
            cell.expect_job(&id, tasks_per_step);
            behaviour(&id)
        });
        submitted.collect()
    };
    crowd::check(number, LIMITS, submit).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_stop_short_of_their_end_use_bounded_memory() {
    let body = padded_job(1).slice(..LIMITS.body_bytes - 1);
    let length = format!("content-length: {}", LIMITS.body_bytes);

    check_crowd(1, 400, &[1], |id| {
        sender(id, &length, std::slice::from_ref(&body))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_sent_in_pieces_use_bounded_memory() {
    let body = padded_job(1);
    let pieces: Vec<Bytes> = body[..LIMITS.body_bytes - 1]
        .chunks(4096)
        .map(Bytes::copy_from_slice)
        .collect();
    let length = format!("content-length: {}", LIMITS.body_bytes);

    check_crowd(2, 400, &[1], |id| sender(id, &length, &pieces)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_large_chunks_use_bounded_memory() {
    let body = chunked(&padded_job(1)[..LIMITS.body_bytes - 1], 64 * 1024);

    check_crowd(3, 400, &[1], |id| {
        sender(
            id,
            "transfer-encoding: chunked",
            std::slice::from_ref(&body),
        )
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_chunks_of_one_byte_use_bounded_memory() {
    let body = chunked(&padded_job(1)[..LIMITS.body_bytes - 1], 1);

    check_crowd(4, 120, &[1], |id| {
        sender(
            id,
            "transfer-encoding: chunked",
            std::slice::from_ref(&body),
        )
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_bodies_of_the_longest_legal_length_use_bounded_memory() {
    let body = padded_job(1);
    let length = format!("content-length: {}", LIMITS.body_bytes);

    check_crowd(5, 400, &[1], |id| {
        sender(id, &length, std::slice::from_ref(&body))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_bodies_with_thousands_of_steps_use_bounded_memory() {
    const STEPS: usize = 6000;
    let body = padded_job(STEPS);
    let length = format!("content-length: {}", LIMITS.body_bytes);

    check_crowd(6, 40, &[1; STEPS], |id| {
        sender(id, &length, std::slice::from_ref(&body))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short_bodies_with_thousands_of_tasks_use_bounded_memory() {
    const TASKS: u32 = 20_000;
    let body = cell::job(1).replace(r#""count":1"#, &format!(r#""count":{TASKS}"#));
    let length = format!("content-length: {}", body.len());
    let body = Bytes::from(body);

    check_crowd(9, 60, &[TASKS], |id| {
        sender(id, &length, std::slice::from_ref(&body))
    })
    .await;
}

/// Requests that a client sends in calm are served, whatever a crowd is refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_single_request_of_the_longest_legal_length_is_served() {
    let _alone = crowd::lock().await;
    let limits = Limits {
        memory_mb: 160,
        max_fds: 4100,
        body_bytes: 256 * 1024,
    };
    let mut cell = Cell::start(7, limits).await;
    let meter = cell.measure();
    let mut padded = cell::job(1).into_bytes();
    padded.resize(limits.body_bytes, b' ');
    let length = format!("content-length: {}", limits.body_bytes);
    let pieces: Vec<Bytes> = padded.chunks(4096).map(Bytes::copy_from_slice).collect();
    let in_chunks = |bytes: usize| [&chunked(&padded, bytes)[..], b"0\r\n\r\n"].concat().into();
    let requests = [
        (length.as_str(), vec![Bytes::from(padded.clone())]),
        (length.as_str(), pieces),
        ("transfer-encoding: chunked", vec![in_chunks(64 * 1024)]),
        ("transfer-encoding: chunked", vec![in_chunks(1)]),
    ];

    for (number, (length, body)) in requests.iter().enumerate() {
        let id = id(0, number);
        cell.expect_job(&id, &[1]);
        let sent = sender(&id, length, body);
        assert_eq!(
            cell.send(&sent.parts).await,
            Some(200),
            "{length}, {number}"
        );
        cell.wait_completed(&id).await;
    }

    cell.check(meter.stop());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_single_job_of_as_many_steps_as_a_body_can_hold_is_served() {
    const STEPS: usize = 13_000;
    let _alone = crowd::lock().await;
    let limits = Limits {
        memory_mb: 160,
        max_fds: 4100,
        body_bytes: 256 * 1024,
    };
    let mut cell = Cell::start(8, limits).await;
    let meter = cell.measure();
    cell.expect_job("0000000000000001", &[1; STEPS]);

    cell.run_job("0000000000000001", &cell::job(STEPS)).await;
    cell.run_ordinary_job("0000000000000002").await;

    cell.check(meter.stop());
}
