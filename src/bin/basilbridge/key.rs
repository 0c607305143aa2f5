//! Issues, withdraws and lists keys.

use basilbridge::client::Client;
use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::Name,
};
use basilbridge_derives::data;
use basilbridge_operators::{
    change::{
        Accepted,
        Holder,
        Operation, //
    },
    configuration::Configuration,
    key::{
        self,
        Hash, //
    },
};

use crate::{
    clap_app::Arguments,
    edit,
    printer, //
};

/// The commands that manage keys.
#[derive(Debug, clap::Subcommand)]
pub(crate) enum Command {
    /// Issue a new key, which is shown only this once.
    Give(HolderArguments),
    /// Withdraw a key, given by its fingerprint.
    Withdraw {
        #[command(flatten)]
        holder: HolderArguments,
        /// The first digits of the key's hash, as shown by `key list`.
        fingerprint: String,
    },
    /// List the fingerprints of all keys.
    List,
}

/// The holder of a key: a team or an operator.
#[derive(Debug, clap::Args)]
#[group(required = true, multiple = false)]
pub(crate) struct HolderArguments {
    /// The key of this team.
    #[arg(long)]
    team: Option<String>,

    /// The key of an operator.
    #[arg(long)]
    operator: bool,
}

/// The result of `key give`.
#[data]
struct IssuedKey {
    /// The key, which is stored nowhere else.
    key: String,
    /// The first digits of the hash of the key.
    fingerprint: String,
    /// The version from which the key is valid, and whether that is in force.
    accepted: Accepted,
}

/// A valid key in the output of `key list`.
#[data]
struct ListedKey {
    /// The team, or `None` for an operator.
    team: Option<Name>,
    /// The first digits of the hash of the key.
    fingerprint: String,
}

impl HolderArguments {
    /// Returns the holder that the arguments name.
    fn holder(&self) -> Holder {
        match &self.team {
            Some(team) => Holder::Team(team.as_str().into()),
            None => Holder::Operator,
        }
    }
}

/// Runs a command.
pub(crate) async fn run(command: &Command, client: &Client, arguments: &Arguments) -> Result<()> {
    match command {
        Command::Give(holder) => issue(holder.holder(), client, arguments).await,
        Command::Withdraw {
            holder,
            fingerprint,
        } => {
            let holder = holder.holder();
            let configuration = client.configuration().await?;
            let hash = find_key(&configuration, &holder, fingerprint)?;
            let operation = Operation::WithdrawKey(holder, hash);
            edit::run(vec![operation], "key withdraw", client, arguments).await
        }
        Command::List => {
            let listed = list_keys(&client.configuration().await?);
            printer::print(listed.as_slice(), arguments.json, format_keys)
        }
    }
}

/// Issues a new key and prints it.
async fn issue(holder: Holder, client: &Client, arguments: &Arguments) -> Result<()> {
    // The key is generated here and only its hash is sent, so that a lost answer loses no key.
    let key = key::generate()?;
    let hash = Hash::of(&key);
    let fingerprint = hash.fingerprint();
    let operation = Operation::GiveKey(holder, hash);
    let accepted = edit::send(vec![operation], "key give", client, arguments).await?;
    let issued = IssuedKey {
        key,
        fingerprint,
        accepted,
    };
    printer::print(&issued, arguments.json, |issued| {
        let accepted = edit::format_accepted(&issued.accepted);
        format!("{}\n{}  {accepted}", issued.key, issued.fingerprint)
    })
}

/// Returns the hashes of the keys of a holder.
fn keys_of<'a>(configuration: &'a Configuration, holder: &Holder) -> &'a [Hash] {
    match holder {
        Holder::Team(team) => configuration
            .team(team)
            .map_or(&[][..], |team| team.keys.as_slice()),
        Holder::Operator => &configuration.operator_keys,
    }
}

/// Returns the only key of a holder whose hash starts with `fingerprint`.
///
/// # Errors
///
/// Returns [`Kind::NotFound`] if there is none, and [`Kind::Malformed`] if there are several.
fn find_key(configuration: &Configuration, holder: &Holder, fingerprint: &str) -> Result<Hash> {
    let matches = |hash: &&Hash| hash.to_string().starts_with(fingerprint);
    let mut found = keys_of(configuration, holder).iter().filter(matches);
    match (found.next(), found.next()) {
        (Some(hash), None) => Ok(hash.clone()),
        (Some(_), Some(_)) => {
            let message = format!("more than one key starts with `{fingerprint}`");
            Err(Error::new(Kind::Malformed, message))
        }
        (None, _) => {
            let message = format!("no valid key starts with `{fingerprint}`");
            Err(Error::new(Kind::NotFound, message))
        }
    }
}

/// Returns the keys of all teams and then of the operators.
fn list_keys(configuration: &Configuration) -> Vec<ListedKey> {
    let listed = |team: Option<&Name>, hash: &Hash| ListedKey {
        team: team.cloned(),
        fingerprint: hash.fingerprint(),
    };
    let teams = configuration.teams.iter().flat_map(|team| {
        let keys = team.keys.iter();
        keys.map(move |hash| listed(Some(&team.name), hash))
    });
    let operators = configuration.operator_keys.iter();
    teams
        .chain(operators.map(|hash| listed(None, hash)))
        .collect()
}

/// Formats keys as a table.
fn format_keys(listed: &[ListedKey]) -> String {
    let rows = listed.iter().map(|key| {
        let holder = match &key.team {
            Some(team) => format!("team {team}"),
            None => "operator".to_owned(),
        };
        [key.fingerprint.clone(), holder]
    });
    printer::format_table(["KEY", "HOLDER"], rows)
}
