//! Who gives way, under the load of clients that stop short of the end of what they send.

use basilbridge_common::unit::Millis;
use basilbridge_server::{
    eviction::{
        Upload,
        Wait,
        choose_connection,
        choose_upload, //
    },
    memory::Budget,
    share::Share,
};

fn upload(bytes: usize, progressed_at: u64) -> Upload {
    Upload {
        bytes,
        progressed_at: Millis(progressed_at),
    }
}

#[test]
fn a_small_request_outlives_large_ones_that_have_stopped() {
    let crowd = (0..1000).map(|number| (number, upload(65_536, 100 + number)));
    let newcomer = (2000, upload(512, 0));

    let chosen = choose_upload(crowd.chain([newcomer]));

    assert_eq!(chosen, Some(0), "the one that has stopped first");
}

#[test]
fn a_large_request_that_arrives_outlives_those_that_have_stopped() {
    let crowd = (0..1000).map(|number| (number, upload(65_536, 100)));
    let arriving = (2000, upload(200_000, 5000));

    let chosen = choose_upload([arriving].into_iter().chain(crowd));

    assert_ne!(chosen, Some(2000));
}

#[test]
fn no_request_is_evicted_that_holds_nothing() {
    let crowd = (0..1000).map(|number| (number, upload(0, number)));

    assert_eq!(choose_upload(crowd), None);
}

#[test]
fn connections_without_a_request_go_before_those_of_served_clients() {
    let served = (0, Wait::NextRequest, Millis(0));
    let slow = (1, Wait::Progress, Millis(10));
    let silent = [2, 3].map(|key| (key, Wait::FirstRequest, Millis(18 + key)));

    let chosen = choose_connection([served, slow].into_iter().chain(silent), Millis(5000));

    assert_eq!(chosen, Some(2), "the silent one that came first");
}

#[test]
fn a_client_that_was_just_served_keeps_its_connection() {
    let served = [(0, 4500), (1, 3900)].map(|(key, at)| (key, Wait::NextRequest, Millis(at)));

    let chosen = choose_connection(served.into_iter(), Millis(5000));
    let among_fresh = choose_connection(served.into_iter().take(1), Millis(5000));

    assert_eq!((chosen, among_fresh), (Some(1), None));
}

#[test]
fn large_requests_leave_memory_for_small_ones() {
    let budget = Budget::new(2_000_000);
    let held: Vec<_> = (0..100)
        .filter_map(|_| budget.hold(100_000, 0).ok())
        .collect();

    let large = budget.hold(100_000, 0);
    let small = budget.hold(1000, 0);
    drop(held);
    let after = budget.hold(100_000, 0);

    assert!(large.is_err());
    assert!(small.is_ok());
    assert!(after.is_ok(), "what was held is free again");
}

#[test]
fn a_request_that_is_alone_is_not_refused_whatever_its_size() {
    let budget = Budget::new(2_000_000);
    let body = budget.hold(200_000, 0).unwrap();

    let decoded = budget.hold(10_000_000, 200_000);

    assert!(decoded.is_ok());
    drop(body);
}

#[test]
fn the_smallest_vm_takes_the_largest_legal_request_and_keeps_descriptors() {
    let share = Share::of(160_000_000, 4100);

    assert!(share.request_bytes / 2 > 16 * 1024 * 1024);
    assert!(share.connections >= 600);
    assert!(share.connections <= (4100 - 200) / 2);
}
