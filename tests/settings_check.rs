//! Faults of the settings are all told at once, with the flag, the value and what is allowed.

use std::time::Duration;

use basilbridge::config::NodeConfig;
use basilbridge_cell::config::NodeConfig as CellConfig;

#[test]
fn the_settings_of_a_local_vm_can_be_used() {
    assert_eq!(NodeConfig::local("entry-0", "local").check(), Ok(()));
}

#[test]
fn every_fault_is_told_at_once() {
    let mut config = NodeConfig::local("", "a-b");
    config.racks_per_shard = 0;
    config.default_wait = Duration::ZERO;

    let faults = config.check().unwrap_err().settings;

    let flags: Vec<_> = faults.iter().map(|fault| fault.flag).collect();
    let expected = [
        "--name",
        "--data-centre",
        "--racks-per-shard",
        "--default-wait",
    ];
    assert_eq!(flags, expected);
}

#[test]
fn a_session_lease_too_short_for_its_polls_is_a_contradiction() {
    let mut config = NodeConfig::local("entry-0", "local");
    config.session_lease = Duration::from_secs(1);
    config.poll_interval = Duration::from_millis(400);

    let faults = config.check().unwrap_err().settings;

    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].value, "1s");
    assert!(
        faults[0].allowed.contains("1s 200ms"),
        "{}",
        faults[0].allowed
    );
}

#[test]
fn a_task_lease_no_longer_than_the_session_lease_is_a_contradiction() {
    let mut config = NodeConfig::local("entry-0", "local");
    config.task_lease = config.session_lease;

    let faults = config.check().unwrap_err().settings;

    assert_eq!(faults[0].flag, "--task-lease");
}

#[test]
fn two_interfaces_on_one_address_are_a_contradiction() {
    let mut config = NodeConfig::local("entry-0", "local");
    config.callers = "127.0.0.1:7400".parse().unwrap();
    config.peers = config.callers;

    let faults = config.check().unwrap_err().settings;

    assert_eq!(faults[0].flag, "--callers, --operators, --peers");
}

/// Returns the settings of an entry VM of a cell with this half-life of past use.
fn cell_config(usage_half_life: Duration) -> CellConfig {
    let address = |port: u16| ([127, 0, 0, 1], port).into();
    CellConfig {
        name: "entry-0".into(),
        data_centre: "local".into(),
        callers: address(7400),
        ready: address(7401),
        peers: address(7402),
        metrics: None,
        max_lease: Duration::from_secs(6),
        capacity: None,
        retention: Duration::from_secs(120),
        drain_limit: Duration::from_secs(6),
        cpu_millis: 0,
        link_bytes_per_second: 0,
        evacuation_limit: None,
        memory_bytes: 0,
        max_descriptors: 0,
        row_bytes: CellConfig::DEFAULT_ROW_BYTES,
        usage_half_life,
    }
}

/// A half-life of seconds would order waiting work by current usage a second time.
#[test]
fn a_half_life_of_past_use_is_off_or_between_a_minute_and_a_month() {
    let month = 30 * 24 * 3600;
    let half_lives = [0, 1, 59, 60, 4 * 3600, month, month + 1].map(Duration::from_secs);
    let of_cell = |half_life| cell_config(half_life).check().is_ok();
    let of_daemon = |half_life| {
        let mut config = NodeConfig::local("entry-0", "local");
        config.usage_half_life = half_life;
        let faults = config.check().err().map(|invalid| invalid.settings);
        faults.is_none_or(|faults| faults.iter().all(|fault| fault.flag != "--usage-half-life"))
    };

    let (cell, daemon) = (half_lives.map(of_cell), half_lives.map(of_daemon));

    assert_eq!(cell, [true, false, false, true, true, true, false]);
    assert_eq!(daemon, cell);
}
