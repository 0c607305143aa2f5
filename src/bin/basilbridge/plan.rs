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

/// The exit code of a plan that would change something.
const CHANGES: u8 = 10;

/// How often a confirmation whose outcome is not known is sent again.
const ATTEMPTS: u32 = 5;

/// Plans an intent and prints what would change.
pub(crate) async fn run(file: &Path, client: &Client, arguments: &Arguments) -> Result<ExitCode> {
    let plan = make(file, client).await?;
    printer::print(&plan, arguments.json, show)?;
    Ok(if plan.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(CHANGES)
    })
}

/// Confirms a plan, named by its id or by a file with its JSON document.
pub(crate) async fn confirm(plan: &str, client: &Client, arguments: &Arguments) -> Result<()> {
    let path = PathBuf::from(plan);
    let id = if path.is_file() {
        let plan: Plan = serde_json::from_str(&read(&path)?)
            .map_err(|error| malformed(&path, &error.to_string()))?;
        plan.edit.id.to_string()
    } else {
        plan.to_owned()
    };
    let mut result = client.confirm(&id, arguments.timeout).await;
    for _ in 1..ATTEMPTS {
        // The plan's id makes it take effect only once, however often it is confirmed.
        let lost = |error: &Error| matches!(error.kind, Kind::WriteUnknown | Kind::OutcomeUnknown);
        if !result.as_ref().is_err_and(lost) {
            break;
        }
        let again = client.confirm(&id, arguments.timeout).await;
        if again.is_ok()
            || again
                .as_ref()
                .is_err_and(|error| error.kind == Kind::Conflict)
        {
            result = again;
        }
    }
    printer::print(&result?, arguments.json, edit::show)
}

async fn make(file: &Path, client: &Client) -> Result<Plan> {
    let name = file.display().to_string();
    let text = read(file)?;
    let intent = Intent::parse(&name, &text, Format::of(&name)).map_err(|faults| {
        let message = faults.to_string();
        eprintln!("{:?}", miette::Report::new(*faults));
        Error::new(Kind::Malformed, message)
    })?;
    client.plan(&Request { name, intent }).await
}

fn read(file: &Path) -> Result<String> {
    fs::read_to_string(file).map_err(|error| malformed(file, &error.to_string()))
}

fn malformed(file: &Path, error: &str) -> Error {
    Error::new(Kind::Malformed, format!("{}: {error}", file.display()))
}

fn show(plan: &Plan) -> String {
    let mut text = String::new();
    for change in &plan.changes {
        text += &audit::describe(change);
        text.push('\n');
    }
    if !plan.left_out.is_empty() {
        let names = plan.left_out.join(", ");
        text += &format!("not carried out, submit them as jobs: {names}\n");
    }
    if plan.is_empty() {
        return text + "nothing to do\n";
    }
    let id = &plan.edit.id;
    text + &format!("confirm with: basilbridge confirm {id}\n")
}
