//! The rows that hold the names of the workers, however many there are.
//!
//! One row takes the names of some 2,000 workers. Those of more are spread over several rows, of which
//! a change of one worker rewrites one. All are written by one call. See `docs/design/roster.md`.

use basilbridge_common::{
    error::{
        Kind,
        Result, //
    },
    id::Name,
};
use basilbridge_derives::data;
use basilbridge_platform::table::Put;
use basilbridge_workflow::roster::Roster;

use crate::{
    election, packing,
    record::{
        self,
        JOINED_KEY,
        ROSTER_TABLE, //
    },
};

/// The most rows beside the first one: each change is written by one call, which takes a hundred
/// entries.
const MAX_ROWS: usize = 64;

/// The content of the first row if the names are in others. An earlier version of this program can't
/// decode it, and then waits for all leases.
#[data]
struct Head {
    rows: usize,
}

/// A part of a roster.
#[data]
#[derive(Default)]
struct Part {
    names: Vec<Name>,
    joined: Vec<Name>,
}

/// The rows beside the first one, as text before it is compressed; none while a single row takes all
/// names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rows(Vec<String>);

/// A write of a roster.
#[derive(Debug)]
pub struct Write {
    /// The content of the first row.
    pub head: String,
    /// The other rows that change.
    pub others: Vec<Put>,
    /// What is stored once the write is.
    pub rows: Rows,
}

impl Rows {
    /// Returns how many rows there are.
    pub fn count(&self) -> usize {
        self.0.len()
    }
}

/// Returns the write that replaces `stored` by `roster`, in rows that take `max_bytes`. All rows are
/// written if it is not known what is stored.
///
/// # Errors
///
/// Returns [`Kind::TooLarge`] if the names take too many rows.
pub fn encode(roster: &Roster, stored: Option<&Rows>, max_bytes: usize) -> Result<Write> {
    let names = record::encode(&roster.names)?;
    let joined = record::encode(&roster.joined)?;
    if names.len() <= max_bytes && joined.len() <= max_bytes {
        return Ok(Write {
            head: names,
            others: vec![election::put(JOINED_KEY, joined)],
            rows: Rows::default(),
        });
    }
    let mut count = stored.map_or(0, Rows::count).max(2);
    loop {
        let parts = cut(roster, count);
        let texts: Result<Vec<String>> = parts.iter().map(record::encode).collect();
        let rows = Rows(texts?);
        let is_known = |index: &usize| {
            let stored = stored.filter(|stored| stored.count() == count);
            stored.is_some_and(|stored| stored.0[*index] == rows.0[*index])
        };
        let changed = (0..count).filter(|index| !is_known(index));
        let puts = changed.map(|index| {
            let value = packing::pack(rows.0[index].clone(), max_bytes)?;
            Ok(put(index, Some(value)))
        });
        match puts.collect::<Result<Vec<Put>>>() {
            Err(error) if error.kind == Kind::TooLarge && count < MAX_ROWS => count *= 2,
            Err(error) => return Err(error),
            Ok(mut others) => {
                others.push(election::put(JOINED_KEY, "[]".to_owned()));
                let head = record::encode(&Head { rows: count })?;
                return Ok(Write { head, others, rows });
            }
        }
    }
}

/// Returns the writes that remove the rows from `first` to before `end`.
pub fn removals(first: usize, end: usize) -> impl Iterator<Item = Put> {
    (first..end).map(|index| put(index, None))
}

fn put(index: usize, value: Option<String>) -> Put {
    Put {
        table: ROSTER_TABLE.into(),
        key: key(index),
        value,
    }
}

/// Returns the key of a row beside the first one.
fn key(index: usize) -> String {
    format!("{index:02}")
}

/// Spreads a roster over so many parts. The part of a name depends on nothing but the name.
fn cut(roster: &Roster, count: usize) -> Vec<Part> {
    let mut parts = vec![Part::default(); count];
    let part_of = |name: &Name| {
        let hash = name.bytes().fold(0_u32, |hash, byte| {
            hash.wrapping_mul(31).wrapping_add(u32::from(byte))
        });
        hash as usize % count
    };
    for name in &roster.names {
        parts[part_of(name)].names.push(name.clone());
    }
    for name in &roster.joined {
        parts[part_of(name)].joined.push(name.clone());
    }
    parts
}

/// Returns how many rows hold the names beside the first one, whose content is `head`.
pub fn row_count(head: &str) -> usize {
    record::decode::<Head>(head).map_or(0, |head| head.rows)
}

/// Reads the roster that is spread over `count` rows, which `find` returns by key.
///
/// # Errors
///
/// Returns an error if a row is missing or can't be decoded.
pub fn read<'a>(count: usize, find: impl Fn(&str) -> Option<&'a str>) -> Result<(Roster, Rows)> {
    let (mut roster, mut texts) = (Roster::default(), Vec::with_capacity(count));
    for index in 0..count {
        let value = find(&key(index)).unwrap_or_default();
        let text = packing::unpack(value)?.into_owned();
        let part: Part = record::decode(&text)?;
        roster.names.extend(part.names);
        roster.joined.extend(part.joined);
        texts.push(text);
    }
    roster.names.sort_unstable();
    roster.joined.sort_unstable();
    Ok((roster, Rows(texts)))
}
