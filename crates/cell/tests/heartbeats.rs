//! Heartbeats and the rows that are written with them fit into rows of the store.

use std::time::Duration;

use basilbridge_cell::{
    heartbeat::Heartbeat,
    packing, //
};
use basilbridge_common::{
    id::Name,
    unit::{
        Millis,
        Resources, //
    },
};
use basilbridge_workflow::sharing::past::Ledger;

const ROW_BYTES: usize = 48 * 1024;

/// A heartbeat in which so many queues with names that look random have jobs which wait.
fn heartbeat(queues: u64) -> Heartbeat {
    let queue = |number: u64| -> (Name, u64) {
        let name = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (format!("queue-{name:016x}").into(), number)
    };
    Heartbeat {
        sequence: 7,
        unstarted: Some((1..=queues).map(queue).collect()),
        outlook: None,
    }
}

fn decode(value: &str) -> Heartbeat {
    let text = packing::unpack(value).expect("it was just packed");
    serde_json::from_str(&text).expect("it is a heartbeat")
}

/// The store would refuse the row each time, and a sound owner would be replaced.
#[test]
fn a_heartbeat_about_thousands_of_queues_fits_into_a_row() {
    let all = heartbeat(2500);
    let plain = serde_json::to_string(&all).expect("it is JSON");

    let value = all.clone().encode(ROW_BYTES).expect("it can be encoded");

    assert!(plain.len() > ROW_BYTES, "{}", plain.len());
    assert!(value.len() <= ROW_BYTES, "{}", value.len());
    assert_eq!(decode(&value), all);
}

#[test]
fn a_heartbeat_that_is_too_large_leaves_out_the_queues() {
    let value = heartbeat(20_000)
        .encode(ROW_BYTES)
        .expect("it can be encoded");

    assert!(value.len() <= ROW_BYTES, "{}", value.len());
    let expected = Heartbeat {
        sequence: 7,
        ..Heartbeat::default()
    };
    assert_eq!(decode(&value), expected);
}

/// The past use of teams is written with every tenth heartbeat. Its bound was a row before base64.
#[test]
fn the_past_use_of_the_most_teams_fits_into_a_row() {
    let start = Millis(0);
    let half_life = Duration::from_secs(4 * 3600);
    let mut ledger = Ledger::new(half_life);
    for number in 1..=3000_u64 {
        let team: Name = format!("team-{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15)).into();
        let demand = Resources {
            cpu_millis: number * 7919,
            memory_mib: number * 104_729,
            accelerators: 0,
        };
        ledger.start(&team, &demand, start);
    }
    let record = ledger.record(&Resources::default(), start.after(half_life));

    let value = packing::encode(&record, ROW_BYTES).expect("it fits");

    let plain = serde_json::to_string(&record).expect("it is JSON");
    assert!(plain.len() > ROW_BYTES, "{}", plain.len());
    assert!(value.len() <= ROW_BYTES, "{}", value.len());
}
