//! Callers that cancel a job whose submission arrives after that.

use std::time::{
    Duration,
    Instant, //
};

use basilbridge_adapter_standins::fleet::SubmittedJob;
use http::{
    Method,
    StatusCode, //
};
use rand::{
    Rng,
    rngs::SmallRng, //
};

use crate::{
    caller::KEY,
    run::Crowd, //
};

/// The time between two of these jobs.
const INTERVAL: Duration = Duration::from_millis(250);

/// How long after the answer to the cancellation the submission is sent at most, in milliseconds.
const MAX_DELAY_MILLIS: u64 = 1500;

impl Crowd {
    /// Cancels and then submits jobs until `length` is over. Returns those whose cancellation was
    /// acknowledged.
    pub(crate) async fn press_withdrawn(
        &self,
        mut random: SmallRng,
        length: Duration,
    ) -> Vec<String> {
        let begun = Instant::now();
        let mut open = Vec::new();
        while begun.elapsed() < length {
            let id = format!("{:016x}", random.random::<u64>());
            let vms = [0, 1].map(|_| random.random_range(0..self.vms.len()));
            let delay = Duration::from_millis(random.random_range(0..MAX_DELAY_MILLIS));
            let crowd = self.clone();
            open.push(tokio::spawn(async move {
                crowd.withdraw(&id, vms, delay).await.then_some(id)
            }));
            self.timer.sleep(INTERVAL).await;
        }
        let mut withdrawn = Vec::new();
        for call in open {
            withdrawn.extend(call.await.expect("a caller does not panic"));
        }
        withdrawn
    }

    /// Cancels a job at one VM and submits it at another one later. Returns whether the cancellation was
    /// acknowledged before.
    async fn withdraw(&self, id: &str, vms: [usize; 2], delay: Duration) -> bool {
        let [first, second] = vms;
        let answer = self
            .caller
            .call(self.vms[first], Method::DELETE, id, KEY, String::new())
            .await;
        if answer.is_none_or(|(status, _)| status != StatusCode::GONE) {
            return false;
        }
        self.book().cancelling.insert(id.to_owned());
        self.timer.sleep(delay).await;
        let asked = SubmittedJob {
            payload: "100".to_owned(),
            tasks_per_step: vec![1],
            is_chained: true,
            cpu_millis: 500,
            is_deadly: false,
            is_lasting: false,
            max_per_worker: 0,
        };
        self.submit(id.to_owned(), asked, second, false).await;
        true
    }
}
