//! Reads the audit trail, checks its hash chain and prints the selected entries.

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

/// Selects the entries to print.
#[derive(Debug, Default, clap::Args)]
pub(crate) struct Filter {
    /// Show only entries of this operator, given by the fingerprint of the key.
    #[arg(long)]
    operator: Option<String>,

    /// Show only entries of the edit or plan with this id.
    #[arg(long)]
    id: Option<String>,

    /// Show only entries that changed this item, such as `team/workshop`.
    #[arg(long)]
    item: Option<String>,

    /// Show only entries after this position.
    #[arg(long, default_value_t = 0)]
    after: u64,

    /// Check that the trail contains an entry recorded earlier, given as POSITION:HASH.
    #[arg(long)]
    anchor: Option<Anchor>,
}

/// Reads the whole audit trail, checks it and prints the entries that match the filter.
///
/// # Errors
///
/// Returns [`Kind::Internal`] if the chain is broken or the anchor is missing, after printing.
pub(crate) async fn run(filter: &Filter, client: &Client, arguments: &Arguments) -> Result<()> {
    let (entries, head) = read_all(client).await?;
    let fault = audit::verify(&entries, &head).err();
    let anchor = filter.anchor.as_ref();
    let fault = fault.or_else(|| anchor.and_then(|anchor| anchor.verify(&entries).err()));
    let selected: Vec<_> = entries
        .iter()
        .filter(|entry| filter.matches(entry))
        .collect();
    printer::print(selected.as_slice(), arguments.json, format_entries)?;
    if let Some(fault) = fault {
        let message = format!("the audit trail is broken: {fault}");
        return Err(Error::new(Kind::Internal, message));
    }
    eprintln!(
        "{} entries, chain intact, last {}:{}",
        entries.len(),
        head.sequence.0,
        head.hash
    );
    Ok(())
}

/// Reads all entries of the audit trail, page by page.
async fn read_all(client: &Client) -> Result<(Vec<Entry>, Head)> {
    let mut entries: Vec<Entry> = Vec::new();
    loop {
        let after = entries.last().map_or(Version(0), |entry| entry.sequence);
        let page = client.audit(after).await?;
        let has_progress = page
            .entries
            .first()
            .is_some_and(|entry| entry.sequence > after);
        if !has_progress {
            return Ok((entries, page.head));
        }
        entries.extend(page.entries);
    }
}

impl Filter {
    fn matches(&self, entry: &Entry) -> bool {
        let is_wanted = |wanted: &Option<String>, value: &str| {
            wanted.as_deref().is_none_or(|wanted| wanted == value)
        };
        let item = self.item.as_deref();
        entry.sequence.0 > self.after
            && is_wanted(&self.operator, &entry.operator)
            && is_wanted(&self.id, &entry.id)
            && item.is_none_or(|item| entry.changes.iter().any(|change| change.key == item))
    }
}

/// Formats entries as a table with one row per change.
fn format_entries(entries: &[&Entry]) -> String {
    let rows = entries.iter().flat_map(|entry| {
        entry.changes.iter().map(|change| {
            let at = UNIX_EPOCH + Duration::from_millis(entry.at.0);
            [
                entry.sequence.0.to_string(),
                humantime::format_rfc3339_seconds(at).to_string(),
                entry.operator.clone(),
                entry.intent.clone(),
                format_change(change),
            ]
        })
    });
    printer::format_table(["ENTRY", "TIME", "OPERATOR", "INTENT", "CHANGE"], rows)
}

/// Formats a change as one line.
pub(crate) fn format_change(change: &Change) -> String {
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
    let item = change.before.as_ref().or(change.after.as_ref());
    if let Some(Item::Evacuation(name)) = item {
        let status = match change.after {
            Some(_) => "in use -> evacuated",
            None => "evacuated -> in use",
        };
        return format!("data centre {name}: {status}");
    }
    let format_item = |item: &Option<Item>| match item {
        Some(item) => item.content(),
        None => "nothing".to_owned(),
    };
    format!(
        "{}: {} -> {}",
        change.key,
        format_item(&change.before),
        format_item(&change.after)
    )
}
