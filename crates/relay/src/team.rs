//! Teams, and the keys that identify their callers.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

use nutmegsail_base::TeamName;
use nutmegsail_quota::{Quota, Quotas};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use thiserror::Error;

/// Largest rate or burst that is accepted, in tokens. Anything above is taken for a mistake.
const LARGEST_QUOTA_TOKENS: f64 = 1e12;

/// The hash of a caller's key. The key itself is not stored.
///
/// ```
/// use nutmegsail_relay::KeyDigest;
/// let digest = KeyDigest::of(b"secret");
/// assert_eq!(digest, KeyDigest::of(b"secret"));
/// assert_eq!(format!("{digest:?}"), "KeyDigest");
/// ```
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// The key that a request carries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerKey {
    /// No key.
    #[default]
    Absent,
    /// One key.
    Given(KeyDigest),
    /// Several keys, or a value that cannot be a key.
    Malformed,
}

/// What a team's quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Requests, each as one token.
    Requests,
    /// The prompt and answer tokens that a request states.
    Tokens {
        /// What a request counts as if it states none.
        unstated_tokens: u32,
    },
}

/// A quota and what it counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamQuota {
    /// The quota.
    pub quota: Quota,
    /// What it counts.
    pub unit: QuotaUnit,
}

impl TeamQuota {
    /// The cost of a request that states `tokens`.
    pub fn cost_tokens(&self, tokens: Option<u32>) -> u32 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { unstated_tokens } => tokens.unwrap_or(unstated_tokens),
        }
    }
}

/// A group of callers with common keys, priority and quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// The team's name.
    pub name: TeamName,
    /// The priority of its requests, which overrides the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Its quota, or `None` if it is unlimited.
    pub quota: Option<TeamQuota>,
}

/// A team with the digests of its keys, as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamEntry {
    /// The team.
    pub team: Team,
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
}

/// Why a configuration of teams is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TeamFault {
    /// Two teams have the same name.
    #[error("the team {_0} is configured twice")]
    TeamTwice(TeamName),
    /// Two entries have the same key.
    #[error("a key of the team {_0} is configured twice")]
    KeyTwice(TeamName),
    /// A rate or burst is negative, not a number, or too large.
    #[error("the quota of the team {_0} must be from 0 to 1e12 tokens")]
    QuotaOutOfRange(TeamName),
}

/// The teams of a configuration, by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Teams {
    by_key: HashMap<KeyDigest, Arc<Team>>,
    quotas: Quotas,
}

impl Teams {
    /// Indexes teams by key.
    ///
    /// # Errors
    ///
    /// [`TeamFault`] for the first problem found. A key shared by two teams is one, because it
    /// would identify either of them by chance.
    pub fn new(entries: Vec<TeamEntry>) -> Result<Self, TeamFault> {
        let mut teams = Self::default();
        let mut names = HashSet::new();
        for TeamEntry { team, keys } in entries {
            if !names.insert(team.name.clone()) {
                return Err(TeamFault::TeamTwice(team.name));
            }
            if let Some(quota) = &team.quota {
                check_quota(&team.name, quota.quota)?;
                teams.quotas.insert(team.name.clone(), quota.quota);
            }
            let team = Arc::new(team);
            for key in keys {
                if teams.by_key.insert(key, Arc::clone(&team)).is_some() {
                    return Err(TeamFault::KeyTwice(team.name.clone()));
                }
            }
        }
        Ok(teams)
    }

    /// The team that has `key`.
    pub fn by_key(&self, key: &KeyDigest) -> Option<&Arc<Team>> {
        self.by_key.get(key)
    }

    /// The quotas of the teams that have one.
    pub fn quotas(&self) -> &Quotas {
        &self.quotas
    }
}

fn check_quota(team: &TeamName, quota: Quota) -> Result<(), TeamFault> {
    let is_in_range = |tokens: f64| (0.0..=LARGEST_QUOTA_TOKENS).contains(&tokens);
    match is_in_range(quota.tokens_per_s) && is_in_range(quota.burst_tokens) {
        true => Ok(()),
        false => Err(TeamFault::QuotaOutOfRange(team.clone())),
    }
}
