//! Reads the audit trail, checks its chain and shows what is asked for.

use std::time::{
    Duration,
    UNIX_EPOCH, //
};

use basilbridge::client::Client;
use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::Version,
};
use basilbridge_operators::{
    audit::{
        self,
        Anchor,
        Entry,
        Head, //
    },
    change::{
        Change,
        Item, //
    },
};

use crate::{
    clap_app::Arguments,
    printer, //
};

/// Which entries to show.
#[derive(Debug, Default, clap::Args)]
pub(crate) struct Filter {
    /// Only of this operator, by the fingerprint of the key.
    #[arg(long)]
    operator: Option<String>,

    /// Only of this edit or plan.
    #[arg(long)]
    id: Option<String>,

    /// Only what changed this thing, such as `team/workshop`.
    #[arg(long)]
    item: Option<String>,

    /// Only entries after this position.
    #[arg(long, default_value_t = 0)]
    after: u64,

    /// Check that the trail still holds an entry noted down earlier, as POSITION:HASH.
    #[arg(long)]
    anchor: Option<Anchor>,
}

/// Reads the whole trail, checks it and prints the entries that pass the filter.
pub(crate) async fn run(filter: &Filter, client: &Client, arguments: &Arguments) -> Result<()> {
    let (entries, head) = read(client).await?;
    let fault = audit::verify(&entries, &head).err();
    let anchor = filter.anchor.as_ref();
    let fault = fault.or_else(|| anchor.and_then(|anchor| anchor.verify(&entries).err()));
    let shown: Vec<_> = entries.iter().filter(|entry| filter.takes(entry)).collect();
    printer::print(shown.as_slice(), arguments.json, show)?;
    if let Some(fault) = fault {
        let message = format!("the audit trail is broken: {fault}");
        return Err(Error::new(Kind::Internal, message));
    }
    eprintln!(
        "{} entries, chain whole, last {}:{}",
        entries.len(),
        head.sequence.0,
        head.hash
    );
    Ok(())
}

async fn read(client: &Client) -> Result<(Vec<Entry>, Head)> {
    let mut entries: Vec<Entry> = Vec::new();
    loop {
        let after = entries.last().map_or(Version(0), |entry| entry.sequence);
        let page = client.audit(after).await?;
        let forward = page
            .entries
            .first()
            .is_some_and(|entry| entry.sequence > after);
        if !forward {
            return Ok((entries, page.head));
        }
        entries.extend(page.entries);
    }
}

impl Filter {
    fn takes(&self, entry: &Entry) -> bool {
        let is = |wanted: &Option<String>, value: &str| {
            wanted.as_deref().is_none_or(|wanted| wanted == value)
        };
        let item = self.item.as_deref();
        entry.sequence.0 > self.after
            && is(&self.operator, &entry.operator)
            && is(&self.id, &entry.id)
            && item.is_none_or(|item| entry.changes.iter().any(|change| change.key == item))
    }
}

fn show(entries: &[&Entry]) -> String {
    let rows = entries.iter().flat_map(|entry| {
        entry.changes.iter().map(|change| {
            let at = UNIX_EPOCH + Duration::from_millis(entry.at.0);
            [
                entry.sequence.0.to_string(),
                humantime::format_rfc3339_seconds(at).to_string(),
                entry.operator.clone(),
                entry.intent.clone(),
                describe(change),
            ]
        })
    });
    printer::columns(["ENTRY", "TIME", "OPERATOR", "INTENT", "CHANGE"], rows)
}

/// Shows a change in a line.
pub(crate) fn describe(change: &Change) -> String {
    if let Some(Item::Key(_, hash)) = change.before.as_ref().or(change.after.as_ref()) {
        let verb = if change.after.is_some() {
            "given"
        } else {
            "withdrawn"
        };
        let holder = change.key.rsplit_once('/').map_or("", |(_, holder)| holder);
        let holder = if change.key.matches('/').count() == 2 {
            holder
        } else {
            "operators"
        };
        return format!("key {} {verb}, {holder}", hash.fingerprint());
    }
    let text = |item: &Option<Item>| match item {
        Some(item) => item.content(),
        None => "nothing".to_owned(),
    };
    format!(
        "{}: {} -> {}",
        change.key,
        text(&change.before),
        text(&change.after)
    )
}
