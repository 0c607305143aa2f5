//! The configuration that is in force on this VM, and how long ago it was known to be current.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        PoisonError,
        RwLock,
        RwLockReadGuard,
        RwLockWriteGuard, //
    },
    time::Duration,
};

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::{
        Name,
        Version, //
    },
    timer,
    unit::Millis,
};
use basilbridge_operators::{
    audit::Entry,
    configuration::Configuration,
    key::Hash, //
};
use basilbridge_platform::table::Service;

use crate::audit;

/// How long a VM accepts keyed requests after its configuration was last confirmed as current.
///
/// A read of the table service confirms it, by this VM or by a peer at the same version. Together
/// with the poll interval the time stays under the nine seconds in which a change must be in force.
/// See `docs/design/configuration.md`.
pub const MAX_AGE: Duration = Duration::from_secs(5);

/// How long a VM accepts keyed requests after its own last read of the table service, while peers
/// can still read it and confirm the configuration.
///
/// Its session has lapsed by then, and after this time the other VMs stop waiting for it to
/// acknowledge changes.
pub const MAX_READ_AGE: Duration = Duration::from_secs(60);

/// The maximum number of audit entries kept in memory for peers that can't reach the table service.
const MAX_RECENT_ENTRIES: usize = 500;

/// Why no task may be started in a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspension {
    /// Operators have evacuated it.
    Evacuated,
    /// The configuration of this VM may be out of date, so the data centre may be evacuated.
    OutOfDate,
}

struct State {
    configuration: Arc<Configuration>,
    hash: Hash,
    recent: VecDeque<Entry>,
    /// When the last successful read of the table service began, by this VM or a peer.
    confirmed_at: Option<Millis>,
    /// When the last successful read by this VM itself began.
    read_at: Option<Millis>,
    /// Until when keyed requests are accepted because the table service is down for all peers.
    exempt_until: Option<Millis>,
    /// Whether the last read by this VM failed or took too long.
    store_down: bool,
}

/// The configuration that is in force on this VM; its version never decreases.
pub struct ActiveConfiguration {
    state: RwLock<State>,
    timer: timer::Service,
    bootstrap_key: Option<Hash>,
}

impl ActiveConfiguration {
    /// Creates an empty configuration, without any team.
    pub fn new(timer: timer::Service, bootstrap_key: Option<Hash>) -> Self {
        Self {
            state: RwLock::new(State {
                configuration: Arc::default(),
                hash: Hash::zero(),
                recent: VecDeque::new(),
                confirmed_at: None,
                read_at: None,
                exempt_until: None,
                store_down: false,
            }),
            timer,
            bootstrap_key,
        }
    }

    /// Returns the configuration.
    pub fn current(&self) -> Arc<Configuration> {
        Arc::clone(&self.read().configuration)
    }

    /// Applies the audit entries that follow the current version.
    ///
    /// Skips entries that have been applied, and stops at a gap or a broken chain. Returns whether
    /// the last entry has been reached.
    pub fn extend(&self, entries: &[Entry]) -> bool {
        let mut state = self.write();
        let mut next = (*state.configuration).clone();
        for entry in entries {
            if entry.sequence <= next.version {
                continue;
            }
            if entry.verify(next.version, &state.hash).is_err() {
                break;
            }
            next.apply_entry(entry);
            state.hash = entry.hash.clone();
            state.recent.push_back(entry.clone());
            if state.recent.len() > MAX_RECENT_ENTRIES {
                state.recent.pop_front();
            }
        }
        let reached = next.version;
        if reached > state.configuration.version {
            state.configuration = Arc::new(next);
        }
        entries.last().is_none_or(|last| last.sequence <= reached)
    }

    /// Returns the entries after `version`, or `None` if some of them are no longer in memory.
    pub fn entries_after(&self, version: Version) -> Option<Vec<Entry>> {
        let state = self.read();
        if version >= state.configuration.version {
            return Some(Vec::new());
        }
        let first = state.recent.front()?;
        (first.sequence.0 <= version.0 + 1).then(|| {
            let later = state.recent.iter().filter(|entry| entry.sequence > version);
            later.cloned().collect()
        })
    }

    /// Reads the changes from the table service.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::StaleConfiguration`] if the service returns an older version than the one in
    /// force here, which counts as a failed read, and the errors of the table service.
    pub async fn refresh(&self, tables: &Service) -> Result<()> {
        let started_at = self.timer.now();
        let result = self.read_changes(tables).await;
        let mut state = self.write();
        state.store_down = result.is_err();
        if result.is_ok() {
            state.confirmed_at = state.confirmed_at.max(Some(started_at));
            state.read_at = state.read_at.max(Some(started_at));
        }
        result
    }

    async fn read_changes(&self, tables: &Service) -> Result<()> {
        let (head, _) = audit::read_head(tables).await?;
        let version = self.current().version;
        if head.sequence < version {
            let message = "the table service returned an older configuration";
            return Err(Error::new(Kind::StaleConfiguration, message));
        }
        if head.sequence == version {
            return Ok(());
        }
        let entries = audit::entries_after(tables, version).await?;
        if self.extend(&entries) && self.current().version >= head.sequence {
            return Ok(());
        }
        let (configuration, hash) = audit::load_configuration(tables).await?;
        let mut state = self.write();
        if configuration.version > state.configuration.version {
            state.configuration = Arc::new(configuration);
            state.hash = hash;
            state.recent.clear();
        }
        Ok(())
    }

