//! Publishes a text: it is accepted once the compare-and-swap of its head took effect.

use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::ResultCode;
use nutmegsail_store::{Item, KeyValue, KeyValueError, Revision};
use thiserror::Error;

use crate::text_store::stored_head;
use crate::{
    Changes, Deployment, Digest, Faults, FetchError, Generation, HEAD_KEY, Head, OperatorsText,
    Piece, StoredHead, TextStore, WriterId, diff, split,
};

/// How often and how patiently the store is asked again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Calls in all.
    pub attempts: u32,
    /// The pause after the first call; it doubles after each.
    pub first_pause: Duration,
    /// The longest pause.
    pub longest_pause: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            attempts: 8,
            first_pause: Duration::from_millis(100),
            longest_pause: Duration::from_secs(2),
        }
    }
}

impl RetryPolicy {
    fn pauses(self) -> impl Iterator<Item = Duration> {
        let longest = self.longest_pause;
        let double = move |pause: &Duration| Some((*pause * 2).min(longest));
        let attempts = usize::try_from(self.attempts).unwrap_or(usize::MAX);
        std::iter::successors(Some(self.first_pause), double).take(attempts)
    }
}

/// An accepted text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Its generation.
    pub generation: Generation,
    /// Its digest.
    pub digest: Digest,
    /// Whether this text is another than the accepted one before it.
    pub is_new: bool,
}

/// Another text was accepted first.
#[derive(Clone, Debug, PartialEq)]
pub struct Conflict {
    /// The generation that this change was made from.
    pub base: Option<Generation>,
    /// The accepted head.
    pub head: Head,
    /// The accepted text.
    pub theirs: OperatorsText,
    /// What turns the refused text into the accepted one.
    pub changes: Changes,
}

/// Why a text is not accepted, or not known to be.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PublishError {
    /// The text has faults. Nothing was written.
    #[error("{0}")]
    Invalid(Faults),
    /// Another text was accepted first. This one is not and never will be.
    #[error(
        "another operator published generation {} meanwhile; \
         compared with your text it differs so:\n{}",
        .0.head.generation,
        .0.changes
    )]
    Conflict(Box<Conflict>),
    /// The store holds an older text than the base, as after a restored copy. Nothing was written;
    /// the nodes put the newer text back, then it can be tried again.
    #[error("the store holds generation {stored}, older than generation {base} that is the base")]
    StoreBehind {
        /// The base.
        base: Generation,
        /// The store's generation; 0 for none.
        stored: Generation,
    },
    /// The store did not take the call. Nothing was written and nothing will be.
    #[error("the text was not accepted: {0}")]
    NotAccepted(FetchError),
    /// An answer was lost and the store did not tell what became of the write. It may be accepted,
    /// even later: [`Publisher::resume`] with the same writer id finds out.
    #[error("no answer came to the write; it may be accepted yet (writer id {writer})")]
    Undecided {
        /// The writer id to resume with.
        writer: WriterId,
    },
}

impl PublishError {
    /// The numbered result for operators.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Invalid(faults) => faults.code(),
            Self::Conflict(_) => ResultCode::TextConflict,
            Self::StoreBehind { .. } => ResultCode::PlatformUnavailable,
            Self::NotAccepted(FetchError::Store(KeyValueError::TooLarge)) => {
                ResultCode::TextTooLarge
            }
            Self::NotAccepted(error) => error.code(),
            Self::Undecided { .. } => ResultCode::PlatformAmbiguous,
        }
    }
}

/// Publishes texts through the platform's key-value service.
#[derive(Clone, Debug)]
pub struct Publisher {
    store: TextStore,
    retry: RetryPolicy,
}

/// One change on its way.
struct Attempt<'t> {
    text: &'t OperatorsText,
    deployment: Deployment,
    pieces: Vec<Piece>,
    base: Option<Generation>,
    floor: Generation,
    writer: WriterId,
    /// Whether a write was sent whose fate is not known: it may take effect at any time while its
    /// condition holds.
    is_outstanding: bool,
}

