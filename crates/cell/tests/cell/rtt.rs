//! The timeout of calls, from the time that recent calls took.

use std::time::Duration;

use basilbridge_cell::rtt::Estimator;

const MIN: Duration = Duration::from_millis(250);
const MAX: Duration = Duration::from_millis(2000);

fn after(calls: u32, mut time: impl FnMut(u32, Duration) -> Duration) -> Duration {
    let mut estimator = Estimator::new(MIN, MAX);
    for call in 0..calls {
        estimator.record(time(call, estimator.timeout()));
    }
    estimator.timeout()
}

#[test]
fn a_minority_of_endpoints_that_never_answer_does_not_raise_the_timeout() {
    let timeout = after(1000, |call, timeout| {
        if call % 3 == 0 {
            timeout
        } else {
            Duration::from_millis(3)
        }
    });

    // One call raises the timeout by a twentieth, and the next one takes that back.
    assert!(timeout < MIN + MIN / 10, "{timeout:?}");
}

#[test]
fn the_timeout_outgrows_the_delay_of_a_link_that_has_become_slow() {
    let delay = Duration::from_millis(600);

    let timeout = after(200, |_, timeout| delay.min(timeout));

    assert!(timeout > delay, "{timeout:?}");
}

#[test]
fn the_timeout_falls_again_once_the_link_is_fast() {
    let timeout = after(600, |call, timeout| {
        if call < 200 {
            timeout
        } else {
            Duration::from_millis(3)
        }
    });

    assert_eq!(timeout, MIN);
}
