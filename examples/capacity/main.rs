//! Measures the slopes that `docs/CAPACITY.md` is made of.
//!
//! `cargo run --release --example capacity` prints the tables that the page holds. Columns of
//! messages and bytes repeat; processor time and memory are those of one run.

mod allocator;
mod slopes;

use std::time::Instant;

use slopes::{
    BASE,
    Load,
    MEASURED,
    Sent, //
};

#[global_allocator]
static ALLOCATOR: allocator::Counting = allocator::Counting;

struct Row {
    varied: &'static str,
    amount: u32,
    load: Load,
}

fn rows() -> Vec<Row> {
    let mut rows = Vec::new();
    let mut add = |varied, amounts: [u32; 3], vary: fn(u32) -> Load| {
        for amount in amounts {
            let load = vary(amount);
            rows.push(Row {
                varied,
                amount,
                load,
            });
        }
    };
    add("workers", [64, 128, 256], |workers| Load {
        workers,
        ..BASE
    });
    add("running", [64, 128, 256], |running| Load {
        running,
        ..BASE
    });
    add("waiting", [1000, 2000, 4000], |waiting| Load {
        waiting,
        ..BASE
    });
    add("jobs a second", [10, 20, 40], |jobs| Load { jobs, ..BASE });
    add("teams", [10, 100, 1000], |teams| Load { teams, ..BASE });
    rows
}

fn main() {
    println!(
        "| varied | amount | writes/s | write B/s | reads/s | read B/s | commands/s | command B/s | heap KiB | CPU ms/s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for row in rows() {
        let heap = allocator::live_bytes();
        let start = Instant::now();
        let (sent, grown) = run(row.load, heap);
        let busy = start.elapsed().as_secs_f64() * 1000.0;
        print(&row, &sent, grown, busy);
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

fn print(row: &Row, sent: &Sent, heap_bytes: usize, busy_millis: f64) {
    let seconds = MEASURED.as_secs_f64();
    let rate = |count: u64| count as f64 / seconds;
    println!(
        "| {} | {} | {:.2} | {:.0} | {:.2} | {:.0} | {:.2} | {:.0} | {} | {:.2} |",
        row.varied,
        row.amount,
        rate(sent.table_writes),
        rate(sent.write_bytes),
        rate(sent.table_reads),
        rate(sent.read_bytes),
        rate(sent.commands),
        rate(sent.command_bytes),
        heap_bytes / 1024,
        busy_millis / seconds,
    );
}
