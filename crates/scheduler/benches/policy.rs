//! Compares waits, packing, fairness, lost work and placement effort with a baseline.
//!
//! Run by `cargo bench -p basilbridge-scheduler --bench policy`. The times are those of a manual
//! clock, so the results are reproducible. Arguments after `--` select the lines to run by a part
//! of their names.

#[path = "../tests/driver/mod.rs"]
mod driver;
#[path = "../tests/util/mod.rs"]
mod util;

use driver::{
    Scheduler,
    arrivals::{
        self,
        Scenario, //
    },
};

fn main() {
    let filters: Vec<_> = std::env::args()
        .skip(1)
        .filter(|argument| !argument.starts_with("--"))
        .collect();
    // A filter that ends in `!` has to match the end of the name.
    let is_selected = |name: &str| {
        let is_match = |filter: &String| match filter.strip_suffix('!') {
            Some(suffix) => name.ends_with(suffix),
            None => name.contains(filter.as_str()),
        };
        filters.is_empty() || filters.iter().any(is_match)
    };
    println!(
        "{:<44}{:>16}{:>16}{:>16}{:>16}{:>7} {:>6} {:>6} {:>7} {:>7} {:>6}",
        "",
        "interactive",
        "service",
        "batch",
        "gang",
        "pack",
        "near",
        "mean",
        "lost",
        "failed",
        "nodes"
    );
    for site in [arrivals::spine_and_leaf(), arrivals::vltava()] {
        for scenario in Scenario::ALL {
            let name = format!("{} {scenario:?}", site.name);
            let baseline_name = format!("{name}, plain");
            if is_selected(&name) {
                driver::run(Scheduler::shard(), &site, scenario).print(&name);
            }
            if is_selected(&baseline_name) {
                driver::run(Scheduler::baseline(), &site, scenario).print(&baseline_name);
            }
        }
    }
}
