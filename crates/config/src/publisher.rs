//! Publishes texts. A text is accepted once the compare-and-swap of its head has taken effect.

use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::ResultCode;
use nutmegsail_store::{Item, KeyValue, KeyValueError, Revision};
use thiserror::Error;

use crate::text_store::decode_head;
use crate::{
    Changes, Deployment, Digest, Faults, FetchError, Generation, HEAD_KEY, Head, OperatorsText,
    Piece, StoredHead, TextStore, WriterId, diff, split,
};

/// How calls to the store are retried, with exponential backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// The maximum number of calls, the first one included.
    pub attempts: u32,
    /// The pause after the first call. It doubles after each further call.
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
    /// Whether the text differs from the one accepted before it.
    pub is_new: bool,
}

/// Another text was accepted first.
#[derive(Clone, Debug, PartialEq)]
pub struct Conflict {
    /// The generation that the refused change was based on.
    pub base: Option<Generation>,
    /// The accepted head.
    pub head: Head,
    /// The accepted text.
    pub theirs: OperatorsText,
    /// The differences from the refused text to the accepted one.
    pub changes: Changes,
}

/// Why a text was not accepted, or why its outcome is unknown.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PublishError {
    /// The text has faults. Nothing was written.
    #[error("{0}")]
    Invalid(Faults),
    /// Another text was accepted first. This one was not accepted and never will be.
    #[error(
        "another operator published generation {} meanwhile; \
         compared with your text it differs so:\n{}",
        .0.head.generation,
        .0.changes
    )]
    Conflict(Box<Conflict>),
    /// The store holds an older text than the base, as when it was restored from an older copy.
    /// Nothing was written. The operators can retry once the nodes have restored the newer text.
    #[error("the store holds generation {stored}, older than generation {base} that is the base")]
    StoreBehind {
        /// The generation that the change is based on.
        base: Generation,
        /// The store's generation; 0 for none.
        stored: Generation,
    },
    /// The store did not execute the write, or it could not be read. Nothing was or will be
    /// written.
    #[error("the text was not accepted: {0}")]
    NotAccepted(FetchError),
    /// The answer to a write was lost and its outcome could not be determined. The text may be
    /// accepted, even later; [`Publisher::resume`] with the same writer id determines whether it
    /// was.
    #[error("no answer came to the write; it may be accepted yet (writer id {writer})")]
    Undecided {
        /// The writer id to pass to [`Publisher::resume`].
        writer: WriterId,
    },
}

impl PublishError {
    /// The result code shown to operators.
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

/// A change that is being published.
struct Attempt<'t> {
    text: &'t OperatorsText,
    deployment: Deployment,
    pieces: Vec<Piece>,
    base: Option<Generation>,
    floor: Generation,
    writer: WriterId,
    /// Whether a write with an unknown outcome was sent. It may take effect as long as its
    /// condition holds.
    has_unresolved_write: bool,
}

impl Publisher {
    /// Publishes through `store`.
    pub fn new(store: Arc<dyn KeyValue>) -> Self {
        Self {
            store: TextStore::new(store),
            retry: RetryPolicy::default(),
        }
    }

    /// Replaces the retry policy.
    pub fn with_retry(mut self, retry: RetryPolicy) -> Self {
        self.retry = retry;
        self
    }

    /// Publishes `text`, a change based on the generation `base` (`None` for the first text).
    ///
    /// # Errors
    /// The text has faults, another one was accepted first, or the store did not accept the write.
    pub async fn publish(
        &self,
        text: &OperatorsText,
        base: Option<Generation>,
        writer: WriterId,
    ) -> Result<Accepted, PublishError> {
        self.publish_above(text, base, Generation(0), writer).await
    }

    /// Like [`Publisher::publish`], but with a generation above `floor`, the newest generation
    /// known to be in force on a node. If the store was restored from an older copy, counting on
    /// from its older generation would give one that is not above the nodes', and they would ignore
    /// the text.
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

    /// Continues after [`PublishError::Undecided`], with the same text, base and writer id.
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
        attempt.has_unresolved_write = true;
        self.run(&mut attempt).await
    }

    async fn run(&self, attempt: &mut Attempt<'_>) -> Result<Accepted, PublishError> {
        let found = match self.read_head().await {
            Ok(found) => found,
            Err(error) => return Err(attempt.failure(error)),
        };
        let stored = found.as_ref().map(|found| found.head.generation);
        match &found {
            Some(found) if found.head.generation_of(&attempt.writer).is_some() => {
                self.resolve_moved_head(attempt, found).await
            }
            Some(found) if stored == attempt.base && attempt.is_same_text_as(&found.head) => {
                Ok(unchanged(&found.head))
            }
            _ if stored == attempt.base => self.commit(attempt, found.as_ref()).await,
            Some(found) if stored > attempt.base => self.resolve_moved_head(attempt, found).await,
            _ => Err(attempt.store_behind(stored)),
        }
    }

    /// Repeats the same compare-and-swap until its outcome is known.
    ///
    /// If an answer is lost, the write may have taken effect or may do so seconds later, so the
    /// operator must not be told "not accepted". Repeating the write settles this: either the
    /// repetition takes effect, after which the condition of the earlier write can never hold
    /// again, or it finds a newer head, whose history shows whether this writer's change was
    /// accepted.
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
                    return self.resolve_conflict(attempt, found, &current).await;
                }
                Err(error @ (KeyValueError::Refused | KeyValueError::Unavailable)) => last = error,
                Err(KeyValueError::TooLarge) => {
                    last = KeyValueError::TooLarge;
                    break;
                }
                Err(_) => attempt.has_unresolved_write = true,
            }
            tokio::time::sleep(pause).await;
        }
        Err(attempt.failure(FetchError::Store(last)))
    }

    async fn resolve_conflict(
        &self,
        attempt: &Attempt<'_>,
        expected: Option<&StoredHead>,
        current: &[Item],
    ) -> Result<Accepted, PublishError> {
        let item = current.iter().find(|item| &*item.key == HEAD_KEY);
        let current = item.map(decode_head).transpose();
        let current = current.map_err(|error| attempt.failure(error))?;
        let expected = expected.map_or(Revision::NONE, |expected| expected.revision);
        match current {
            Some(stored) if stored.revision > expected => {
                self.resolve_moved_head(attempt, &stored).await
            }
            // The store was reset to an older state, so the condition of an unanswered write may
            // hold again.
            other => Err(attempt.store_behind(other.map(|stored| stored.head.generation))),
        }
    }

    /// Determines the outcome when the head is newer than the base. The change is accepted if the
    /// head's history has this writer or the head has the same text. It is undecided if a write is
    /// unresolved and the history is too short to tell, and a conflict otherwise.
    async fn resolve_moved_head(
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
        if attempt.has_unresolved_write && !head.covers_changes_since(attempt.base) {
            return Err(attempt.undecided());
        }
        if attempt.is_same_text_as(head) {
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
            has_unresolved_write: false,
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

    fn is_same_text_as(&self, head: &Head) -> bool {
        head.digest == self.text.digest()
    }

    fn failure(&self, error: FetchError) -> PublishError {
        if self.has_unresolved_write {
            self.undecided()
        } else {
            PublishError::NotAccepted(error)
        }
    }

    fn store_behind(&self, stored: Option<Generation>) -> PublishError {
        if self.has_unresolved_write {
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
