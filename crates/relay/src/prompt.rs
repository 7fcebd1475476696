//! The parts of a prompt, and which of them engines keep.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ModelRef;

/// How long an engine is taken to keep what it read. Engines drop what was used least recently when
/// their memory is full, which is after some ten seconds under load.
const KEPT_LIFE: Duration = Duration::from_secs(10);

/// Parts that are remembered for one engine: some dozen adapters with a few instructions each.
const PARTS_LIMIT: usize = 128;

/// A part of a prompt. Requests that have it in common give the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its id.
    pub id: u64,
    /// Its length, in tokens.
    pub tokens: u32,
}

/// Stands for a part with all that goes before it: an engine reads a part again unless it keeps these
/// too, for the same adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PartDigest(u64);

/// The parts of a prompt for one adapter, in order.
///
/// Requests that share parts go to the same engine while its queue is no longer than reading them again
/// takes.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::{KeptPrompts, ModelRef, PromptChain, PromptPart};
/// let (now, model) = (Instant::now(), ModelRef::parse("llama/a7"));
/// let prompt = |own| [PromptPart { id: 1, tokens: 800 }, PromptPart { id: own, tokens: 250 }];
/// let mut kept = KeptPrompts::default();
/// kept.note(&PromptChain::new(&model, &prompt(2)), now);
/// let next = PromptChain::new(&model, &prompt(3));
/// assert_eq!(next.shared_tokens(), 800);
/// assert_eq!(kept.tokens_of(&next, now), 800);
/// assert_eq!(kept.tokens_of(&next, now + Duration::from_secs(60)), 0);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptChain {
    parts: Vec<(PartDigest, u32)>,
}

impl PromptChain {
    /// The parts of a prompt for `model`.
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

    /// Tokens of the parts that other requests may have: all but the last, which is the request's own.
    pub fn shared_tokens(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1);
        let shared = self.parts.iter().take(shared);
        shared.map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// The rank of `engine` among those that could answer, the same on every node: requests with the same
    /// shared parts that go to the first find them kept, without a word between nodes.
    pub(crate) fn rank_of(&self, engine: &UpstreamId) -> Option<u64> {
        let last_shared = self.parts.len().checked_sub(2)?;
        let (PartDigest(shared), _) = self.parts[last_shared];
        Some(xxh3_64_with_seed(engine.as_str().as_bytes(), shared))
    }
}

/// Parts of prompts that an engine was given lately.
#[derive(Clone, Debug, Default)]
pub struct KeptPrompts {
    parts: HashMap<PartDigest, (u32, Instant)>,
}

impl KeptPrompts {
    /// Takes in that the engine reads a prompt of these parts.
    pub fn note(&mut self, chain: &PromptChain, now: Instant) {
        for (part, tokens) in &chain.parts {
            self.parts.insert(*part, (*tokens, now));
        }
        if self.parts.len() > PARTS_LIMIT {
            self.forget_oldest(now);
        }
    }

    fn forget_oldest(&mut self, now: Instant) {
        self.parts
            .retain(|_, (_, at)| now.duration_since(*at) < KEPT_LIFE);
        while self.parts.len() > PARTS_LIMIT {
            let oldest = self.parts.iter().min_by_key(|(_, (_, at))| *at);
            let Some(oldest) = oldest.map(|(part, _)| *part) else {
                return;
            };
            self.parts.remove(&oldest);
        }
    }

    /// Tokens of a prompt that the engine need not read, as far as is known.
    pub fn tokens_of(&self, chain: &PromptChain, now: Instant) -> u64 {
        let kept = chain.parts.iter().map_while(|(part, tokens)| {
            let (kept, at) = self.parts.get(part)?;
            (now.duration_since(*at) < KEPT_LIFE).then_some(u64::from(*tokens.min(kept)))
        });
        kept.sum()
    }

    /// Forgets all: the engine dropped its weights.
    pub(crate) fn clear(&mut self) {
        self.parts.clear();
    }
}
