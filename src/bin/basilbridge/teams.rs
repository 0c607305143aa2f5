//! Lists the teams.

use basilbridge::client::Client;
use basilbridge_common::error::Result;
use basilbridge_operators::configuration::Team;

use crate::{
    clap_app::Arguments,
    printer, //
};

/// Prints the teams with their shares and limits.
pub(crate) async fn run(client: &Client, arguments: &Arguments) -> Result<()> {
    let configuration = client.configuration().await?;
    printer::print(configuration.teams.as_slice(), arguments.json, format_teams)
}

/// Formats teams as a table.
fn format_teams(teams: &[Team]) -> String {
    let rows = teams.iter().map(|team| {
        let limit = team.limit.as_ref();
        [
            team.name.to_string(),
            team.share.to_string(),
            limit.map_or_else(|| "none".to_owned(), printer::format_resources),
            team.keys.len().to_string(),
        ]
    });
    printer::format_table(["TEAM", "SHARE", "LIMIT", "KEYS"], rows)
}
