//! Creates plans and keeps them in the object store until they are confirmed.

use basilbridge_common::error::{
    Error,
    Kind,
    Result, //
};
use basilbridge_operators::{
    change::Edit,
    data_centre::DataCentre,
    plan::{
        Plan,
        Request, //
    },
};

use crate::{
    audit::KEPT_ENTRIES,
    data_centre,
    node::Node, //
};

/// Plans an intent on the newest configuration in the table service.
///
/// A plan that changes nothing is not stored.
pub async fn create(node: &Node, request: Request) -> Result<Plan> {
    node.configuration.refresh(&node.platform.tables).await?;
    let plan = Plan::new(&request, &node.configuration.current())?;
    let plan = plan.with_data_centres(data_centres(node, &request));
    if !plan.is_empty() {
        let body = serde_json::to_vec(&plan)
            .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
        let objects = &node.platform.objects;
        objects.put(key(&plan.edit.id), body.into()).await?;
    }
    Ok(plan)
}

/// Returns the data centres that this VM knows of or that the intent evacuates.
fn data_centres(node: &Node, request: &Request) -> Vec<DataCentre> {
    let mut all = data_centre::list(node);
    for name in &request.intent.evacuate {
        if !all.iter().any(|data_centre| data_centre.name == *name) {
            all.push(DataCentre::without_workers(name.clone()));
        }
    }
    all
}

/// Returns the edit of a stored plan, with the operator who confirms it.
///
/// # Errors
///
/// Returns [`Kind::NotFound`] for an unknown id, [`Kind::Conflict`] if the plan is too old, and
/// [`Kind::Truncated`] if it can't be parsed.
pub async fn find_edit(node: &Node, id: &str, operator: String) -> Result<Edit> {
    let missing = || Error::new(Kind::NotFound, format!("the plan {id} does not exist"));
    if !id.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(missing());
    }
    let body = node.platform.objects.get(key(id)).await?;
    let plan: Plan = serde_json::from_slice(&body.ok_or_else(missing)?)
        .map_err(|error| Error::new(Kind::Truncated, error.to_string()))?;
    // The ids of older edits are deleted, so an older plan could be applied a second time.
    let oldest = node
        .configuration
        .current()
        .version
        .0
        .saturating_sub(KEPT_ENTRIES);
    if plan.version.0 < oldest {
        let message = "the plan is too old to be confirmed; plan the intent again";
        return Err(Error::new(Kind::Conflict, message));
    }
    Ok(Edit {
        operator,
        ..plan.edit
    })
}

fn key(id: &str) -> String {
    format!("plan-{id}")
}
