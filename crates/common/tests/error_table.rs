//! Tests of the table of error kinds against the page that documents it.

use std::{
    collections::HashSet,
    fmt::Write,
    fs,
    path::Path,
    time::Duration, //
};

use basilbridge_common::error::{
    Error,
    Kind,
    Ran, //
};

fn render_table() -> String {
    let mut table =
        String::from("| kind | HTTP | gRPC | exit | ran | retry |\n|---|---|---|---|---|---|\n");
    for kind in Kind::ALL {
        let properties = kind.properties();
        let ran = match properties.ran {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        };
        let retry = if properties.retryable { "yes" } else { "no" };
        let (status, code, exit) = (
            properties.http_status,
            properties.grpc_code,
            properties.exit_code,
        );
        let row = format!("| `{kind}` | {status} | {code} | {exit} | {ran} | {retry} |");
        writeln!(table, "{row}").unwrap();
    }
    table
}

#[test]
fn the_page_contains_the_table_of_error_kinds() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/ERRORS.md");

    let page = fs::read_to_string(path).unwrap();

    let table = render_table();
    assert!(
        page.contains(&table),
        "docs/ERRORS.md does not contain:\n{table}"
    );
}

#[test]
fn each_kind_has_an_exit_code_of_its_own_outside_those_of_shells_and_clap() {
    let codes: HashSet<u8> = Kind::ALL
        .iter()
        .map(|kind| kind.properties().exit_code)
        .collect();

    assert_eq!(codes.len(), Kind::ALL.len());
    assert!(codes.iter().all(|code| (64..126).contains(code)));
}

#[test]
fn only_requests_that_did_not_run_may_be_sent_again() {
    let wrong: Vec<_> = Kind::ALL
        .iter()
        .filter(|kind| kind.properties().retryable && kind.properties().ran != Ran::No)
        .collect();

    assert_eq!(wrong, Vec::<&Kind>::new());
}

#[test]
fn each_kind_of_error_survives_a_json_round_trip() {
    for kind in Kind::ALL {
        let error = Error::new(*kind, "why").with_retry_after(Duration::from_millis(1500));

        let text = serde_json::to_string(&error).unwrap();

        assert_eq!(serde_json::from_str::<Error>(&text).unwrap(), error);
    }
}
