//! Stores the configuration and its audit trail in the table service and the object store.
//!
//! The audit trail is the log of changes, and the items are the state that results. One transaction
//! writes both, so that every change has its entry. A VM that is behind reads the entries that it
//! lacks. A VM that starts, or lacks entries that the table no longer holds, reads the items. See
//! `docs/design/audit.md`.

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
        Entry,
        Head,
        Page, //
    },
    change::Item,
    configuration::Configuration,
    key::Hash,
};
use basilbridge_platform::{
    Platform,
    table::{
        Outcome,
        Precondition,
        Put,
        Query,
        Row,
        Service,
        Transaction, //
    },
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

/// The table that holds the head of the audit trail and the items of the configuration.
pub const TABLE: &str = "configuration";

/// The key of the row that holds the [`Head`] of the audit trail.
pub const HEAD_KEY: &str = "head";

/// The table that holds the newest entries of the audit trail.
pub const AUDIT_TABLE: &str = "audit";

/// The table that maps the ids of applied edits to positions in the audit trail.
pub const EDITS_TABLE: &str = "edits";

/// The number of entries in a segment, which is one object in the object store.
pub const SEGMENT_ENTRIES: u64 = 250;

/// The minimum number of entries that stay in the table when a segment is archived.
pub const KEPT_ENTRIES: u64 = 1000;

const ITEM_PREFIX: &str = "item/";
const MAX_ROWS_PER_SCAN: u32 = 1000;

/// Returns the head of the audit trail and the version of its row.
///
/// Without a row the trail is empty, and the head is the default.
pub async fn read_head(tables: &Service) -> Result<(Head, Version)> {
    let row = tables.get(TABLE, HEAD_KEY).await?;
    let head = match &row.value {
        Some(_) => parse(&row)?,
        None => Head::default(),
    };
    Ok((head, row.version))
}

/// Returns the entries after the position `sequence` that are still in the table.
pub async fn entries_after(tables: &Service, sequence: Version) -> Result<Vec<Entry>> {
    let rows = scan(tables, AUDIT_TABLE, "", Some(entry_key(sequence.0))).await?;
    rows.iter().map(parse).collect()
}

/// Returns the whole configuration and the hash of the last entry that it includes.
///
/// # Errors
///
/// Returns [`Kind::Conflict`] if the entries in the table don't continue the chain.
pub async fn load_configuration(tables: &Service) -> Result<(Configuration, Hash)> {
    let (head, _) = read_head(tables).await?;
    let mut configuration = Configuration {
        version: head.sequence,
        ..Configuration::default()
    };
    let rows = scan(tables, TABLE, ITEM_PREFIX, None).await?;
    let items: Result<Vec<Item>> = rows.iter().map(parse).collect();
    configuration.insert_all(items?);
    // Items may have changed since the head was read. Applying the entries since then brings all of
    // them to one version.
    let mut hash = head.hash;
    for entry in entries_after(tables, head.sequence).await? {
        entry
            .verify(configuration.version, &hash)
            .map_err(|broken| Error::new(Kind::Conflict, broken.to_string()))?;
        configuration.apply_entry(&entry);
        hash = entry.hash;
    }
    Ok((configuration, hash))
}

/// Returns some entries after a position, from the object store if they have been archived.
///
/// # Errors
///
/// Returns [`Kind::NotFound`] if the segment that holds them is missing.
pub async fn read_page(platform: &Platform, after: Version) -> Result<Page> {
    let (head, _) = read_head(&platform.tables).await?;
    let next = after.0 + 1;
    let mut entries: Vec<Entry> = if next < head.first.0 {
        let first = after.0 / SEGMENT_ENTRIES * SEGMENT_ENTRIES + 1;
        let key = segment_key(first);
        let missing = || Error::new(Kind::NotFound, format!("the object {key} does not exist"));
        let body = platform
            .objects
            .get(key.clone())
            .await?
            .ok_or_else(missing)?;
        serde_json::from_slice(&body).map_err(|error| {
            Error::new(
                Kind::Truncated,
                format!("the object {key} is malformed: {error}"),
            )
        })?
    } else {
        entries_after(&platform.tables, after).await?
    };
    // Entries added since the head was read are left to a later page.
    entries.retain(|entry| entry.sequence > after && entry.sequence <= head.sequence);
    Ok(Page { entries, head })
}

/// Returns the position in the audit trail of the applied edit with this id, if there is one.
pub async fn find_edit(tables: &Service, id: &str) -> Result<Option<Version>> {
    let row = tables.get(EDITS_TABLE, id).await?;
    row.value.as_ref().map(|_| parse(&row)).transpose()
}

/// Writes entries and the items that they change if the row of the head still has this version.
///
/// # Errors
///
/// Returns [`Kind::Internal`] if there are no entries.
pub async fn append(
    tables: &Service,
    write_id: String,
    (head, head_version): (&Head, Version),
    entries: &[Entry],
) -> Result<Outcome> {
    let Some(last) = entries.last() else {
        return Err(Error::new(
            Kind::Internal,
            "there are no audit entries to write",
        ));
    };
    let mut transaction = Transaction {
        write_id,
        checks: vec![check(TABLE, HEAD_KEY.to_owned(), head_version)],
        puts: Vec::new(),
    };
    for entry in entries {
        let id = entry.id.to_string();
        let checks = &mut transaction.checks;
        checks.push(check(EDITS_TABLE, id.clone(), Version(0)));
        let puts = &mut transaction.puts;
        puts.push(put(EDITS_TABLE, id, &entry.sequence)?);
        puts.push(put(AUDIT_TABLE, entry_key(entry.sequence.0), entry)?);
        for change in &entry.changes {
            let key = format!("{ITEM_PREFIX}{}", change.key);
            // A later entry of the same transaction overrides earlier changes of the item.
            puts.retain(|put| *put.table != *TABLE || put.key != key);
            puts.push(match &change.after {
                Some(item) => put(TABLE, key, item)?,
                None => delete(TABLE, key),
            });
        }
    }
    let next = Head {
        sequence: last.sequence,
        hash: last.hash.clone(),
        first: head.first,
    };
    transaction
        .puts
        .push(put(TABLE, HEAD_KEY.to_owned(), &next)?);
    tables.transact(transaction).await
}

/// Moves the oldest [`SEGMENT_ENTRIES`] entries from the table to the object store, if
/// [`KEPT_ENTRIES`] stay in the table; returns whether it did.
///
/// The object is written before the rows are deleted, so that each entry is always in one of the
/// two places. The ids of the segment's edits are deleted with the rows.
pub async fn archive_segment(platform: &Platform, write_id: String) -> Result<bool> {
    let (head, head_version) = read_head(&platform.tables).await?;
    if head.sequence.0 + 1 - head.first.0 < KEPT_ENTRIES + SEGMENT_ENTRIES {
        return Ok(false);
    }
    let mut segment = entries_after(&platform.tables, Version(head.first.0 - 1)).await?;
    segment.truncate(SEGMENT_ENTRIES as usize);
    let body = serde_json::to_vec(&segment)
        .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
    let key = segment_key(head.first.0);
    platform.objects.put(key, body.into()).await?;
    let next = Head {
        first: Version(head.first.0 + SEGMENT_ENTRIES),
        ..head
    };
    let mut puts = vec![put(TABLE, HEAD_KEY.to_owned(), &next)?];
    for entry in &segment {
        puts.push(delete(AUDIT_TABLE, entry_key(entry.sequence.0)));
        puts.push(delete(EDITS_TABLE, entry.id.to_string()));
    }
    let transaction = Transaction {
        write_id,
        checks: vec![check(TABLE, HEAD_KEY.to_owned(), head_version)],
        puts,
    };
    let outcome = platform.tables.transact(transaction).await?;
    Ok(matches!(outcome, Outcome::Committed(_)))
}

fn entry_key(sequence: u64) -> String {
    format!("{sequence:020}")
}

fn segment_key(first: u64) -> String {
    format!("audit-{first:020}")
}

fn check(table: &str, key: String, version: Version) -> Precondition {
    Precondition {
        table: table.into(),
        key,
        version,
    }
}

fn put<T: Serialize>(table: &str, key: String, value: &T) -> Result<Put> {
    let value = serde_json::to_string(value)
        .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
    Ok(Put {
        table: table.into(),
        key,
        value: Some(value),
    })
}

fn delete(table: &str, key: String) -> Put {
    Put {
        table: table.into(),
        key,
        value: None,
    }
}

/// Returns all rows of a table whose keys start with `prefix` and sort after `after`.
async fn scan(
    tables: &Service,
    table: &str,
    prefix: &str,
    mut after: Option<String>,
) -> Result<Vec<Row>> {
    let mut rows = Vec::new();
    loop {
        let query = Query {
            table: table.into(),
            prefix: prefix.to_owned(),
            after: after.clone(),
            limit: MAX_ROWS_PER_SCAN,
        };
        let page = tables.scan(query).await?;
        let is_full = page.len() == MAX_ROWS_PER_SCAN as usize;
        after = page.last().map(|row| row.key.clone());
        rows.extend(page);
        if !is_full {
            return Ok(rows);
        }
    }
}

fn parse<T: DeserializeOwned>(row: &Row) -> Result<T> {
    serde_json::from_str(row.value.as_deref().unwrap_or_default()).map_err(|error| {
        Error::new(
            Kind::Internal,
            format!("the row {} is malformed: {error}", row.key),
        )
    })
}
