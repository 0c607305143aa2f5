//! The rows that hold the progress of a job which outgrows one row.
//!
//! The job's row in the progress table becomes a head that names its segments. Each segment has two
//! possible rows, of which the head names one, and the digest of its content. A change that fits into
//! one call overwrites the rows of the changed segments together with the head. A larger one is first
//! written to their other rows, which nobody reads before the head names them. See
//! `docs/design/segments.md`.

use std::collections::VecDeque;

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::Name,
};
use basilbridge_derives::data;
use basilbridge_platform::table::Put;
use basilbridge_workflow::{
    job::{
        Spec,
        State, //
    },
    packed::Packed,
    progress::{
        self,
        Progress, //
    },
    segment::{
        self,
        Start, //
    },
};
use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest as _,
    Sha256, //
};

use crate::{
    packing,
    record::{
        self,
        PROGRESS_TABLE,
        SEGMENT_TABLE, //
    },
};

/// How many times as long as a row a text may be that is tried to be compressed into one. Texts of
/// random checkpoints shrink to less than half.
const MAX_COMPRESSION: usize = 4;

/// What the head takes for a segment at most, compressed, in bytes. Of these, twelve are a digest.
const HEAD_ENTRY_BYTES: usize = 28;

/// What a task takes in a segment at most, compressed, in bytes: the longest checkpoint, and failed
/// runs, crashes and placements, in which the names of few workers recur.
const TASK_BYTES: usize = progress::MAX_CHECKPOINT_BYTES / 3 * 4 + 60;

/// Checks that the progress of a job can always be stored in rows that take `max_row_bytes`, whatever
/// becomes of its tasks.
///
/// # Errors
///
/// Returns [`Kind::TooLarge`] if it may not fit.
pub fn check(spec: &Spec, max_row_bytes: usize) -> Result<()> {
    let tasks: u64 = spec.steps.iter().map(|step| u64::from(step.count)).sum();
    let tasks = tasks.saturating_mul(spec.occurrences().into());
    // A segment that is halved leaves its row half empty.
    let capacity = (max_row_bytes / HEAD_ENTRY_BYTES) * (max_row_bytes / 2);
    match tasks.saturating_mul(TASK_BYTES as u64) <= capacity as u64 {
        true => Ok(()),
        false => {
            let message = format!(
                "the job has too many tasks for rows of {max_row_bytes} bytes: {tasks}, at most {}",
                capacity / TASK_BYTES
            );
            Err(Error::new(Kind::TooLarge, message))
        }
    }
}

/// The stored form of a [`Segment`], which is as short as it can be.
type Short = (usize, u32, u32, bool, u64);

impl From<Short> for Segment {
    fn from((stage, index, id, second, digest): Short) -> Self {
        Self {
            start: Start { stage, index },
            id,
            second,
            digest,
        }
    }
}

impl From<Segment> for Short {
    fn from(segment: Segment) -> Self {
        let Start { stage, index } = segment.start;
        (stage, index, segment.id, segment.second, segment.digest)
    }
}

/// A segment, as the head names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Short", into = "Short")]
pub struct Segment {
    /// Its first task.
    pub start: Start,
    /// Its number in the job.
    pub id: u32,
    /// Which of its two rows is in use.
    pub second: bool,
    /// The digest of its content, which tells whether the row belongs to the head.
    pub digest: u64,
}

/// The row of a job whose progress is in segments.
#[data]
pub struct Head {
    /// State of the job.
    pub state: State,
    /// Its segments, in the order of their first tasks.
    pub segments: Vec<Segment>,
}

impl Head {
    /// Returns the progress that the segments hold together. `find` returns the value of a row of the
    /// segment table.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`] if a row is missing or belongs to another head.
    pub fn assemble<'a>(
        &self,
        job: &str,
        find: impl Fn(&str) -> Option<&'a str>,
    ) -> Result<Progress> {
        let mut parts = Vec::with_capacity(self.segments.len());
        for segment in &self.segments {
            let key = key(job, segment.id, segment.second);
            let invalid = |what: &str| Error::new(Kind::Internal, format!("segment {key} {what}"));
            let value = find(&key).ok_or_else(|| invalid("is missing"))?;
            let text = packing::unpack(value)?;
            if digest(&text) != segment.digest {
                return Err(invalid("belongs to another version"));
            }
            parts.push(record::decode::<Packed>(&text)?.into());
        }
        let state = self.state;
        Ok(Progress {
            state,
            ..segment::merge(parts)
        })
    }
}

/// Returns the key of a row of a segment.
pub fn key(job: &str, id: u32, second: bool) -> String {
    format!("{job}/{id}/{}", u8::from(second))
}

/// Returns the job and the number of the segment to which a row belongs.
pub fn parse_key(key: &str) -> Option<(&str, u32)> {
    let mut parts = key.rsplitn(3, '/');
    parts.next()?;
    let id = parts.next()?.parse().ok()?;
    Some((parts.next()?, id))
}

