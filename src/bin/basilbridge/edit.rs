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

/// The maximum number of times that an edit with unknown outcome is sent, always with one id.
const MAX_ATTEMPTS: u32 = 5;

/// Sends an edit under a new id and prints the result.
pub(crate) async fn run(
    operations: Vec<Operation>,
    command: &str,
    client: &Client,
    arguments: &Arguments,
) -> Result<()> {
    let accepted = send(operations, command, client, arguments).await?;
    printer::print(&accepted, arguments.json, format_accepted)
}

/// Sends an edit under a new id and returns the result.
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
    send_until_known(&edit, client, arguments).await
}

/// Sends an edit until its outcome is known.
///
/// Sending it again is safe, since an edit is applied only once for its id.
///
/// # Errors
///
/// Returns the first error if the outcome is still unknown after [`MAX_ATTEMPTS`].
pub(crate) async fn send_until_known(
    edit: &Edit,
    client: &Client,
    arguments: &Arguments,
) -> Result<Accepted> {
    let is_outcome_unknown =
        |error: &Error| matches!(error.kind, Kind::WriteUnknown | Kind::OutcomeUnknown);
    let mut result = client.edit(edit, arguments.timeout).await;
    for _ in 1..MAX_ATTEMPTS {
        match &result {
            Err(error) if is_outcome_unknown(error) => {
                let retried = client.edit(edit, arguments.timeout).await;
                // Any other error of a retry doesn't tell whether an earlier attempt was applied.
                if retried.is_ok()
                    || retried
                        .as_ref()
                        .is_err_and(|error| error.kind == Kind::Conflict)
                {
                    result = retried;
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

/// Formats the result of an edit as one line.
pub(crate) fn format_accepted(accepted: &Accepted) -> String {
    let version = accepted.version.0;
    if accepted.in_force {
        return format!("version {version}, in force on all entry VMs\n");
    }
    let missing = accepted.missing.join(", ");
    format!("version {version}, pending: not yet acknowledged by {missing}\n")
}
