//! Jobs of thousands of tasks: the owner does not spend itself on one of them.

use basilbridge_workflow::budget::Budget;

#[test]
fn a_small_owner_sends_some_hundred_starts_at_once() {
    const START_BYTES: usize = 450;
    let quarter_of_a_core = Budget {
        link_bytes_per_second: 125_000_000,
        cpu_millis: 250,
    };

    let starts = quarter_of_a_core.start_window() / START_BYTES;

    assert!((200..1000).contains(&starts), "{starts}");
}
