//! Sends interactive jobs ("checks") to entry VMs at a constant rate, and plain HTTP requests to
//! one worker for comparison. Prints the response times of both and the outcomes of the checks.
//!
//! `scripts/bench-edges.sh` runs it; `docs/BENCH.md` has the figures.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use basilbridge::client;
use basilbridge_common::{
    error::{
        Error,
        Kind,
        Ran, //
    },
    timer,
};
use basilbridge_standins::observations::{
    Counts,
    Violations, //
};
use bytes::Bytes;
use clap::Parser;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper_util::{
    client::legacy::{
        Client,
        connect::HttpConnector, //
    },
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;

/// The maximum value of the histograms, in microseconds; longer times count as this.
const MAX_MICROS: u64 = 60_000_000;

/// The maximum number of checks in a run.
const MAX_CHECKS: u64 = 1_000_000;
/// The body of a check.
const CHECK: &str = r#"{"queue":"checks","kind":"interactive",
    "resources":{"cpu_millis":100,"memory_mib":64},"payload":"glue"}"#;

#[derive(Debug, Parser)]
struct Arguments {
    /// The addresses of the entry VMs for callers, separated by commas.
    #[arg(long, value_delimiter = ',')]
    callers: Vec<SocketAddr>,

    /// The address of one of these VMs for operators, from which the list of workers is read.
    #[arg(long)]
    operators: SocketAddr,

    /// The key of the team.
    #[arg(long)]
    key: String,

    /// The key of the operator.
    #[arg(long)]
    operator_key: String,

    /// The number of checks per second, over all VMs.
    #[arg(long)]
    rate: u64,

    /// The time for which checks are sent, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,

    /// The timeout of a check, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    timeout_ms: u64,
}

/// The outcomes of the checks.
struct Outcomes {
    /// Response times of the answered checks, in microseconds.
    times: Histogram<u64>,
    /// The number of checks by kind of outcome.
    by_kind: BTreeMap<String, u64>,
    /// Checks that did not run according to their responses.
    not_run: u64,
    /// Checks that ran according to their responses.
    ran: u64,
    /// Checks whose response does not say whether they ran, or that got none.
    unknown: u64,
    /// Failed checks by the second in which they were sent.
    failed_by_second: BTreeMap<u64, u64>,
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Sends a check and returns whether it succeeded, with the error if the response has one.
async fn send_check(
    http: &HttpClient,
    address: SocketAddr,
    arguments: &Arguments,
) -> Result<(), Option<Error>> {
    let request = Request::post(format!("http://{address}/v1/jobs"))
        .header("authorization", format!("Bearer {}", arguments.key))
        .header("x-timeout-ms", arguments.timeout_ms.to_string())
        .body(Full::new(Bytes::from_static(CHECK.as_bytes())))
        .expect("the request is valid");
    let response = http.request(request).await.map_err(|error| {
        let refused = || Error::new(Kind::Unreachable, "the connection was refused");
        error.is_connect().then(refused)
    })?;
    let status = response.status();
    let body = response.into_body().collect().await.map_err(|_| None)?;
    if status.is_success() {
        return Ok(());
    }
    Err(serde_json::from_slice(&body.to_bytes()).ok())
}

/// Fetches a JSON document of the stand-in.
async fn get_json<T: DeserializeOwned>(http: &HttpClient, address: SocketAddr, path: &str) -> T {
    let url = format!("http://{address}{path}")
        .parse()
        .expect("the address is valid");
    let response = http.get(url).await.expect("the stand-in responds");
    let body = response
        .into_body()
        .collect()
        .await
        .expect("the response is complete");
    serde_json::from_slice(&body.to_bytes()).expect("the response is a JSON document of this type")
}

/// Creates a histogram of times in microseconds.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("the bounds are in order")
}

/// Prints the number, the quantiles and the maximum of times in microseconds.
fn print_times(name: &str, times: &Histogram<u64>) {
    let micros = |quantile| times.value_at_quantile(quantile);
    println!(
        "{name}: count {}, p50 {} us, p99 {} us, max {} us",
        times.len(),
        micros(0.5),
        micros(0.99),
        times.max()
    );
}

