//! The audit trail in the table service and the object store.

use crate::cell::{
    Cell,
    POLL,
    create_workshop,
    edit,
    give_key,
    start_cell,
    withdraw_key, //
};
use basilbridge::audit::{
    self,
    AUDIT_TABLE,
    EDITS_TABLE,
    KEPT_ENTRIES,
    SEGMENT_ENTRIES, //
};
use basilbridge_common::id::Version;
use basilbridge_operators::{
    audit::{
        Entry,
        Head,
        verify, //
    },
    configuration::Configuration,
};
use basilbridge_platform::{
    Platform,
    table::{
        Put,
        Query,
        Transaction, //
    },
};
use basilbridge_standins::store::FaultSettings;

/// Gives and withdraws one key until the audit trail has `length` entries.
async fn write_entries(cell: &Cell, length: u64) {
    // These tests don't depend on how fast the trail grows, so the store's rate limits are lifted.
    cell.store.set_faults(FaultSettings {
        writes_per_second: u32::MAX,
        reads_per_second: u32::MAX,
        ..FaultSettings::default()
    });
    let vm = &cell.vms[0];
    vm.committer.commit(create_workshop("k")).await.unwrap();
    for number in 2..=length {
        let step = if number % 2 == 0 {
            give_key
        } else {
            withdraw_key
        };
        let edit = edit(&format!("edit-{number}"), vec![step("workshop", "second")]);
        vm.committer.commit(edit).await.unwrap();
    }
}

/// Reads the whole audit trail, page by page, with its head.
async fn read_trail(platform: &Platform) -> (Vec<Entry>, Head) {
    let mut entries: Vec<Entry> = Vec::new();
    loop {
        let after = entries.last().map_or(Version(0), |entry| entry.sequence);
        let page = audit::read_page(platform, after).await.unwrap();
        if page.entries.is_empty() {
            return (entries, page.head);
        }
        entries.extend(page.entries);
    }
}

/// Returns the number of rows of a table, at most 10,000.
async fn count_rows(platform: &Platform, table: &str) -> usize {
    let query = Query {
        table: table.into(),
        prefix: String::new(),
        after: None,
        limit: 10_000,
    };
    platform.tables.scan(query).await.unwrap().len()
}

#[tokio::test(start_paused = true)]
async fn older_audit_entries_move_to_the_object_store_and_stay_complete() {
    let cell = start_cell(1).await;
    let platform = cell.store.platform();
    let length = KEPT_ENTRIES + 2 * SEGMENT_ENTRIES + 7;

    write_entries(&cell, length).await;
    cell.wait(POLL).await;

    let (entries, head) = read_trail(&platform).await;
    assert_eq!(entries.len() as u64, length);
    assert_eq!(verify(&entries, &head), Ok(()));
    assert_eq!(head.first, Version(2 * SEGMENT_ENTRIES + 1));
    let bound = (KEPT_ENTRIES + SEGMENT_ENTRIES) as usize;
    assert!(count_rows(&platform, AUDIT_TABLE).await < bound);
    assert!(count_rows(&platform, EDITS_TABLE).await < bound);
}

#[tokio::test(start_paused = true)]
async fn a_vm_that_lags_behind_the_kept_entries_reads_the_configuration_items() {
    let mut cell = start_cell(1).await;
    let length = KEPT_ENTRIES + SEGMENT_ENTRIES + 1;
    write_entries(&cell, length).await;
    cell.wait(POLL).await;

    cell.add_vm();
    cell.wait(4 * POLL).await;

    assert_eq!(cell.versions(), [Version(length); 2]);
    let (first, second) = (&cell.vms[0], &cell.vms[1]);
    assert_eq!(
        first.configuration.current(),
        second.configuration.current()
    );
}

#[tokio::test(start_paused = true)]
async fn a_row_that_was_altered_or_removed_in_the_table_is_detected() {
    for position in 1..=5 {
        for value in [None, Some(r#""another""#)] {
            let cell = start_cell(1).await;
            let platform = cell.store.platform();
            write_entries(&cell, 5).await;
            let key = format!("{position:020}");
            let row = platform.tables.get(AUDIT_TABLE, &key).await.unwrap();
            let text = row.value.unwrap();
            let transaction = Transaction {
                write_id: "tamper".to_owned(),
                checks: Vec::new(),
                puts: vec![Put {
                    table: AUDIT_TABLE.into(),
                    key,
                    value: value.map(|value| text.replace(r#""test""#, value)),
                }],
            };
            platform.tables.transact(transaction).await.unwrap();

            let (entries, head) = read_trail(&platform).await;

            assert!(verify(&entries, &head).is_err(), "{position} {value:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn the_audit_trail_replayed_from_the_start_gives_the_configuration() {
    let cell = start_cell(2).await;
    write_entries(&cell, 40).await;

    let (entries, _) = read_trail(&cell.store.platform()).await;

    let mut replayed = Configuration::default();
    entries.iter().for_each(|entry| replayed.apply_entry(entry));
    let (stored, _) = audit::load_configuration(&cell.store.platform().tables)
        .await
        .unwrap();
    assert_eq!(replayed, stored);
    assert_eq!(replayed, *cell.vms[0].configuration.current());
}
