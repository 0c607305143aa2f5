//! The configuration that this VM acts on, and how fresh it is.

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

/// How long a VM takes keyed work without word from the table service or from a peer that has it.
///
/// Together with the poll interval it stays under the nine seconds in which a change must be in
/// force. See `docs/design/configuration.md`.
pub const MAX_AGE: Duration = Duration::from_secs(5);

/// How long a VM may live by the word of peers alone while the table service is up for them.
///
/// Its session has lapsed by then, and the others stop to wait for it after this time.
pub const MAX_READ_AGE: Duration = Duration::from_secs(60);

/// How many of the last entries are kept in memory for peers that can't reach the table service.
const RECENT_ENTRIES: usize = 500;

struct State {
    configuration: Arc<Configuration>,
    hash: Hash,
    recent: VecDeque<Entry>,
    /// When the table service was asked for the last answer that we know of.
    heard: Option<Millis>,
    /// The same, of the answers that came to this VM itself.
    read: Option<Millis>,
    /// Until when keyed work goes on because the table service is down for all peers.
    exempt_until: Option<Millis>,
    store_down: bool,
}

/// The configuration that this VM acts on; its version only grows.
pub struct ActiveConfiguration {
    state: RwLock<State>,
    timer: timer::Service,
    bootstrap_key: Option<Hash>,
}

impl ActiveConfiguration {
    /// Starts without any team.
    pub fn new(timer: timer::Service, bootstrap_key: Option<Hash>) -> Self {
        Self {
            state: RwLock::new(State {
                configuration: Arc::default(),
                hash: Hash::zero(),
                recent: VecDeque::new(),
                heard: None,
                read: None,
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

    /// Takes over the entries that follow from the present configuration.
    ///
    /// Entries that are known already are passed over. It returns whether no gap or fault was met.
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
            if state.recent.len() > RECENT_ENTRIES {
                state.recent.pop_front();
            }
        }
        let reached = next.version;
        if reached > state.configuration.version {
            state.configuration = Arc::new(next);
        }
        entries.last().is_none_or(|last| last.sequence <= reached)
    }

    /// Returns the entries after a version, or nothing where memory does not reach back so far.
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

    /// Reads what has changed from the table service.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::StaleConfiguration`] if the service answers with an older version than this
    /// VM has acted on, which counts as no word at all.
    pub async fn refresh(&self, tables: &Service) -> Result<()> {
        let asked = self.timer.now();
        let result = self.catch_up(tables).await;
        let mut state = self.write();
        state.store_down = result.is_err();
        if result.is_ok() {
            state.heard = state.heard.max(Some(asked));
            state.read = state.read.max(Some(asked));
        }
        result
    }

    async fn catch_up(&self, tables: &Service) -> Result<()> {
        let (head, _) = audit::read_head(tables).await?;
        let version = self.current().version;
        if head.sequence < version {
            let message = "the table service answered with an older configuration";
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

    /// Takes note that a peer at the same version had word from the table service at `at`.
    pub fn record_peer_read(&self, version: Version, at: Millis) {
        let mut state = self.write();
        if version == state.configuration.version {
            state.heard = state.heard.max(Some(at));
        }
    }

    /// Goes on with keyed work, since all peers said after `asked` that the service is down.
    pub fn exempt_from_max_age(&self, asked: Millis) {
        let mut state = self.write();
        // A VM that never read a configuration has nothing to act on.
        if state.store_down && state.heard.is_some() {
            state.exempt_until = Some(asked.after(MAX_AGE));
        }
    }

    /// Takes note that the table service did not answer in time.
    pub fn mark_store_down(&self) {
        self.write().store_down = true;
    }

    /// Returns the time since the last word from the table service, and whether it is down for us.
    pub fn age(&self) -> (Option<Duration>, bool) {
        let now = self.timer.now();
        let state = self.read();
        (state.heard.map(|heard| now.since(heard)), state.store_down)
    }

    /// Refuses if the configuration may be older than [`MAX_AGE`].
    pub fn expect_fresh(&self) -> Result<()> {
        let now = self.timer.now();
        let state = self.read();
        let within = |at: Option<Millis>, limit| at.is_some_and(|at| now.since(at) < limit);
        let heard = within(state.heard, MAX_AGE) && within(state.read, MAX_READ_AGE);
        let exempt = state.exempt_until.is_some_and(|until| now < until);
        if heard || exempt {
            return Ok(());
        }
        let message = "this VM has not heard for too long which keys are valid";
        Err(Error::new(Kind::StaleConfiguration, message).with_retry_after(MAX_AGE))
    }

    /// Returns the team that work in `queue` with this key is for.
    pub fn team(&self, queue: &str, key: Option<&str>) -> Result<Name> {
        let current = self.current();
        let Some(key) = key else {
            let queue = current.queue(queue).ok_or_else(|| no_queue(queue))?;
            return queue
                .open_for
                .clone()
                .ok_or_else(|| unauthorized("the queue takes no work without a key"));
        };
        self.expect_fresh()?;
        current.queue(queue).ok_or_else(|| no_queue(queue))?;
        team_of_key(&current, key)
    }

    /// Returns the team of a key, for a request that concerns a job.
    pub fn team_of_key(&self, key: Option<&str>) -> Result<Name> {
        let key = key.ok_or_else(|| unauthorized("the request has no key"))?;
        self.expect_fresh()?;
        team_of_key(&self.current(), key)
    }

    /// Returns the fingerprint of a key if it is an operator's.
    pub fn authorize_operator(&self, key: Option<&str>) -> Result<String> {
        let key = key.ok_or_else(|| unauthorized("the request has no key"))?;
        self.expect_fresh()?;
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
            Err(unauthorized("the key is not an operator's"))
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
    Error::new(Kind::NotFound, format!("there is no queue `{queue}`"))
}

fn team_of_key(current: &Configuration, key: &str) -> Result<Name> {
    current
        .team_of_key(key)
        .map(|team| team.name.clone())
        .ok_or_else(|| unauthorized("the key is wrong or withdrawn"))
}

fn unauthorized(message: &str) -> Error {
    Error::new(Kind::Unauthorized, message)
}
