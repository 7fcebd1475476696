//! Authenticates callers by the request's key and the age of the node's configuration.
//!
//! Limits how long a revoked key is accepted by a node that no longer receives updates.

use std::sync::Arc;
use std::time::Duration;

use crate::{CallerKey, Route, RouteTable, Team};

/// Fraction of the revocation bound for which a node accepts keys without an update. A watch may
/// miss changes for a second before it notices, and a store call takes time to return.
const KEYS_ACCEPTED_FRACTION: f64 = 0.8;

/// Fraction of the bound after which a node reports that it is not ready, so that callers have
/// moved to other nodes before it stops accepting keys.
const READY_FRACTION: f64 = 0.6;

/// Age of the configuration above which an unknown key may have been added since.
const FRESH_CONFIG_AGE: Duration = Duration::from_millis(1_000);

/// Who sent a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller {
    /// Anyone: no key is required.
    Anonymous,
    /// A team.
    Team(Arc<Team>),
}

impl Caller {
    /// The team; `None` for an anonymous caller.
    pub fn team(&self) -> Option<&Arc<Team>> {
        match self {
            Self::Anonymous => None,
            Self::Team(team) => Some(team),
        }
    }
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessDenied {
    /// The request has no valid key.
    NoKey {
        /// Whether the next update of the configuration might contain the key.
        may_be_new: bool,
    },
    /// The configuration is too old for keys to be accepted.
    Stale,
}

/// How long keys are accepted without an update of the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccessRules {
    /// Longest time for which a revoked key may be accepted; `None` for no limit.
    pub revocation: Option<Duration>,
}

impl AccessRules {
    /// Identifies the sender of a request with `key`. `data_age` is the time since the node
    /// requested the configuration that it read last.
    ///
    /// # Errors
    ///
    /// [`AccessDenied`] if the request must not be served.
    ///
    /// ```
    /// use std::time::Duration;
    /// use nutmegsail_relay::{AccessDenied, AccessRules, Caller, CallerKey, Teams};
    /// let rules = AccessRules { revocation: Some(Duration::from_secs(5)) };
    /// let (teams, now) = (Teams::default(), Duration::ZERO);
    /// let key = CallerKey::Absent;
    /// assert_eq!(rules.caller(None, false, &key, now), Ok(Caller::Anonymous));
    /// assert_eq!(
    ///     rules.caller(Some(&teams), false, &key, now),
    ///     Err(AccessDenied::NoKey { may_be_new: false }),
    /// );
    /// ```
    pub fn caller(
        &self,
        teams: Option<&crate::Teams>,
        allows_anonymous: bool,
        key: &CallerKey,
        data_age: Duration,
    ) -> Result<Caller, AccessDenied> {
        let Some(teams) = teams else {
            return Ok(Caller::Anonymous);
        };
        let is_stale = !self.accepts_keys(data_age);
        let denied = match key {
            CallerKey::Absent | CallerKey::Malformed => AccessDenied::NoKey { may_be_new: false },
            CallerKey::Given(_) if is_stale => AccessDenied::Stale,
            CallerKey::Given(key) => match teams.by_key(key) {
                Some(team) => return Ok(Caller::Team(Arc::clone(team))),
                None => AccessDenied::NoKey {
                    may_be_new: data_age > FRESH_CONFIG_AGE,
                },
            },
        };
        match allows_anonymous {
            true => Ok(Caller::Anonymous),
            false => Err(denied),
        }
    }

    /// Like [`AccessRules::caller`], for a request on a route of `table`.
    ///
    /// # Errors
    ///
    /// [`AccessDenied`] if the request must not be served.
    pub fn caller_on(
        &self,
        table: &RouteTable,
        route: &Route,
        key: &CallerKey,
        data_age: Duration,
    ) -> Result<Caller, AccessDenied> {
        self.caller(table.teams(), route.allows_anonymous, key, data_age)
    }

    /// Whether a node with a configuration of this age should receive requests.
    pub fn is_ready(&self, table: &RouteTable, data_age: Duration) -> bool {
        let revocation = self.revocation.filter(|_| table.teams().is_some());
        revocation.is_none_or(|bound| data_age <= bound.mul_f64(READY_FRACTION))
    }

    /// Whether keys are accepted with a configuration of this age.
    fn accepts_keys(&self, data_age: Duration) -> bool {
        self.revocation
            .is_none_or(|bound| data_age <= bound.mul_f64(KEYS_ACCEPTED_FRACTION))
    }
}
