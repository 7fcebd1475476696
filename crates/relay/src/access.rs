//! Who may call, by the key of the request and the age of what the node knows.
//!
//! Answers keys that operators take away while nodes cannot hear of it.

use std::sync::Arc;
use std::time::Duration;

use crate::{CallerKey, Route, RouteTable, Team};

/// The part of the revocation bound for which a node goes on with what it knows. A watch can miss
/// changes for a second before it notices, and a store call takes time to come back.
const RELIED_ON_SHARE: f64 = 0.8;

/// The part of the bound after which the node asks for no more callers, so that they have moved on to
/// other nodes when keys are no longer accepted.
const READY_SHARE: f64 = 0.6;

/// The age of news from which an unknown key may be one that was just added.
const KNOWN_WELL_FOR: Duration = Duration::from_millis(1_000);

/// Who calls.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller {
    /// Anybody: keys are not needed.
    Anonymous,
    /// A team.
    Team(Arc<Team>),
}

impl Caller {
    /// The team, if one calls.
    pub fn team(&self) -> Option<&Arc<Team>> {
        match self {
            Self::Anonymous => None,
            Self::Team(team) => Some(team),
        }
    }
}

/// Why a request is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// It bears no key that is in force.
    NoKey {
        /// Whether news that are due could bring the key.
        may_be_new: bool,
    },
    /// What is known of keys is too old to accept one.
    Stale,
}

/// How long keys are accepted on old news.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccessRules {
    /// How long after it was taken away a key may still be accepted; nothing if there is no such bound.
    pub revocation: Option<Duration>,
}

impl AccessRules {
    /// Who sends a request with `key` on `route`. `news_age` counts from when the last read of the
    /// configuration was asked for.
    ///
    /// # Errors
    ///
    /// [`Denied`] if it is not to be served.
    ///
    /// ```
    /// use std::time::Duration;
    /// use nutmegsail_relay::{AccessRules, CallerKey, Caller, Denied, Teams};
    /// let rules = AccessRules { revocation: Some(Duration::from_secs(5)) };
    /// let (teams, now) = (Teams::default(), Duration::ZERO);
    /// let key = CallerKey::Absent;
    /// assert_eq!(rules.caller(None, false, &key, now), Ok(Caller::Anonymous));
    /// assert_eq!(
    ///     rules.caller(Some(&teams), false, &key, now),
    ///     Err(Denied::NoKey { may_be_new: false }),
    /// );
    /// ```
    pub fn caller(
        &self,
        teams: Option<&crate::Teams>,
        allows_anonymous: bool,
        key: &CallerKey,
        news_age: Duration,
    ) -> Result<Caller, Denied> {
        let Some(teams) = teams else {
            return Ok(Caller::Anonymous);
        };
        let is_stale = !self.relies_on(news_age);
        let denied = match key {
            CallerKey::Absent | CallerKey::Malformed => Denied::NoKey { may_be_new: false },
            CallerKey::Given(_) if is_stale => Denied::Stale,
            CallerKey::Given(key) => match teams.by_key(key) {
                Some(team) => return Ok(Caller::Team(Arc::clone(team))),
                None => Denied::NoKey {
                    may_be_new: news_age > KNOWN_WELL_FOR,
                },
            },
        };
        match allows_anonymous {
            true => Ok(Caller::Anonymous),
            false => Err(denied),
        }
    }

    /// [`AccessRules::caller`] for a request on a route of `table`.
    ///
    /// # Errors
    ///
    /// [`Denied`] if it is not to be served.
    pub fn caller_on(
        &self,
        table: &RouteTable,
        route: &Route,
        key: &CallerKey,
        news_age: Duration,
    ) -> Result<Caller, Denied> {
        self.caller(table.teams(), route.allows_anonymous, key, news_age)
    }

    /// Whether a node with such news should get callers.
    pub fn is_ready(&self, table: &RouteTable, news_age: Duration) -> bool {
        let revocation = self.revocation.filter(|_| table.teams().is_some());
        revocation.is_none_or(|bound| news_age <= bound.mul_f64(READY_SHARE))
    }

    /// Whether keys are accepted on such news.
    fn relies_on(&self, news_age: Duration) -> bool {
        self.revocation
            .is_none_or(|bound| news_age <= bound.mul_f64(RELIED_ON_SHARE))
    }
}
