//! The daemon's flags and the page that lists them.

#[path = "../src/bin/basilbridged/clap_app.rs"]
mod clap_app;

use std::{
    fmt::Write,
    fs,
    path::Path, //
};

use clap::{
    Arg,
    CommandFactory, //
};

use clap_app::Arguments;

fn row(argument: &Arg) -> Option<String> {
    let flag = argument.get_long()?;
    let variable = argument
        .get_env()
        .map(|name| format!("`{}`", name.to_string_lossy()));
    let default = argument
        .get_default_values()
        .first()
        .filter(|_| argument.get_action().takes_values())
        .map(|value| format!("`{}`", value.to_string_lossy()));
    let help = argument.get_help()?.to_string();
    Some(format!(
        "| `--{flag}` | {} | {} | {help}. |",
        variable.unwrap_or_default(),
        default.unwrap_or_default()
    ))
}

#[test]
fn the_page_lists_every_flag_with_its_variable_and_default() {
    let mut table = String::from("| flag | variable | default | meaning |\n|---|---|---|---|\n");
    let command = Arguments::command();
    for row in command.get_arguments().filter_map(row) {
        writeln!(table, "{row}").unwrap();
    }
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/operators/settings.md");

    let page = fs::read_to_string(path).unwrap();

    assert!(
        page.contains(&table),
        "docs/operators/settings.md lacks:\n{table}"
    );
}
