//! Waits, packing, shares, losses and the work of placements, beside a plain baseline.
//!
//! Run by `cargo bench -p basilbridge-scheduler --bench policy`. All figures are of a manual clock
//! and repeat from run to run.

#[path = "../tests/driver/mod.rs"]
mod driver;
#[path = "../tests/util/mod.rs"]
mod util;

use driver::{
    Decider,
    arrivals::{
        self,
        Scenario, //
    },
};

fn main() {
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
            let real = driver::run(Decider::real(), &site, scenario);
            real.print(&name);
            let plain = driver::run(Decider::plain(), &site, scenario);
            plain.print(&format!("{name}, plain"));
        }
    }
}
