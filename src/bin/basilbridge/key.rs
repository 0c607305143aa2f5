//! Gives, withdraws and lists keys.

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

/// What to do with keys.
#[derive(Debug, clap::Subcommand)]
pub(crate) enum Command {
    /// Give a new key, which is shown only now.
    Give(Whose),
    /// Withdraw a key, named by its fingerprint.
    Withdraw {
        #[command(flatten)]
        whose: Whose,
        /// The first digits of the key's hash, as `key list` shows them.
        fingerprint: String,
    },
    /// List the fingerprints of all keys.
    List,
}

/// Whose key.
#[derive(Debug, clap::Args)]
#[group(required = true, multiple = false)]
pub(crate) struct Whose {
    /// A team's.
    #[arg(long)]
    team: Option<String>,

    /// An operator's.
    #[arg(long)]
    operator: bool,
}

/// A key that was given.
#[data]
struct Given {
    /// The key, which is kept nowhere else.
    key: String,
    /// The first digits of its hash.
    fingerprint: String,
    /// When and where it is valid.
    accepted: Accepted,
}

/// A key that is valid.
#[data]
struct Listed {
    /// The team, or nothing for an operator.
    team: Option<Name>,
    /// The first digits of its hash.
    fingerprint: String,
}

impl Whose {
    fn holder(&self) -> Holder {
        match &self.team {
            Some(team) => Holder::Team(team.as_str().into()),
            None => Holder::Operator,
        }
    }
}

/// Carries out a command.
pub(crate) async fn run(command: &Command, client: &Client, arguments: &Arguments) -> Result<()> {
    match command {
        Command::Give(whose) => give(whose.holder(), client, arguments).await,
        Command::Withdraw { whose, fingerprint } => {
            let holder = whose.holder();
            let configuration = client.configuration().await?;
            let hash = find(&configuration, &holder, fingerprint)?;
            let operation = Operation::WithdrawKey(holder, hash);
            edit::run(vec![operation], "key withdraw", client, arguments).await
        }
        Command::List => {
            let listed = list(&client.configuration().await?);
            printer::print(listed.as_slice(), arguments.json, show)
        }
    }
}

async fn give(holder: Holder, client: &Client, arguments: &Arguments) -> Result<()> {
    // The key is made here and only its hash is sent, so that a lost answer loses no key.
    let key = key::generate()?;
    let hash = Hash::of(&key);
    let fingerprint = hash.fingerprint();
    let operation = Operation::GiveKey(holder, hash);
    let accepted = edit::send(vec![operation], "key give", client, arguments).await?;
    let given = Given {
        key,
        fingerprint,
        accepted,
    };
    printer::print(&given, arguments.json, |given| {
        let accepted = edit::show(&given.accepted);
        format!("{}\n{}  {accepted}", given.key, given.fingerprint)
    })
}

fn keys<'a>(configuration: &'a Configuration, holder: &Holder) -> &'a [Hash] {
    match holder {
        Holder::Team(team) => configuration
            .team(team)
            .map_or(&[][..], |team| team.keys.as_slice()),
        Holder::Operator => &configuration.operator_keys,
    }
}

fn find(configuration: &Configuration, holder: &Holder, fingerprint: &str) -> Result<Hash> {
    let matches = |hash: &&Hash| hash.to_string().starts_with(fingerprint);
    let mut found = keys(configuration, holder).iter().filter(matches);
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

fn list(configuration: &Configuration) -> Vec<Listed> {
    let listed = |team: Option<&Name>, hash: &Hash| Listed {
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

fn show(listed: &[Listed]) -> String {
    let rows = listed.iter().map(|key| {
        let holder = match &key.team {
            Some(team) => format!("team {team}"),
            None => "operator".to_owned(),
        };
        [key.fingerprint.clone(), holder]
    });
    printer::columns(["KEY", "HOLDER"], rows)
}
