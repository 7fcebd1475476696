//! The parts of a prompt, and which of them engines have cached.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ModelRef;

/// How long an engine is assumed to cache the prompts it processed. Engines evict the least
/// recently used ones when their memory is full, which under load takes about ten seconds.
const CACHE_TTL: Duration = Duration::from_secs(10);

/// Parts to track per engine: about a dozen adapters with several instructions each.
const MAX_PARTS: usize = 128;

/// A part of a prompt. Requests with a common part give the same id for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The id that the caller gives for this part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

impl PromptPart {
    /// Converts the text by which a caller names a part to its id: a hexadecimal number of up to 64
    /// bits, or else a hash of the text.
    ///
    /// ```
    /// use nutmegsail_relay::PromptPart;
    /// assert_eq!(PromptPart::id_of("5C1E"), 0x5c1e);
    /// assert_ne!(PromptPart::id_of("greeting"), PromptPart::id_of("farewell"));
    /// ```
    pub fn id_of(text: &str) -> u64 {
        u64::from_str_radix(text, 16).unwrap_or_else(|_| xxh3_64(text.as_bytes()))
    }
}

/// Digest of a part together with the adapter and all parts before it. An engine can only reuse a
/// cached part if all of these are the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PartDigest(u64);

/// The parts of a prompt for one adapter, in order.
///
/// Requests with common leading parts are sent to the same engine, unless its queue takes longer
/// than processing those parts again elsewhere.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::{CachedPrompts, ModelRef, PromptPart, PromptPrefix};
/// let (now, model) = (Instant::now(), ModelRef::parse("llama/a7"));
/// let prompt = |own| [PromptPart { id: 1, tokens: 800 }, PromptPart { id: own, tokens: 250 }];
/// let mut cached = CachedPrompts::default();
/// cached.note(&PromptPrefix::new(&model, &prompt(2)), now);
/// let next = PromptPrefix::new(&model, &prompt(3));
/// assert_eq!(next.shared_tokens(), 800);
/// assert_eq!(cached.cached_tokens_of(&next, now), 800);
/// assert_eq!(cached.cached_tokens_of(&next, now + Duration::from_secs(60)), 0);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptPrefix {
    parts: Vec<(PartDigest, u32)>,
}

impl PromptPrefix {
    /// Creates the chain of a prompt's parts for `model`.
    pub fn new(model: &ModelRef, parts: &[PromptPart]) -> Self {
        let mut before = match parts {
            [] => 0,
            _ => xxh3_64_with_seed(model.to_string().as_bytes(), 0),
        };
        let parts = parts.iter().map(|part| {
            before = xxh3_64_with_seed(&part.id.to_le_bytes(), before);
            (PartDigest(before), part.tokens)
        });
        Self {
            parts: parts.collect(),
        }
    }

    /// Tokens of the parts that other requests may share: all but the last part, which is specific
    /// to the request.
    pub fn shared_tokens(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1);
        let shared = self.parts.iter().take(shared);
        shared.map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Rendezvous hash of `engine` for the shared parts, the same on every node. Requests with the
    /// same shared parts prefer the engine with the highest hash and find the parts cached there,
    /// without any messages between nodes.
    pub(crate) fn affinity_hash(&self, engine: &UpstreamId) -> Option<u64> {
        let last_shared = self.parts.len().checked_sub(2)?;
        let (PartDigest(shared), _) = self.parts[last_shared];
        Some(xxh3_64_with_seed(engine.as_str().as_bytes(), shared))
    }
}

/// Prompt parts that were sent to an engine recently.
#[derive(Clone, Debug, Default)]
pub struct CachedPrompts {
    parts: HashMap<PartDigest, (u32, Instant)>,
}

impl CachedPrompts {
    /// Records a prompt sent to the engine.
    pub fn note(&mut self, chain: &PromptPrefix, now: Instant) {
        for (part, tokens) in &chain.parts {
            self.parts.insert(*part, (*tokens, now));
        }
        if self.parts.len() > MAX_PARTS {
            self.evict_oldest(now);
        }
    }

    fn evict_oldest(&mut self, now: Instant) {
        self.parts
            .retain(|_, (_, at)| now.duration_since(*at) < CACHE_TTL);
        while self.parts.len() > MAX_PARTS {
            let oldest = self.parts.iter().min_by_key(|(_, (_, at))| *at);
            let Some(oldest) = oldest.map(|(part, _)| *part) else {
                return;
            };
            self.parts.remove(&oldest);
        }
    }

    /// Prompt tokens that the engine is expected to have cached.
    pub fn cached_tokens_of(&self, chain: &PromptPrefix, now: Instant) -> u64 {
        let cached = chain.parts.iter().map_while(|(part, tokens)| {
            let (cached, at) = self.parts.get(part)?;
            (now.duration_since(*at) < CACHE_TTL).then_some(u64::from(*tokens.min(cached)))
        });
        cached.sum()
    }

    /// Forgets all parts, because the engine unloaded its models.
    pub(crate) fn clear(&mut self) {
        self.parts.clear();
    }
}
