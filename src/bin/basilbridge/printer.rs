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
use basilbridge_operators::data_centre::DataCentre;
use serde::{
    Serialize,
    Serializer, //
};

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

/// The workers that a VM knows of, with the evacuated data centres.
pub(crate) struct Workers {
    pub(crate) workers: Vec<Worker>,
    pub(crate) evacuated: Vec<DataCentre>,
}

/// A worker in a JSON document.
#[derive(Serialize)]
struct WorkerEntry<'a> {
    #[serde(flatten)]
    worker: &'a Worker,
    evacuated: bool,
}

impl Workers {
    fn is_evacuated(&self, worker: &Worker) -> bool {
        let mut evacuated = self.evacuated.iter();
        evacuated.any(|data_centre| data_centre.name == worker.data_centre)
    }
}

impl Serialize for Workers {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        serializer.collect_seq(self.workers.iter().map(|worker| WorkerEntry {
            worker,
            evacuated: self.is_evacuated(worker),
        }))
    }
}

/// Formats workers as a table, followed by a line for each evacuated data centre.
pub(crate) fn format_workers(listed: &Workers) -> String {
    let rows = listed.workers.iter().map(|worker| {
        let status = match (worker.leaving, listed.is_evacuated(worker)) {
            (true, true) => "leaving, evacuated",
            (true, false) => "leaving",
            (false, true) => "evacuated",
            (false, false) => "",
        };
        [
            worker.name.to_string(),
            worker.data_centre.to_string(),
            worker.rack.to_string(),
            format_resources(&worker.capacity),
            worker.slots.to_string(),
            status.to_owned(),
        ]
    });
    let mut text = format_table(
        ["WORKER", "DATA CENTRE", "RACK", "CAPACITY", "SLOTS", ""],
        rows,
    );
    for data_centre in &listed.evacuated {
        let (name, tasks) = (&data_centre.name, format_tasks(data_centre));
        let _ = writeln!(text, "data centre {name}: evacuated, {tasks}");
    }
    text
}

/// Formats the number of tasks in a data centre.
pub(crate) fn format_tasks(data_centre: &DataCentre) -> String {
    let DataCentre {
        running, queued, ..
    } = data_centre;
    match data_centre.workers {
        0 => "no worker is listed there".to_owned(),
        _ => format!("{running} tasks run there, {queued} wait there"),
    }
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
