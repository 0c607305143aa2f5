//! The configuration that operators have set.

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

/// Where the calls for a queue come in.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The queue.
    pub queue: Name,
    /// The host that calls name, in lower case.
    pub host: String,
    /// What the path begins with.
    pub prefix: String,
    /// Whether calls need no key.
    pub public: bool,
}

/// What a call may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The most bytes of all headers.
    pub header_bytes: usize,
    /// The most bytes of a body.
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

/// All that operators have set.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Its number; later ones are higher.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The team of each key.
    pub keys: BTreeMap<String, Name>,
    /// What a call may hold.
    pub limits: Limits,
    /// The queues and teams.
    pub policy: Policy,
}

impl Configuration {
    /// Returns the route with the longest prefix of `path` on `host`.
    pub fn route(&self, host: &str, path: &str) -> Result<&Route> {
        let host = host.to_ascii_lowercase();
        self.routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
            .ok_or_else(|| Error::new(Kind::NotFound, "there is no such queue"))
    }

    /// Returns the team that a call on `route` counts for; open queues need none.
    pub fn authorize(&self, route: &Route, key: Option<&str>) -> Result<Option<Name>> {
        let tenant = key.and_then(|key| self.keys.get(key)).cloned();
        if tenant.is_none() && !route.public {
            return Err(Error::new(
                Kind::Unauthorized,
                "the key is wrong or withdrawn",
            ));
        }
        Ok(tenant)
    }
}
