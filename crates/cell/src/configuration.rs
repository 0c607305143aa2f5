//! The configuration that operators write to the store.

use std::collections::BTreeMap;

use basilbridge_common::{
    error::{
        Error,
        Kind,
        Result, //
    },
    id::Name,
};
use basilbridge_workflow::policy::Policy;

/// The host and path prefix under which calls for a queue arrive.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The queue.
    pub queue: Name,
    /// The host name in calls, in lower case.
    pub host: String,
    /// The prefix of the path, before the name of the job.
    pub prefix: String,
    /// Whether calls are accepted without a key.
    pub public: bool,
}

/// Size limits of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of all headers, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a body, in bytes.
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
        }
    }
}

/// A version of the configuration that operators have set.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// The version number, which grows with each change; zero stands for no configuration.
    pub version: u64,
    /// The routes of calls to queues.
    pub routes: Vec<Route>,
    /// The team of each key.
    pub keys: BTreeMap<String, Name>,
    /// Size limits of calls.
    pub limits: Limits,
    /// The scheduling settings of queues and teams.
    pub policy: Policy,
}

impl Configuration {
    /// Returns the route on `host` with the longest prefix that matches `path`, or a
    /// [`Kind::NotFound`] error.
    pub fn route(&self, host: &str, path: &str) -> Result<&Route> {
        let host = host.to_ascii_lowercase();
        self.routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
            .ok_or_else(|| Error::new(Kind::NotFound, "there is no such queue"))
    }

    /// Returns the team whose key came with a call on `route`.
    ///
    /// Returns `None` on a public route if the key is missing or unknown, and a
    /// [`Kind::Unauthorized`] error on any other route.
    pub fn authorize(&self, route: &Route, key: Option<&str>) -> Result<Option<Name>> {
        let team = key.and_then(|key| self.keys.get(key)).cloned();
        if team.is_none() && !route.public {
            return Err(Error::new(
                Kind::Unauthorized,
                "the key is wrong or withdrawn",
            ));
        }
        Ok(team)
    }
}
