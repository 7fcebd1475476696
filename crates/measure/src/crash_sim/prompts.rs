//! The prompts of a fleet's requests, and the parts in them that crash upstreams.

use nutmegsail_relay::{RequestContent, RequestDigest, RequestTraits};
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

/// Each route's prompts begin with the same part.
const ROUTES: u64 = 3;

/// The parts in the middle: a few that many requests share, and many that few do.
const COMMON_PARTS: u64 = 24;
const RARE_PARTS: u64 = 3_000;
const COMMON_SHARE: f64 = 0.6;

const FIRST_MIDDLE: u64 = 1_000;

/// The parts that crash upstreams, and one that always comes with the first of them.
const GUILTY: [u64; 2] = [100_001, 100_002];
const COMPANION: u64 = 100_003;

/// Which prompts crash upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GuiltyPrompts {
    /// Those with one part, which nothing else comes with.
    OnePart,
    /// The same, and a second part in requests of its own.
    TwoParts,
    /// Those with one part, which always comes with a harmless one. That one also comes alone.
    WithCompanion,
    /// Those with a part that was harmless for the first seconds.
    Turned,
}

/// The prompt of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prompt {
    route: u64,
    middle: [Option<u64>; 2],
    /// The part that crashes upstreams.
    pub(crate) guilty: Option<u64>,
}

impl Prompt {
    /// A prompt as most requests have them.
    pub(crate) fn usual(random: &mut ChaCha8Rng) -> Self {
        let part = match random.random::<f64>() < COMMON_SHARE {
            true => {
                let skewed = random.random::<f64>().powi(2);
                (skewed * COMMON_PARTS as f64) as u64
            }
            false => COMMON_PARTS + random.random_range(0..RARE_PARTS),
        };
        Self {
            route: random.random_range(0..ROUTES),
            middle: [Some(FIRST_MIDDLE + part), None],
            guilty: None,
        }
    }

    /// A prompt with a part that crashes upstreams, or did not do so yet.
    pub(crate) fn guilty(which: GuiltyPrompts, number: usize, is_harmless: bool) -> Self {
        let part = match which {
            GuiltyPrompts::TwoParts => GUILTY[number % 2],
            _ => GUILTY[0],
        };
        let companion = (which == GuiltyPrompts::WithCompanion).then_some(COMPANION);
        Self {
            route: 0,
            middle: [Some(part), companion],
            guilty: (!is_harmless).then_some(part),
        }
    }

    /// A prompt with the companion alone.
    pub(crate) fn companion() -> Self {
        Self {
            route: 0,
            middle: [Some(COMPANION), None],
            guilty: None,
        }
    }

    /// Whether it begins as those that crash upstreams do.
    pub(crate) fn is_of_guilty_route(&self) -> bool {
        self.route == 0
    }

    /// Whether many requests share its middle part.
    pub(crate) fn is_common(&self) -> bool {
        self.middle[0].is_some_and(|part| part < FIRST_MIDDLE + COMMON_PARTS)
    }

    /// Names the upstream where its shared parts are cached.
    pub(crate) fn home(&self) -> u64 {
        let middle = self.middle.iter().flatten().sum::<u64>();
        (self.route * 7_919 + middle).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 16
    }

    /// What it has in common with others.
    pub(crate) fn traits(&self, content: usize, has_parts: bool) -> RequestTraits {
        let middle = self.middle.iter().flatten().copied();
        let shared = std::iter::once(self.route).chain(middle);
        let shared = shared.filter(|_| has_parts);
        let digest = RequestDigest::of(&RequestContent {
            method: "POST",
            host: "spa",
            path: "/notes",
            team: None,
            body: &content.to_le_bytes(),
        });
        RequestTraits::new(&"engines".into(), digest, shared)
    }
}