impl Publisher {
    /// Publishes through `store`.
    pub fn new(store: Arc<dyn KeyValue>) -> Self {
        Self {
            store: TextStore::new(store),
            retry: RetryPolicy::default(),
        }
    }

    /// Replaces how often the store is asked again.
    pub fn with_retry(mut self, retry: RetryPolicy) -> Self {
        self.retry = retry;
        self
    }

    /// Publishes `text`, which was made from the generation `base` (none: the first text).
    ///
    /// # Errors
    /// The text has faults, another one was accepted first, or the store did not take it.
    pub async fn publish(
        &self,
        text: &OperatorsText,
        base: Option<Generation>,
        writer: WriterId,
    ) -> Result<Accepted, PublishError> {
        self.publish_above(text, base, Generation(0), writer).await
    }

    /// [`Publisher::publish`] with a generation above `floor`, the newest that a node is known to
    /// run. A store restored from a copy would count from its older one otherwise, and nodes would
    /// not take up a generation that is not above theirs.
    ///
    /// # Errors
    /// As for [`Publisher::publish`].
    pub async fn publish_above(
        &self,
        text: &OperatorsText,
        base: Option<Generation>,
        floor: Generation,
        writer: WriterId,
    ) -> Result<Accepted, PublishError> {
        let mut attempt = Attempt::new(text, base, floor, writer)?;
        self.run(&mut attempt).await
    }

    /// Goes on after [`PublishError::Undecided`], with the same text, base and writer id.
    ///
    /// # Errors
    /// As for [`Publisher::publish`].
    pub async fn resume(
        &self,
        text: &OperatorsText,
        base: Option<Generation>,
        floor: Generation,
        writer: WriterId,
    ) -> Result<Accepted, PublishError> {
        let mut attempt = Attempt::new(text, base, floor, writer)?;
        attempt.is_outstanding = true;
        self.run(&mut attempt).await
    }

    async fn run(&self, attempt: &mut Attempt<'_>) -> Result<Accepted, PublishError> {
        let found = match self.read_head().await {
            Ok(found) => found,
            Err(error) => return Err(attempt.gives_up(error)),
        };
        let stored = found.as_ref().map(|found| found.head.generation);
        match &found {
            Some(found) if found.head.generation_of(&attempt.writer).is_some() => {
                self.settle(attempt, found).await
            }
            Some(found) if stored == attempt.base && attempt.is_text_of(&found.head) => {
                Ok(unchanged(&found.head))
            }
            _ if stored == attempt.base => self.commit(attempt, found.as_ref()).await,
            Some(found) if stored > attempt.base => self.settle(attempt, found).await,
            _ => Err(attempt.store_behind(stored)),
        }
    }

    /// Sends the same compare-and-swap until the store says what became of it.
    ///
    /// A lost answer hides whether the write took effect, and it may take effect seconds later. It
    /// shows as an operator told "not accepted" whose text comes into force. Sending the same write
    /// again decides it: either this one takes effect, and then the condition of the earlier one can
    /// never hold again; or it meets a newer head, and its history tells whether this writer made it.
    async fn commit(
        &self,
        attempt: &mut Attempt<'_>,
        found: Option<&StoredHead>,
    ) -> Result<Accepted, PublishError> {
        let head = attempt.head(found);
        let mut last = KeyValueError::Unavailable;
        for pause in self.retry.pauses() {
            match self.store.put_head(found, &head, &attempt.pieces).await {
                Ok(_) => return Ok(accepted(&head)),
                Err(KeyValueError::Conflict { current }) => {
                    return self.lost_race(attempt, found, &current).await;
                }
                Err(error @ (KeyValueError::Refused | KeyValueError::Unavailable)) => last = error,
                Err(KeyValueError::TooLarge) => {
                    last = KeyValueError::TooLarge;
                    break;
                }
                Err(_) => attempt.is_outstanding = true,
            }
            tokio::time::sleep(pause).await;
        }
        Err(attempt.gives_up(FetchError::Store(last)))
    }

