//! The data centres of the workers, as the operators see them.

use std::collections::BTreeMap;

use basilbridge_common::id::Name;
use basilbridge_operators::data_centre::DataCentre;

use crate::node::Node;

/// Returns the data centres that have workers or shards or are evacuated, sorted by name.
///
/// The tasks of the shards of other VMs are counted as their owners last reported them by gossip.
pub fn list(node: &Node) -> Vec<DataCentre> {
    let configuration = node.configuration.current();
    let mut all: BTreeMap<Name, DataCentre> = BTreeMap::new();
    for worker in node.fleet.workers() {
        entry(&mut all, &worker.data_centre).workers += 1;
    }
    for (shard, summary) in node.cluster.summaries() {
        let (queued, running) = match node.owner(&shard) {
            Some(owner) => owner.load(),
            None => (summary.queued as usize, summary.running as usize),
        };
        let data_centre = entry(&mut all, &shard.data_centre);
        data_centre.queued += queued as u64;
        data_centre.running += running as u64;
    }
    for name in &configuration.evacuated {
        entry(&mut all, name).evacuated = true;
    }
    all.into_values().collect()
}

fn entry<'a>(all: &'a mut BTreeMap<Name, DataCentre>, name: &Name) -> &'a mut DataCentre {
    all.entry(name.clone())
        .or_insert_with(|| DataCentre::without_workers(name.clone()))
}
