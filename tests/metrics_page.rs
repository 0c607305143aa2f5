//! The metrics and the page that lists them.

use std::{
    fmt::Write,
    fs,
    path::Path,
    time::Duration, //
};

use basilbridge::metrics::{
    self,
    Metrics, //
};
use basilbridge_common::{
    error::Kind as ErrorKind,
    job::Kind, //
};
use cadence::SpyMetricSink;

#[test]
fn the_page_lists_the_metrics_of_the_code() {
    let mut table = String::from("| name | type | meaning |\n|---|---|---|\n");
    for metric in metrics::ALL {
        writeln!(
            table,
            "| `{}` | {} | {} |",
            metric.name, metric.statsd_type, metric.meaning
        )
        .unwrap();
    }
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/METRICS.md");

    let page = fs::read_to_string(path).unwrap();

    assert!(page.contains(&table), "docs/METRICS.md lacks:\n{table}");
}

#[test]
fn a_refusal_is_counted_under_its_kind_and_a_start_under_its_kind_of_work() {
    let (received, sink) = SpyMetricSink::new();
    let metrics = Metrics::with_sink(sink);

    metrics.record_answer(Duration::from_millis(3), Some(ErrorKind::Overloaded));
    metrics.record_start(Kind::Gang, Duration::from_millis(40));

    let lines: Vec<_> = received
        .try_iter()
        .map(|bytes| String::from_utf8(bytes).unwrap())
        .collect();
    let expected = [
        "basilbridge.request.time:3|ms",
        "basilbridge.request.refused:1|c|#kind:overloaded",
        "basilbridge.task.waiting:40|ms|#kind:gang",
    ];
    assert_eq!(lines, expected);
}