    async fn lost_race(
        &self,
        attempt: &Attempt<'_>,
        expected: Option<&StoredHead>,
        current: &[Item],
    ) -> Result<Accepted, PublishError> {
        let item = current.iter().find(|item| &*item.key == HEAD_KEY);
        let current = item.map(stored_head).transpose();
        let current = current.map_err(|error| attempt.gives_up(error))?;
        let expected = expected.map_or(Revision::NONE, |expected| expected.revision);
        match current {
            Some(stored) if stored.revision > expected => self.settle(attempt, &stored).await,
            // The store went back in time, so the condition of a lost write may hold again.
            other => Err(attempt.store_behind(other.map(|stored| stored.head.generation))),
        }
    }

    /// The head moved on from the base: tells whether this writer moved it.
    async fn settle(
        &self,
        attempt: &Attempt<'_>,
        stored: &StoredHead,
    ) -> Result<Accepted, PublishError> {
        let head = &stored.head;
        if let Some(generation) = head.generation_of(&attempt.writer) {
            return Ok(Accepted {
                generation,
                digest: attempt.text.digest(),
                is_new: true,
            });
        }
        if attempt.is_outstanding && !head.remembers_after(attempt.base) {
            return Err(attempt.undecided());
        }
        if attempt.is_text_of(head) {
            return Ok(unchanged(head));
        }
        let fetched = self.store.fetch().await;
        let fetched = fetched.map_err(PublishError::NotAccepted)?;
        let Some(fetched) = fetched else {
            return Err(attempt.store_behind(None));
        };
        let changes = diff(&attempt.deployment, &fetched.in_force.deployment);
        Err(PublishError::Conflict(Box::new(Conflict {
            base: attempt.base,
            head: fetched.stored.head,
            theirs: fetched.text,
            changes,
        })))
    }

    async fn read_head(&self) -> Result<Option<StoredHead>, FetchError> {
        let mut last = FetchError::Store(KeyValueError::Unavailable);
        for pause in self.retry.pauses() {
            match self.store.read_head().await {
                Err(FetchError::Store(error)) => last = FetchError::Store(error),
                answer => return answer,
            }
            tokio::time::sleep(pause).await;
        }
        Err(last)
    }
}

impl<'t> Attempt<'t> {
    fn new(
        text: &'t OperatorsText,
        base: Option<Generation>,
        floor: Generation,
        writer: WriterId,
    ) -> Result<Self, PublishError> {
        Ok(Self {
            text,
            deployment: Deployment::parse_text(text).map_err(PublishError::Invalid)?,
            pieces: split(text),
            base,
            floor,
            writer,
            is_outstanding: false,
        })
    }

    fn head(&self, found: Option<&StoredHead>) -> Head {
        let before = found.map(|found| &found.head);
        let head = Head::following(before, self.floor, self.text, &self.pieces, &self.writer);
        assert!(
            Some(head.generation) > before.map(|before| before.generation),
            "generations only rise"
        );
        head
    }

    fn is_text_of(&self, head: &Head) -> bool {
        head.digest == self.text.digest()
    }

    fn gives_up(&self, error: FetchError) -> PublishError {
        if self.is_outstanding {
            self.undecided()
        } else {
            PublishError::NotAccepted(error)
        }
    }

    fn store_behind(&self, stored: Option<Generation>) -> PublishError {
        if self.is_outstanding {
            return self.undecided();
        }
        PublishError::StoreBehind {
            base: self.base.unwrap_or_default(),
            stored: stored.unwrap_or_default(),
        }
    }

    fn undecided(&self) -> PublishError {
        PublishError::Undecided {
            writer: self.writer.clone(),
        }
    }
}

fn accepted(head: &Head) -> Accepted {
    Accepted {
        generation: head.generation,
        digest: head.digest.clone(),
        is_new: true,
    }
}

fn unchanged(head: &Head) -> Accepted {
    Accepted {
        is_new: false,
        ..accepted(head)
    }
}
