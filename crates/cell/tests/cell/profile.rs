//! Where the processor time of a VM goes.

use std::time::Duration;

use basilbridge_cell::{
    profile::{
        self,
        Part,
        Profile, //
    },
    report, //
};
use basilbridge_workflow::load::{
    Load,
    Waiting, //
};

#[test]
fn the_use_of_the_processor_is_told_by_part() {
    let profile = Profile::default();
    let before = profile.totals();
    for _ in 0..50 {
        profile.add(Part::Pass, Duration::from_millis(4));
    }
    profile
        .clone()
        .add(Part::Poll, Duration::from_micros(12_500));

    let usage = profile::usage(&before, &profile.totals(), Duration::from_secs(1));

    assert_eq!(usage.parts, "pass=20.0/50 poll=1.2/1");
    assert!(
        profile
            .text()
            .contains("basilbridge_work_seconds{part=\"pass\"} 0.200")
    );
}

#[tokio::test]
async fn each_turn_of_a_measured_task_counts_and_its_waits_do_not() {
    let profile = Profile::default();

    profile
        .measure(Part::Order, async {
            tokio::task::yield_now().await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        })
        .await;

    let order = profile.totals().parts[Part::Order as usize];
    assert_eq!(order.turns, 3);
    assert!(order.time < Duration::from_millis(20));
}

#[test]
fn the_longest_delay_of_a_pass_is_told_once() {
    let profile = Profile::default();
    profile.record_lateness(Duration::from_millis(70));
    profile.record_lateness(Duration::from_millis(5));

    assert_eq!(profile.take_lateness(), Duration::from_millis(70));
    assert_eq!(profile.take_lateness(), Duration::ZERO);
}

#[test]
fn what_waits_is_told_by_queue() {
    let waiting = Waiting {
        stages: 292,
        begun: 31,
        late: 206,
        tasks: 3147,
        longest: Duration::from_millis(6599),
    };
    let load = Load {
        queues: [("checks".into(), waiting)].into(),
        ..Load::default()
    };

    assert_eq!(report::waiting(&load), "checks:292/31/206/3147@6599");
}
