//! Sends checks to entry VMs at a steady rate and beside them plain calls to one worker, and prints
//! the times of both and what became of each check.
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

/// The longest time that is told from longer ones, in microseconds.
const LONGEST_MICROS: u64 = 60_000_000;

const MOST_CHECKS: u64 = 1_000_000;
const CHECK: &str = r#"{"queue":"checks","kind":"interactive",
    "resources":{"cpu_millis":100,"memory_mib":64},"payload":"glue"}"#;

#[derive(Debug, Parser)]
struct Arguments {
    /// Where callers reach each entry VM.
    #[arg(long, value_delimiter = ',')]
    callers: Vec<SocketAddr>,

    /// Where operators reach one of them, to find a worker.
    #[arg(long)]
    operators: SocketAddr,

    /// The team's key.
    #[arg(long)]
    key: String,

    /// The operator's key.
    #[arg(long)]
    operator_key: String,

    /// Checks sent in a second over all VMs.
    #[arg(long)]
    rate: u64,

    /// How long checks are sent, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,

    /// How long a check may take, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    timeout_ms: u64,
}

/// What became of the checks.
struct Outcome {
    times: Histogram<u64>,
    kinds: BTreeMap<String, u64>,
    /// Whether the work ran, as the answers say: no, yes or unknown.
    no: u64,
    yes: u64,
    unknown: u64,
    /// Checks that were not answered well, by the second in which they were sent.
    failed: BTreeMap<u64, u64>,
}

type Http = Client<HttpConnector, Full<Bytes>>;

async fn check(
    http: &Http,
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

async fn get<T: DeserializeOwned>(http: &Http, address: SocketAddr, path: &str) -> T {
    let url = format!("http://{address}{path}")
        .parse()
        .expect("the address is valid");
    let response = http.get(url).await.expect("the stand-in answers");
    let body = response
        .into_body()
        .collect()
        .await
        .expect("the answer is whole");
    serde_json::from_slice(&body.to_bytes()).expect("the answer is a document")
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_MICROS, 3).expect("the bounds are in order")
}

fn line(name: &str, times: &Histogram<u64>) {
    let micros = |quantile| times.value_at_quantile(quantile);
    println!(
        "{name}: count {}, p50 {} us, p99 {} us, max {} us",
        times.len(),
        micros(0.5),
        micros(0.99),
        times.max()
    );
}

async fn drive(
    http: Http,
    arguments: Arc<Arguments>,
    worker: SocketAddr,
) -> (Outcome, Histogram<u64>) {
    let timer = timer::Service::start();
    let outcome = Arc::new(Mutex::new(Outcome {
        times: histogram(),
        kinds: BTreeMap::new(),
        no: 0,
        yes: 0,
        unknown: 0,
        failed: BTreeMap::new(),
    }));
    let direct = Arc::new(Mutex::new(histogram()));
    let checks = (arguments.rate * arguments.seconds).min(MOST_CHECKS);
    let start = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    let mut sent = 0;
    while sent < checks {
        // An open loop: what is due is sent, whether or not earlier checks were answered.
        let due = (start.elapsed().as_micros() as u64 * arguments.rate / 1_000_000).min(checks);
        for number in sent..due {
            let intended = start + Duration::from_micros(number * 1_000_000 / arguments.rate);
            let address = arguments.callers[number as usize % arguments.callers.len()];
            let probe = (number % 4 == 0).then(|| (http.clone(), Arc::clone(&direct)));
            let (http, arguments, outcome) =
                (http.clone(), Arc::clone(&arguments), Arc::clone(&outcome));
            tasks.spawn(async move {
                let result = check(&http, address, &arguments).await;
                let micros = intended.elapsed().as_micros() as u64;
                let second = intended.duration_since(start).as_secs();
                outcome
                    .lock()
                    .expect("no task panics")
                    .note(result, micros, second);
            });
            if let Some((http, direct)) = probe {
                tasks.spawn(async move {
                    let _: Counts = get(&http, worker, "/standin/counts").await;
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
    let outcome = Arc::into_inner(outcome).expect("all tasks have ended");
    let direct = Arc::into_inner(direct).expect("all tasks have ended");
    (
        outcome.into_inner().expect("no task panics"),
        direct.into_inner().expect("no task panics"),
    )
}

impl Outcome {
    fn note(&mut self, result: Result<(), Option<Error>>, micros: u64, second: u64) {
        let (name, ran) = match &result {
            Ok(()) => ("answered".to_owned(), Ran::Yes),
            Err(Some(error)) => (error.kind.to_string(), error.kind.properties().ran),
            Err(None) => ("no answer".to_owned(), Ran::Unknown),
        };
        *self.kinds.entry(name).or_default() += 1;
        match ran {
            Ran::No => self.no += 1,
            Ran::Yes => self.yes += 1,
            Ran::Unknown => self.unknown += 1,
        }
        match result {
            Ok(()) => self.times.saturating_record(micros),
            Err(_) => *self.failed.entry(second).or_default() += 1,
        }
    }
}

#[tokio::main]
async fn main() {
    let arguments = Arc::new(Arguments::parse());
    let operator_key = Some(arguments.operator_key.clone());
    let operators = client::Client::new(arguments.operators, operator_key);
    let workers = operators.workers().await.expect("the VM lists its workers");
    let worker = workers[0].address;
    let http: Http = Client::builder(TokioExecutor::new()).build_http();
    let before: Counts = get(&http, worker, "/standin/counts").await;

    let (outcome, direct) = drive(http.clone(), Arc::clone(&arguments), worker).await;

    let after: Counts = get(&http, worker, "/standin/counts").await;
    let violations: Violations = get(&http, worker, "/standin/violations").await;
    let starts = after.starts - before.starts;
    println!("rate {}/s for {} s", arguments.rate, arguments.seconds);
    line("checks answered", &outcome.times);
    line("direct calls to a worker", &direct);
    println!("answers: {:?}", outcome.kinds);
    println!("goodput {}/s", outcome.times.len() / arguments.seconds);
    println!(
        "not answered well, by the second of sending: {:?}",
        outcome.failed
    );
    println!(
        "the answers say: ran {}, unknown {}, did not run {}; the workers started {starts}",
        outcome.yes, outcome.unknown, outcome.no
    );
    let truthful = (outcome.yes..=outcome.yes + outcome.unknown).contains(&starts);
    println!("refusals true: {truthful}; {violations:?}");
}
