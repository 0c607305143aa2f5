//! Removal of the rows of finished jobs.

use basilbridge_cell::sweep;
use basilbridge_common::id::Name;
use basilbridge_platform::table::Put;

/// Jobs a second that finish at the size for which the users plan: 1,900 starts a second, of 12
/// tasks a job.
const JOBS_PER_SECOND: u64 = 160;

/// Entries that a transaction of the store holds at most.
const MAX_ENTRIES: usize = 100;

/// Nine jobs a second were removed, and the rows of more than that stayed for good.
#[test]
fn rows_are_removed_as_fast_as_jobs_finish_and_in_few_writes() {
    let ids: Vec<Name> = (0..sweep::MAX_JOBS as u64)
        .map(|number| format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15)).into())
        .collect();

    let jobs = sweep::job_removals(&ids);
    let progress = sweep::progress_removals(&ids);

    assert!(sweep::MAX_JOBS as u64 >= JOBS_PER_SECOND * sweep::INTERVAL.as_secs());
    assert_eq!(jobs.iter().map(Vec::len).sum::<usize>(), 2 * ids.len());
    assert_eq!(progress.iter().map(Vec::len).sum::<usize>(), ids.len());
    assert!(jobs.iter().all(|puts| puts.len() <= MAX_ENTRIES));
    assert!(progress.iter().all(|puts| puts.len() < MAX_ENTRIES));
    let is_of_one_part = |puts: &Vec<Put>| puts.iter().all(|put| put.table == puts[0].table);
    assert!(jobs.iter().all(is_of_one_part));
    assert!(jobs.len() + progress.len() <= 60, "{}", jobs.len());
}
