//! The idempotency key of a once-only call.

use std::fmt;
use std::str::FromStr;
use std::time::{Duration, SystemTime};

use nutmegsail_base::{Incarnation, NodeId, ResultCode};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use uuid::Uuid;

const TICKET_PREFIX: &str = "ticket.";
const MAX_NODE_BYTES: usize = 64;

/// The only node incarnation that may run the call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket {
    /// The node.
    pub node: NodeId,
    /// The incarnation of its process. After a restart no node may run the call.
    pub incarnation: Incarnation,
}

/// An `Idempotency-Key`: a UUID version 7, which carries its issue time, or a ticket with such a
/// UUID.
///
/// The ticket is part of the key, so every node can tell from the key alone whether the call is
/// claimed in the store or may run only at one incarnation. No key can be both.
///
/// ```
/// use nutmegsail_idempotency::IdempotencyKey;
///
/// let key = IdempotencyKey::parse("018bcfe5-6800-7000-8000-000000000001")?;
/// assert!(key.ticket().is_none());
/// let key = IdempotencyKey::parse("ticket.node-1.7.018bcfe5-6800-7000-8000-000000000001")?;
/// assert_eq!(key.ticket().map(|ticket| ticket.incarnation.0), Some(7));
/// # Ok::<(), nutmegsail_idempotency::KeyError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct IdempotencyKey {
    id: Uuid,
    ticket: Option<Box<Ticket>>,
}

/// Why the key of a once-only call is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyError {
    /// There is no key.
    #[error("this call runs once and needs an Idempotency-Key")]
    Missing,
    /// The key is neither a UUID version 7 nor a ticket.
    #[error("the Idempotency-Key is neither a UUID version 7 nor a ticket")]
    Malformed,
    /// The key is so old that its claim may have been removed.
    #[error("the Idempotency-Key is older than its claim is kept")]
    TooOld,
    /// The key's issue time is further in the future than the permitted clock skew.
    #[error("the Idempotency-Key is further ahead than clocks may differ")]
    FromFuture,
}

impl KeyError {
    /// The result code for the caller.
    pub fn code(self) -> ResultCode {
        match self {
            Self::Missing => ResultCode::KeyMissing,
            Self::Malformed => ResultCode::KeyMalformed,
            Self::TooOld => ResultCode::KeyTooOld,
            Self::FromFuture => ResultCode::KeyFromFuture,
        }
    }
}

impl IdempotencyKey {
    /// Parses the value of an `Idempotency-Key` header. An empty value counts as missing.
    ///
    /// # Errors
    /// [`KeyError::Missing`] or [`KeyError::Malformed`].
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let text = text.trim();
        if text.is_empty() {
            return Err(KeyError::Missing);
        }
        match text.strip_prefix(TICKET_PREFIX) {
            Some(rest) => Self::parse_ticket(rest),
            None => Ok(Self::plain(parse_uuid(text)?)),
        }
    }

    /// Creates a key with a ticket for one node incarnation.
    ///
    /// ```
    /// use nutmegsail_base::Incarnation;
    /// use nutmegsail_idempotency::IdempotencyKey;
    ///
    /// let id = uuid::Uuid::parse_str("018bcfe5-6800-7000-8000-000000000001").unwrap();
    /// let key = IdempotencyKey::with_ticket(id, "node-1".into(), Incarnation(7));
    /// assert_eq!(key.to_string(), "ticket.node-1.7.018bcfe5-6800-7000-8000-000000000001");
    /// ```
    pub fn with_ticket(id: Uuid, node: NodeId, incarnation: Incarnation) -> Self {
        let ticket = Ticket { node, incarnation };
        Self {
            id,
            ticket: Some(Box::new(ticket)),
        }
    }

    fn plain(id: Uuid) -> Self {
        Self { id, ticket: None }
    }

    fn parse_ticket(rest: &str) -> Result<Self, KeyError> {
        let (rest, id) = rest.rsplit_once('.').ok_or(KeyError::Malformed)?;
        let (node, incarnation) = rest.rsplit_once('.').ok_or(KeyError::Malformed)?;
        let is_canonical = incarnation.bytes().all(|byte| byte.is_ascii_digit())
            && (incarnation == "0" || !incarnation.starts_with('0'));
        let is_node = (1..=MAX_NODE_BYTES).contains(&node.len())
            && node.bytes().all(|byte| byte.is_ascii_graphic());
        if !is_canonical || !is_node {
            return Err(KeyError::Malformed);
        }
        let incarnation = incarnation.parse().map_err(|_| KeyError::Malformed)?;
        let id = parse_uuid(id)?;
        Ok(Self::with_ticket(id, node.into(), Incarnation(incarnation)))
    }

    /// The key's ticket, if it has one.
    pub fn ticket(&self) -> Option<&Ticket> {
        self.ticket.as_deref()
    }

    /// When the key was issued by the caller's clock, in milliseconds since 1970.
    pub fn issued_unix_ms(&self) -> u64 {
        // RFC 9562: the timestamp is the first 48 of the 128 bits of a version 7 UUID.
        (self.id.as_u128() >> 80) as u64
    }

    /// Checks that the key is recent enough for its claim to be still stored, and not from the
    /// future.
    ///
    /// The clocks of callers and nodes may each be off the true time by up to `skew`.
    ///
    /// # Errors
    /// [`KeyError::TooOld`] or [`KeyError::FromFuture`].
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use nutmegsail_idempotency::{IdempotencyKey, KeyError};
    ///
    /// let key = IdempotencyKey::parse("018bcfe5-6800-7000-8000-000000000001")?;
    /// let issued = SystemTime::UNIX_EPOCH + Duration::from_millis(key.issued_unix_ms());
    /// let (hour, skew) = (Duration::from_secs(3600), Duration::from_secs(30));
    /// assert_eq!(key.check_age(hour, skew, issued), Ok(()));
    /// assert_eq!(key.check_age(hour, skew, issued + hour * 2), Err(KeyError::TooOld));
    /// assert_eq!(key.check_age(hour, skew, issued - skew * 2), Err(KeyError::FromFuture));
    /// # Ok::<(), KeyError>(())
    /// ```
    pub fn check_age(
        &self,
        retention: Duration,
        skew: Duration,
        wall_time: SystemTime,
    ) -> Result<(), KeyError> {
        let issued = Duration::from_millis(self.issued_unix_ms());
        let wall_time = wall_time
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        if issued + retention < wall_time {
            return Err(KeyError::TooOld);
        }
        if issued > wall_time + skew {
            return Err(KeyError::FromFuture);
        }
        Ok(())
    }
}

fn parse_uuid(text: &str) -> Result<Uuid, KeyError> {
    const HYPHENATED_BYTES: usize = 36;
    if text.len() != HYPHENATED_BYTES {
        return Err(KeyError::Malformed);
    }
    let id = Uuid::try_parse(text).map_err(|_| KeyError::Malformed)?;
    let is_v7 = id.get_version_num() == 7 && id.get_variant() == uuid::Variant::RFC4122;
    is_v7.then_some(id).ok_or(KeyError::Malformed)
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(Ticket { node, incarnation }) = self.ticket() {
            write!(f, "{TICKET_PREFIX}{node}.{incarnation}.")?;
        }
        self.id.hyphenated().fmt(f)
    }
}

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        Self::parse(text)
    }
}

impl TryFrom<String> for IdempotencyKey {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Self, KeyError> {
        Self::parse(&text)
    }
}

impl From<IdempotencyKey> for String {
    fn from(key: IdempotencyKey) -> Self {
        key.to_string()
    }
}
