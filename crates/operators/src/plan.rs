//! Plans: the changes that an intent would make, shown to an operator before they are applied.
//!
//! Each operation of a plan names the value that it expects to replace, so that a plan is rejected
//! if the items it concerns have changed since. See `docs/design/plans.md`.

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
        Edit,
        Item, //
    },
    configuration::Configuration,
    data_centre::DataCentre,
    intent::Intent,
    key::Hash,
};

/// A request for a plan.
#[data]
pub struct Request {
    /// The file name of the intent.
    pub name: String,
    /// The intent.
    pub intent: Intent,
}

/// The changes that an intent would make.
#[data]
pub struct Plan {
    /// The edit that applies the plan; its id is the id of the plan.
    pub edit: Edit,
    /// The version of the configuration that the plan was made from.
    pub version: Version,
    /// The items that would change.
    pub changes: Vec<Change>,
    /// The workloads of the intent, which plans do not apply.
    pub left_out: Vec<Name>,
    /// The data centres that would be evacuated or be in use again.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub data_centres: Vec<DataCentre>,
}

impl Plan {
    /// Returns the plan that turns the teams and queues of a configuration into those of an intent.
    ///
    /// The same intent and version give the same plan with the same id.
    ///
    /// # Errors
    ///
    /// Returns the error of [`Configuration::apply`] if the edit can't be applied.
    pub fn new(request: &Request, configuration: &Configuration) -> Result<Self> {
        let intent = &request.intent;
        let mut next = intent.applied_to(configuration);
        next.workloads.clone_from(&configuration.workloads);
        let mut edit = configuration.edit_to("".into(), &next);
        edit.intent.clone_from(&request.name);
        edit.id = derive_id(&edit, configuration.version).into();
        let changes = configuration.clone().apply(&edit)?;
        let left_out = intent.workloads.iter();
        Ok(Self {
            edit,
            version: configuration.version,
            changes,
            left_out: left_out.map(|workload| workload.name.clone()).collect(),
            data_centres: Vec::new(),
        })
    }

    /// Adds the data centres that the plan concerns, out of `all`.
    #[must_use]
    pub fn with_data_centres(mut self, all: Vec<DataCentre>) -> Self {
        let changes = &self.changes;
        let is_changed = |data_centre: &DataCentre| {
            let mut items = changes
                .iter()
                .flat_map(|change| [&change.before, &change.after]);
            items.any(|item| *item == Some(Item::Evacuation(data_centre.name.clone())))
        };
        self.data_centres = all.into_iter().filter(is_changed).collect();
        self
    }

    /// Returns whether the plan changes nothing.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

/// Derives the id of a plan from its intent name, its operations and the version it was made from.
///
/// The version makes the id differ from that of an equal plan that was confirmed and undone before.
fn derive_id(edit: &Edit, version: Version) -> String {
    let operations = serde_json::to_vec(&edit.operations).unwrap_or_default();
    let version = version.0.to_be_bytes();
    let hash = Hash::of_bytes(&[&version, edit.intent.as_bytes(), &operations]);
    let mut id = hash.to_string();
    id.truncate(ID_DIGITS);
    id
}

/// The number of hexadecimal digits in a plan's id.
const ID_DIGITS: usize = 32;
