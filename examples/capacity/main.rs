//! Measures the slopes that `docs/CAPACITY.md` is made of.
//!
//! `cargo run --release --example capacity` prints the tables that the page holds. Columns of
//! messages and bytes repeat; processor time and memory are those of one run.

mod allocator;
mod slopes;

use std::time::Instant;

use slopes::{
    HEADING,
    Load,
    MEASURED,
    Row,
    Sent,
    rows, //
};

#[global_allocator]
static ALLOCATOR: allocator::Counting = allocator::Counting;

fn main() {
    println!("{HEADING}");
    let mut costs = Vec::new();
    for row in rows() {
        let heap = allocator::live_bytes();
        let start = Instant::now();
        let (sent, grown) = run(row.load, heap);
        let busy_millis = start.elapsed().as_secs_f64() * 1000.0;
        println!("{}", row.line(&sent));
        costs.push((row, grown, busy_millis));
    }
    println!("\n| varied | amount | heap KiB | CPU ms/s |\n|---|---|---|---|");
    for (row, grown, busy_millis) in costs {
        let Row { varied, amount, .. } = row;
        let cpu = busy_millis / MEASURED.as_secs_f64();
        println!("| {varied} | {amount} | {} | {cpu:.2} |", grown / 1024);
    }
}

/// Runs a cell and returns what it sent, and by how many bytes the heap had grown at its end.
fn run(load: Load, heap_before: usize) -> (Sent, usize) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime can be built");
    runtime.block_on(async {
        let cell = slopes::Cell::start(load).await;
        let sent = cell.measure().await;
        (sent, allocator::live_bytes().saturating_sub(heap_before))
    })
}
