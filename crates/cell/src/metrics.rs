//! Counters and latency histograms, served as text.
//!
//! `docs/OPERATIONS.md` lists them.

use std::{
    collections::BTreeMap,
    fmt::Write,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use gotham::{
    helpers::http::response::create_response,
    middleware::state::StateMiddleware,
    pipeline::{
        new_pipeline,
        single_pipeline, //
    },
    prelude::*,
    router::{
        Router,
        build_router, //
    },
    state::State,
};
use hdrhistogram::Histogram;
use http::StatusCode;
use std::sync::Arc;

use crate::{
    profile::Profile,
    traffic::Traffic, //
};

/// The largest value that a histogram records, in microseconds; longer times count as this one.
const MAX_MICROS: u64 = 60_000_000;

/// The quantiles served for each histogram.
const QUANTILES: [f64; 3] = [0.5, 0.9, 0.99];

#[derive(Debug, Default)]
struct Inner {
    counters: BTreeMap<&'static str, u64>,
    gauges: BTreeMap<&'static str, u64>,
    times: BTreeMap<&'static str, Histogram<u64>>,
}

/// The metrics of a process; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Metrics {
    inner: Arc<Mutex<Inner>>,
}

impl Metrics {
    /// Increments the counter `name`.
    pub fn count(&self, name: &'static str) {
        *self.lock().counters.entry(name).or_default() += 1;
    }

    /// Sets the gauge `name`.
    pub fn gauge(&self, name: &'static str, value: u64) {
        self.lock().gauges.insert(name, value);
    }

    /// Records a duration in the histogram `name`.
    pub fn time(&self, name: &'static str, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS);
        let mut inner = self.lock();
        if let Some(histogram) = inner.times.get_mut(name) {
            histogram.saturating_record(micros);
        } else if let Ok(mut histogram) = Histogram::new_with_bounds(1, MAX_MICROS, 1) {
            histogram.saturating_record(micros);
            inner.times.insert(name, histogram);
        }
    }

    /// Returns all metrics as text, one per line, with times in seconds.
    pub fn text(&self) -> String {
        let inner = self.lock();
        let mut text = String::new();
        // Writing to a string does not fail.
        for (name, value) in inner.counters.iter().chain(&inner.gauges) {
            let _ = writeln!(text, "basilbridge_{name} {value}");
        }
        for (name, times) in &inner.times {
            for quantile in QUANTILES {
                let seconds = times.value_at_quantile(quantile) as f64 / 1e6;
                let _ = writeln!(
                    text,
                    "basilbridge_{name}_seconds{{quantile=\"{quantile}\"}} {seconds}"
                );
            }
            let _ = writeln!(text, "basilbridge_{name}_seconds_count {}", times.len());
        }
        text
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the metrics address serves.
#[derive(Clone, StateData)]
struct Source {
    metrics: Metrics,
    traffic: Traffic,
    profile: Profile,
}

impl std::panic::RefUnwindSafe for Source {}

/// Builds the router that serves `metrics`, `traffic` and `profile` under `/metrics`.
pub fn router(metrics: Metrics, traffic: Traffic, profile: Profile) -> Router {
    let pipeline = new_pipeline()
        .add(StateMiddleware::new(Source {
            metrics,
            traffic,
            profile,
        }))
        .build();
    let (chain, pipelines) = single_pipeline(pipeline);
    build_router(chain, pipelines, |route| {
        route.get("/metrics").to(|state: State| {
            let source = Source::borrow_from(&state);
            let text = source.metrics.text() + &source.traffic.text() + &source.profile.text();
            let response = create_response(&state, StatusCode::OK, mime::TEXT_PLAIN_UTF_8, text);
            (state, response)
        });
    })
}
