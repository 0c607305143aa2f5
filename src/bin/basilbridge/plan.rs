//! Plans intents and confirms plans.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
};

use basilbridge::client::Client;
use basilbridge_common::error::{
    Error,
    Kind,
    Result, //
};
use basilbridge_operators::{
    change::{
        Change,
        Item, //
    },
    intent::{
        Format,
        Intent, //
    },
    plan::{
        Plan,
        Request, //
    },
};

use crate::{
    audit,
    clap_app::Arguments,
    edit,
    printer, //
};

/// The exit code of a plan with changes.
const EXIT_CHANGES: u8 = 10;

/// The maximum number of times that a confirmation with unknown outcome is sent.
const MAX_ATTEMPTS: u32 = 5;

/// Plans an intent, prints what would change and returns the exit code.
pub(crate) async fn run(file: &Path, client: &Client, arguments: &Arguments) -> Result<ExitCode> {
    let plan = plan_intent(file, client).await?;
    printer::print(&plan, arguments.json, format_plan)?;
    Ok(if plan.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_CHANGES)
    })
}

/// Confirms a plan, given by its id or by a file with its JSON document.
pub(crate) async fn confirm(plan: &str, client: &Client, arguments: &Arguments) -> Result<()> {
    let path = PathBuf::from(plan);
    let id = if path.is_file() {
        let plan: Plan = serde_json::from_str(&read_file(&path)?)
            .map_err(|error| malformed(&path, &error.to_string()))?;
        plan.edit.id.to_string()
    } else {
        plan.to_owned()
    };
    let mut result = client.confirm(&id, arguments.timeout).await;
    for _ in 1..MAX_ATTEMPTS {
        // Confirming again is safe, since a plan is applied only once for its id.
        let is_outcome_unknown =
            |error: &Error| matches!(error.kind, Kind::WriteUnknown | Kind::OutcomeUnknown);
        if !result.as_ref().is_err_and(is_outcome_unknown) {
            break;
        }
        let retried = client.confirm(&id, arguments.timeout).await;
        if retried.is_ok()
            || retried
                .as_ref()
                .is_err_and(|error| error.kind == Kind::Conflict)
        {
            result = retried;
        }
    }
    printer::print(&result?, arguments.json, edit::format_accepted)
}

/// Reads an intent from a file and plans it.
async fn plan_intent(file: &Path, client: &Client) -> Result<Plan> {
    let name = file.display().to_string();
    let text = read_file(file)?;
    let intent = Intent::parse(&name, &text, Format::of(&name)).map_err(|faults| {
        let message = faults.to_string();
        eprintln!("{:?}", miette::Report::new(*faults));
        Error::new(Kind::Malformed, message)
    })?;
    client.plan(&Request { name, intent }).await
}

fn read_file(file: &Path) -> Result<String> {
    fs::read_to_string(file).map_err(|error| malformed(file, &error.to_string()))
}

fn malformed(file: &Path, error: &str) -> Error {
    Error::new(Kind::Malformed, format!("{}: {error}", file.display()))
}

/// Formats a plan as one line per change, followed by what to do next.
fn format_plan(plan: &Plan) -> String {
    let mut text = String::new();
    for change in &plan.changes {
        text += &audit::format_change(change);
        text += &format_data_centre(plan, change);
        text.push('\n');
    }
    if !plan.left_out.is_empty() {
        let names = plan.left_out.join(", ");
        text += &format!("not part of the plan, submit as jobs: {names}\n");
    }
    if plan.is_empty() {
        return text + "nothing to do\n";
    }
    let id = &plan.edit.id;
    text + &format!("confirm with: basilbridge confirm {id}\n")
}

/// Formats the tasks of a data centre that a change evacuates, or returns an empty string.
fn format_data_centre(plan: &Plan, change: &Change) -> String {
    let Some(Item::Evacuation(name)) = &change.after else {
        return String::new();
    };
    let mut data_centres = plan.data_centres.iter();
    let data_centre = data_centres.find(|data_centre| data_centre.name == *name);
    data_centre.map_or_else(String::new, |data_centre| {
        format!(", {}", printer::format_tasks(data_centre))
    })
}