/// Sends the checks, and a plain request to `worker` with every fourth; returns the outcomes of the
/// checks and the response times of the plain requests.
async fn run_load(
    http: HttpClient,
    arguments: Arc<Arguments>,
    worker: SocketAddr,
) -> (Outcomes, Histogram<u64>) {
    let timer = timer::Service::start();
    let outcomes = Arc::new(Mutex::new(Outcomes {
        times: new_histogram(),
        by_kind: BTreeMap::new(),
        not_run: 0,
        ran: 0,
        unknown: 0,
        failed_by_second: BTreeMap::new(),
    }));
    let direct = Arc::new(Mutex::new(new_histogram()));
    let checks = (arguments.rate * arguments.seconds).min(MAX_CHECKS);
    let start = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    let mut sent = 0;
    while sent < checks {
        // An open loop: checks are sent when they are due, even if earlier ones are unanswered.
        let due = (start.elapsed().as_micros() as u64 * arguments.rate / 1_000_000).min(checks);
        for number in sent..due {
            let intended = start + Duration::from_micros(number * 1_000_000 / arguments.rate);
            let address = arguments.callers[number as usize % arguments.callers.len()];
            let probe = (number % 4 == 0).then(|| (http.clone(), Arc::clone(&direct)));
            let (http, arguments, outcomes) =
                (http.clone(), Arc::clone(&arguments), Arc::clone(&outcomes));
            tasks.spawn(async move {
                let result = send_check(&http, address, &arguments).await;
                let micros = intended.elapsed().as_micros() as u64;
                let second = intended.duration_since(start).as_secs();
                outcomes
                    .lock()
                    .expect("no task panics")
                    .record(result, micros, second);
            });
            if let Some((http, direct)) = probe {
                tasks.spawn(async move {
                    let _: Counts = get_json(&http, worker, "/standin/counts").await;
                    let micros = intended.elapsed().as_micros() as u64;
                    direct
                        .lock()
                        .expect("no task panics")
                        .saturating_record(micros);
                });
            }
        }
        sent = due;
        timer.sleep(Duration::from_millis(1)).await;
    }
    while tasks.join_next().await.is_some() {}
    let outcomes = Arc::into_inner(outcomes).expect("all tasks have ended");
    let direct = Arc::into_inner(direct).expect("all tasks have ended");
    (
        outcomes.into_inner().expect("no task panics"),
        direct.into_inner().expect("no task panics"),
    )
}

impl Outcomes {
    /// Records the result of a check that was sent in `second` and took `micros`.
    fn record(&mut self, result: Result<(), Option<Error>>, micros: u64, second: u64) {
        let (name, ran) = match &result {
            Ok(()) => ("answered".to_owned(), Ran::Yes),
            Err(Some(error)) => (error.kind.to_string(), error.kind.properties().ran),
            Err(None) => ("no answer".to_owned(), Ran::Unknown),
        };
        *self.by_kind.entry(name).or_default() += 1;
        match ran {
            Ran::No => self.not_run += 1,
            Ran::Yes => self.ran += 1,
            Ran::Unknown => self.unknown += 1,
        }
        match result {
            Ok(()) => self.times.saturating_record(micros),
            Err(_) => *self.failed_by_second.entry(second).or_default() += 1,
        }
    }
}

#[tokio::main]
async fn main() {
    let arguments = Arc::new(Arguments::parse());
    let operator_key = Some(arguments.operator_key.clone());
    let operators = client::Client::new(arguments.operators, operator_key);
    let workers = operators
        .workers()
        .await
        .expect("the VM returns the list of workers");
    let worker = workers[0].address;
    let http: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let before: Counts = get_json(&http, worker, "/standin/counts").await;

    let (outcomes, direct) = run_load(http.clone(), Arc::clone(&arguments), worker).await;

    let after: Counts = get_json(&http, worker, "/standin/counts").await;
    let violations: Violations = get_json(&http, worker, "/standin/violations").await;
    let starts = after.starts - before.starts;
    println!("rate {}/s for {} s", arguments.rate, arguments.seconds);
    print_times("checks answered", &outcomes.times);
    print_times("plain requests to a worker", &direct);
    println!("checks by outcome: {:?}", outcomes.by_kind);
    println!("goodput {}/s", outcomes.times.len() / arguments.seconds);
    println!(
        "failed checks by the second of sending: {:?}",
        outcomes.failed_by_second
    );
    println!(
        "responses: ran {}, unknown {}, did not run {}; starts at the workers {starts}",
        outcomes.ran, outcomes.unknown, outcomes.not_run
    );
    let consistent = (outcomes.ran..=outcomes.ran + outcomes.unknown).contains(&starts);
    println!("responses agree with the starts: {consistent}; {violations:?}");
}