    /// Records a read of the table service that a peer began at `at`, if the peer has our version.
    pub fn record_peer_read(&self, version: Version, at: Millis) {
        let mut state = self.write();
        if version == state.configuration.version {
            state.confirmed_at = state.confirmed_at.max(Some(at));
        }
    }

    /// Accepts keyed requests until [`MAX_AGE`] after `requested_at`, if the table service is down.
    ///
    /// All peers must have answered requests sent after that time that it is down for them too.
    pub fn exempt_from_max_age(&self, requested_at: Millis) {
        let mut state = self.write();
        // A VM that has never had a confirmed configuration has none to apply.
        if state.store_down && state.confirmed_at.is_some() {
            state.exempt_until = Some(requested_at.after(MAX_AGE));
        }
    }

    /// Records that the table service did not answer in time.
    pub fn mark_store_down(&self) {
        self.write().store_down = true;
    }

    /// Returns the time since the configuration was last confirmed, and whether the table service
    /// is down for this VM.
    pub fn age(&self) -> (Option<Duration>, bool) {
        let now = self.timer.now();
        let state = self.read();
        (state.confirmed_at.map(|at| now.since(at)), state.store_down)
    }

    /// Checks that the configuration was confirmed recently enough to accept keyed requests.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::StaleConfiguration`] if it is older than [`MAX_AGE`] or was not read by this
    /// VM for [`MAX_READ_AGE`], and the VM is not exempt.
    pub fn check_freshness(&self) -> Result<()> {
        let now = self.timer.now();
        let state = self.read();
        let is_recent = |at: Option<Millis>, limit| at.is_some_and(|at| now.since(at) < limit);
        let confirmed =
            is_recent(state.confirmed_at, MAX_AGE) && is_recent(state.read_at, MAX_READ_AGE);
        let exempt = state.exempt_until.is_some_and(|until| now < until);
        if confirmed || exempt {
            return Ok(());
        }
        let message = "the configuration of this VM may be out of date, and with it the valid keys";
        Err(Error::new(Kind::StaleConfiguration, message).with_retry_after(MAX_AGE))
    }

    /// Returns why no task may be started in a data centre, or `None` if tasks may be started.
    ///
    /// A change counts as in force on a VM that is cut off once its configuration is out of date,
    /// so an owner must not start tasks after that either.
    pub fn suspension(&self, data_centre: &Name) -> Option<Suspension> {
        if self.current().evacuated.contains(data_centre) {
            return Some(Suspension::Evacuated);
        }
        let is_fresh = self.check_freshness().is_ok();
        (!is_fresh).then_some(Suspension::OutOfDate)
    }

    /// Returns the team of a request for `queue`: the team of the key, or without a key the team
    /// that the queue is open for.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NotFound`] for an unknown queue, [`Kind::Unauthorized`] for a missing or
    /// unknown key, and [`Kind::StaleConfiguration`] if a key can't be checked.
    pub fn team(&self, queue: &str, key: Option<&str>) -> Result<Name> {
        let current = self.current();
        let Some(key) = key else {
            let queue = current.queue(queue).ok_or_else(|| no_queue(queue))?;
            return queue
                .open_for
                .clone()
                .ok_or_else(|| unauthorized("the queue requires a key"));
        };
        self.check_freshness()?;
        current.queue(queue).ok_or_else(|| no_queue(queue))?;
        team_of_key(&current, key)
    }

    /// Returns the team of a key.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Unauthorized`] for a missing or unknown key, and
    /// [`Kind::StaleConfiguration`] if the key can't be checked.
    pub fn team_of_key(&self, key: Option<&str>) -> Result<Name> {
        let key = key.ok_or_else(|| unauthorized("the request has no key"))?;
        self.check_freshness()?;
        team_of_key(&self.current(), key)
    }

    /// Returns the fingerprint of an operator's key.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Unauthorized`] for any other key or none, and
    /// [`Kind::StaleConfiguration`] if the key can't be checked.
    pub fn authorize_operator(&self, key: Option<&str>) -> Result<String> {
        let key = key.ok_or_else(|| unauthorized("the request has no key"))?;
        self.check_freshness()?;
        let current = self.current();
        let hash = Hash::of(key);
        let bootstrap = self
            .bootstrap_key
            .as_ref()
            .filter(|_| current.operator_keys.is_empty())
            .is_some_and(|known| known.matches(&hash));
        if bootstrap || current.is_operator_key(key) {
            Ok(hash.fingerprint())
        } else {
            Err(unauthorized("the key is not an operator key"))
        }
    }

    fn read(&self) -> RwLockReadGuard<'_, State> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> RwLockWriteGuard<'_, State> {
        self.state.write().unwrap_or_else(PoisonError::into_inner)
    }
}

fn no_queue(queue: &str) -> Error {
    Error::new(
        Kind::NotFound,
        format!("the queue `{queue}` does not exist"),
    )
}

fn team_of_key(current: &Configuration, key: &str) -> Result<Name> {
    current
        .team_of_key(key)
        .map(|team| team.name.clone())
        .ok_or_else(|| unauthorized("the key is unknown or withdrawn"))
}

fn unauthorized(message: &str) -> Error {
    Error::new(Kind::Unauthorized, message)
}
