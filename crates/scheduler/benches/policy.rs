//! Waits, packing, shares, losses and the work of placements, beside a plain baseline.
//!
//! Run by `cargo bench -p basilbridge-scheduler --bench policy`. All figures are of a manual clock
//! and repeat from run to run. Arguments after `--` choose the lines that are run.

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
    // A filter that ends in `!` must be met by the end of the name.
    let wanted = |name: &str| {
        let meets = |filter: &String| match filter.strip_suffix('!') {
            Some(end) => name.ends_with(end),
            None => name.contains(filter.as_str()),
        };
        filters.is_empty() || filters.iter().any(meets)
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
            let plain = format!("{name}, plain");
            if wanted(&name) {
                driver::run(Scheduler::shard(), &site, scenario).print(&name);
            }
            if wanted(&plain) {
                driver::run(Scheduler::baseline(), &site, scenario).print(&plain);
            }
        }
    }
}
