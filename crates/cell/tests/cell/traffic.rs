//! Bytes that a VM exchanges with the platform, by kind of message.

use std::time::Duration;

use basilbridge_cell::traffic::{
    self,
    Bytes,
    Message,
    Traffic, //
};

#[test]
fn the_use_of_a_link_is_told_by_kind_and_in_the_busier_direction() {
    let traffic = Traffic::default();
    let before = traffic.totals();
    traffic.add(
        Message::Start,
        Bytes {
            sent: 100_000,
            received: 10_000,
        },
    );
    traffic.add(
        Message::Poll,
        Bytes {
            sent: 25_000,
            received: 50_000,
        },
    );

    let usage = traffic::usage(&before, &traffic.totals(), Duration::from_secs(1), 250_000);

    assert_eq!(usage.rates, "poll=25.0/50.0 start=100.0/10.0");
    assert_eq!(usage.percent, Some(50));
}

#[test]
fn clones_share_the_counters_and_metrics_name_all_kinds() {
    let traffic = Traffic::default();

    traffic.clone().add(
        Message::Write,
        Bytes {
            sent: 7,
            received: 3,
        },
    );

    let text = traffic.text();
    assert!(text.contains("basilbridge_bytes_sent{kind=\"write\"} 7"));
    for kind in Message::ALL {
        assert!(text.contains(kind.name()));
    }
}
