//! What an intent would change, to be confirmed before anything changes.
//!
//! A plan is bound to what it was made from: each of its steps names what it expects to find. See
//! `docs/design/plans.md`.

use basilbridge_common::{
    error::Result,
    id::{
        Name,
        Version, //
    },
};
use basilbridge_derives::data;

use crate::{
    change::{
        Change,
        Edit, //
    },
    configuration::Configuration,
    intent::Intent,
    key::Hash,
};

/// A request for a plan.
#[data]
pub struct Request {
    /// The name of the file.
    pub name: String,
    /// What operators want.
    pub intent: Intent,
}

/// What an intent would change.
#[data]
pub struct Plan {
    /// The edit that carries the plan out; its id is the plan's.
    pub edit: Edit,
    /// The version of the configuration that the plan was made from.
    pub version: Version,
    /// What would change.
    pub changes: Vec<Change>,
    /// The workloads of the intent that are not carried out.
    pub left_out: Vec<Name>,
}

impl Plan {
    /// Plans what turns the teams and queues of a configuration into those of an intent.
    ///
    /// The same intent and version give the same plan with the same id.
    pub fn new(request: &Request, configuration: &Configuration) -> Result<Self> {
        let intent = &request.intent;
        let mut next = intent.applied_to(configuration);
        next.workloads.clone_from(&configuration.workloads);
        let mut edit = configuration.edit_to("".into(), &next);
        edit.intent.clone_from(&request.name);
        edit.id = id(&edit, configuration.version).into();
        let changes = configuration.clone().apply(&edit)?;
        let left_out = intent.workloads.iter();
        Ok(Self {
            edit,
            version: configuration.version,
            changes,
            left_out: left_out.map(|workload| workload.name.clone()).collect(),
        })
    }

    /// Says whether the plan changes nothing.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

/// Derives the id from what the plan does and the version it was made from.
///
/// The version keeps a plan that was confirmed, and undone since, apart from a later one.
fn id(edit: &Edit, version: Version) -> String {
    let operations = serde_json::to_vec(&edit.operations).unwrap_or_default();
    let version = version.0.to_be_bytes();
    let hash = Hash::of_bytes(&[&version, edit.intent.as_bytes(), &operations]);
    let mut id = hash.to_string();
    id.truncate(ID_DIGITS);
    id
}

/// The hexadecimal digits of a plan's id.
const ID_DIGITS: usize = 32;
