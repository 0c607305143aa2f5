//! The counted columns of `docs/CAPACITY.md` are what the code sends today.

#[path = "../examples/capacity/slopes.rs"]
mod slopes;

use std::{
    fs,
    path::Path, //
};

use slopes::{
    Cell,
    HEADING,
    rows, //
};

fn line(row: &slopes::Row) -> String {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    let sent = runtime.block_on(async { Cell::start(row.load).await.measure().await });
    row.line(&sent)
}

#[test]
fn the_page_shows_what_one_vm_sends() {
    let table: Vec<String> = rows().iter().map(line).collect();
    let table = format!("{HEADING}\n{}\n", table.join("\n"));
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/CAPACITY.md");

    let page = fs::read_to_string(path).unwrap_or_default();

    assert!(page.contains(&table), "docs/CAPACITY.md lacks:\n{table}");
}
