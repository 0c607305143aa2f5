//! Prints results as tables or as JSON documents.

use std::fmt::Write;

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    job::Status,
    unit::Resources,
    worker::Worker,
};
use serde::Serialize;

const MIB_BYTES: u64 = 1024 * 1024;

/// Prints a value as a JSON document or as formatted by `table`.
pub(crate) fn print<T: Serialize + ?Sized>(
    value: &T,
    json: bool,
    table: fn(&T) -> String,
) -> Result<()> {
    if !json {
        print!("{}", table(value));
        return Ok(());
    }
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
    println!("{text}");
    Ok(())
}

/// Formats a job: its state on one line, then the output of each finished task.
pub(crate) fn format_status(status: &Status) -> String {
    let mut text = format!("{}  {}  team {}\n", status.id, status.state, status.team);
    if let Some(error) = &status.error {
        let _ = writeln!(text, "  {error}");
    }
    let mut outputs: Vec<_> = status.outputs.iter().collect();
    outputs.sort_by_key(|output| output.index);
    for output in outputs {
        let _ = writeln!(text, "  task {}: {}", output.index, output.text);
    }
    text
}

/// Formats workers as a table.
pub(crate) fn format_workers(workers: &[Worker]) -> String {
    let rows = workers.iter().map(|worker| {
        [
            worker.name.to_string(),
            worker.data_centre.to_string(),
            worker.rack.to_string(),
            format_resources(&worker.capacity),
            worker.slots.to_string(),
            if worker.leaving { "leaving" } else { "" }.to_owned(),
        ]
    });
    format_table(
        ["WORKER", "DATA CENTRE", "RACK", "CAPACITY", "SLOTS", ""],
        rows,
    )
}

/// Formats resources in cores, bytes and accelerators.
pub(crate) fn format_resources(resources: &Resources) -> String {
    let cores = resources.cpu_millis as f64 / 1000.0;
    let memory = bytesize::ByteSize::b(resources.memory_mib.saturating_mul(MIB_BYTES));
    match resources.accelerators {
        0 => format!("{cores} cores, {memory}"),
        count => format!("{cores} cores, {memory}, {count} acc"),
    }
}

/// Formats rows as a table with aligned columns.
pub(crate) fn format_table<const N: usize>(
    headings: [&str; N],
    rows: impl IntoIterator<Item = [String; N]>,
) -> String {
    let mut lines = vec![headings.map(str::to_owned)];
    lines.extend(rows);
    let widths: Vec<usize> = (0..N)
        .map(|column| {
            let lengths = lines.iter().map(|line| line[column].chars().count());
            lengths.max().unwrap_or(0)
        })
        .collect();
    let mut text = String::new();
    for line in &lines {
        let cells: Vec<_> = line
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        let _ = writeln!(text, "{}", cells.join("  ").trim_end());
    }
    text
}
