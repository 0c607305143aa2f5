//! Measures how the resource use of an entry VM grows with the load, for `docs/CAPACITY.md`.
//!
//! `cargo run --release --example capacity` prints the tables of that page. The numbers of messages
//! and bytes are the same in each run; processor time and memory vary between runs.

mod allocator;
mod slopes;

use std::time::Instant;

use slopes::{
    HEADING,
    Load,
    MEASURED,
    Row,
    Traffic,
    rows, //
};

#[global_allocator]
static ALLOCATOR: allocator::CountingAllocator = allocator::CountingAllocator;

fn main() {
    println!("{HEADING}");
    let mut costs = Vec::new();
    for row in rows() {
        let heap = allocator::allocated_bytes();
        let start = Instant::now();
        let (traffic, heap_growth) = run(row.load, heap);
        let busy_millis = start.elapsed().as_secs_f64() * 1000.0;
        println!("{}", row.line(&traffic));
        costs.push((row, heap_growth, busy_millis));
    }
    println!("\n| varied | amount | heap KiB | CPU ms/s |\n|---|---|---|---|");
    for (row, heap_growth, busy_millis) in costs {
        let Row { varied, amount, .. } = row;
        let cpu = busy_millis / MEASURED.as_secs_f64();
        println!(
            "| {varied} | {amount} | {} | {cpu:.2} |",
            heap_growth / 1024
        );
    }
}

/// Runs a cell under `load` and returns its traffic and the growth of the heap since `heap_before`,
/// in bytes.
fn run(load: Load, heap_before: usize) -> (Traffic, usize) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("the runtime can be built");
    runtime.block_on(async {
        let cell = slopes::Cell::start(load).await;
        let traffic = cell.measure().await;
        (
            traffic,
            allocator::allocated_bytes().saturating_sub(heap_before),
        )
    })
}
