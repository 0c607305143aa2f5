//! Sends edits of the configuration.

use basilbridge::client::Client;
use basilbridge_common::error::{
    Error,
    Kind,
    Result, //
};
use basilbridge_operators::change::{
    Accepted,
    Edit,
    Operation, //
};

use crate::{
    clap_app::Arguments,
    printer, //
};

/// How often an edit whose outcome is not known is sent again with the same id.
const ATTEMPTS: u32 = 5;

/// Sends an edit and prints what became of it.
pub(crate) async fn run(
    operations: Vec<Operation>,
    command: &str,
    client: &Client,
    arguments: &Arguments,
) -> Result<()> {
    let accepted = send(operations, command, client, arguments).await?;
    printer::print(&accepted, arguments.json, show)
}

/// Sends an edit under a new id.
pub(crate) async fn send(
    operations: Vec<Operation>,
    command: &str,
    client: &Client,
    arguments: &Arguments,
) -> Result<Accepted> {
    let edit = Edit {
        id: format!("{:032x}", rand::random::<u128>()).into(),
        operator: String::new(),
        intent: command.to_owned(),
        base: None,
        operations,
    };
    settle(&edit, client, arguments).await
}

/// Sends an edit until its outcome is known; its id makes it take effect only once.
pub(crate) async fn settle(
    edit: &Edit,
    client: &Client,
    arguments: &Arguments,
) -> Result<Accepted> {
    let lost = |error: &Error| matches!(error.kind, Kind::WriteUnknown | Kind::OutcomeUnknown);
    let mut result = client.edit(edit, arguments.timeout).await;
    for _ in 1..ATTEMPTS {
        match &result {
            Err(error) if lost(error) => {
                let again = client.edit(edit, arguments.timeout).await;
                // A refusal of a further try says nothing about the first one.
                if again.is_ok()
                    || again
                        .as_ref()
                        .is_err_and(|error| error.kind == Kind::Conflict)
                {
                    result = again;
                }
            }
            _ => return result,
        }
    }
    result.map_err(|error| {
        let message = format!("{} (edit {})", error.message, edit.id);
        Error::new(error.kind, message)
    })
}

/// Shows what became of an edit.
pub(crate) fn show(accepted: &Accepted) -> String {
    let version = accepted.version.0;
    if accepted.in_force {
        return format!("version {version}, in force on all entry VMs\n");
    }
    let missing = accepted.missing.join(", ");
    format!("version {version}, pending: no word yet from {missing}\n")
}