fn digest(text: &str) -> u64 {
    let digest: [u8; 32] = Sha256::digest(text.as_bytes()).into();
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}

/// The segments of a job as they are stored; none if its progress is in a single row.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Layout {
    segments: Vec<Segment>,
}

impl From<&Head> for Layout {
    fn from(head: &Head) -> Self {
        Self {
            segments: head.segments.clone(),
        }
    }
}

impl Layout {
    /// Returns the segments in the order of their first tasks.
    pub fn segments(&self) -> &[Segment] {
        &self.segments
    }

    /// Returns a number that no segment has, nor any after it.
    pub fn next_id(&self) -> u32 {
        let ids = self.segments.iter().map(|segment| segment.id);
        ids.max().map_or(0, |id| id + 1)
    }
}

/// A write of the progress of a job in the making.
#[derive(Debug)]
pub struct Draft {
    stored: Layout,
    state: State,
    max_row_bytes: usize,
    next_id: u32,
    /// Segments that are still to be encoded, in order, with their progress.
    pending: VecDeque<(Segment, Progress)>,
    segments: Vec<Segment>,
    /// The changed segments by their index, with the values of their rows.
    changed: Vec<(usize, String)>,
}

impl Draft {
    /// Creates the write that replaces what is stored by `progress`, in rows that take
    /// `max_row_bytes`.
    pub fn new(stored: &Layout, progress: &Progress, max_row_bytes: usize) -> Self {
        let mut segments = stored.segments.clone();
        let mut next_id = stored.next_id();
        if segments.is_empty() {
            segments.push(new_segment(Start::default(), next_id));
            next_id += 1;
        }
        let starts: Vec<Start> = segments.iter().map(|segment| segment.start).collect();
        let parts = segment::split(progress, &starts);
        Self {
            stored: stored.clone(),
            state: progress.state,
            max_row_bytes,
            next_id,
            pending: segments.into_iter().zip(parts).collect(),
            segments: Vec::new(),
            changed: Vec::new(),
        }
    }

    /// Encodes the next segment, or halves it if it does not fit into a row. Returns whether more are
    /// left. Each step takes little time, whatever the size of the job.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::TooLarge`] if the progress of a single task does not fit into a row.
    pub fn advance(&mut self) -> Result<bool> {
        let Some((mut segment, progress)) = self.pending.pop_front() else {
            return Ok(false);
        };
        let text = record::encode(&Packed::from(&progress))?;
        let digest = digest(&text);
        if self
            .stored
            .segments
            .contains(&Segment { digest, ..segment })
        {
            segment.digest = digest;
            self.segments.push(segment);
            return Ok(!self.pending.is_empty());
        }
        let packed = match text.len() > self.max_row_bytes * MAX_COMPRESSION {
            true => Err(Error::new(Kind::TooLarge, "a segment is too large")),
            false => packing::pack(text, self.max_row_bytes),
        };
        match packed {
            Ok(value) => {
                segment.digest = digest;
                self.changed.push((self.segments.len(), value));
                self.segments.push(segment);
            }
            Err(error) => {
                let middle = segment::middle(&progress).ok_or(error)?;
                let second = new_segment(middle, self.next_id);
                self.next_id += 1;
                let halves = segment::split(&progress, &[segment.start, middle]);
                let halves: Vec<_> = [segment, second].into_iter().zip(halves).collect();
                for half in halves.into_iter().rev() {
                    self.pending.push_front(half);
                }
            }
        }
        Ok(!self.pending.is_empty())
    }

    /// Writes the changed segments to the rows that what is stored does not use.
    pub fn relocate(&mut self) {
        for (index, _) in &self.changed {
            let segment = &mut self.segments[*index];
            let stored = &self.stored.segments;
            let stored = stored.iter().find(|stored| stored.id == segment.id);
            segment.second = stored.is_some_and(|stored| !stored.second);
        }
    }

    /// Returns the rows of the changed segments.
    pub fn segment_rows(&self, job: &Name) -> Vec<Put> {
        let rows = self.changed.iter().map(|(index, value)| {
            let segment = &self.segments[*index];
            Put {
                table: SEGMENT_TABLE.into(),
                key: key(job, segment.id, segment.second),
                value: Some(value.clone()),
            }
        });
        rows.collect()
    }

    /// Returns the row that names the segments.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::TooLarge`] if there are too many.
    pub fn head_row(&self, job: &Name) -> Result<Put> {
        let head = Head {
            state: self.state,
            segments: self.segments.clone(),
        };
        Ok(Put {
            table: PROGRESS_TABLE.into(),
            key: job.to_string(),
            value: Some(record::encode_head(&head, self.max_row_bytes)?),
        })
    }

    /// Returns the segments that are stored once the head is.
    pub fn layout(&self) -> Layout {
        Layout {
            segments: self.segments.clone(),
        }
    }
}

fn new_segment(start: Start, id: u32) -> Segment {
    Segment {
        start,
        id,
        second: false,
        digest: 0,
    }
}
