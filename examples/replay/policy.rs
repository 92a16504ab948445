//! Ways to choose a target, the daemon's and those to compare it with.

use std::{fmt, str::FromStr};

use scaleford::{
    ids::ConversationKey,
    placement::{Candidate, rank},
};

use crate::{engine::Engine, trace::Request};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Home routers with exact accounts: what the daemon does.
    Home,
    /// Every entry router sends directly, by lagged reports and its own sends.
    Direct,
    /// The first of the rank, whatever its load.
    Rank,
    /// The least reported load.
    LeastLoad,
    /// The less loaded of the first two of the rank.
    TwoChoices,
    /// Knows every cache and load exactly.
    Oracle,
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "home" => Ok(Self::Home),
            "direct" => Ok(Self::Direct),
            "rank" => Ok(Self::Rank),
            "least-load" => Ok(Self::LeastLoad),
            "two-choices" => Ok(Self::TwoChoices),
            "oracle" => Ok(Self::Oracle),
            _ => Err(format!("no policy {s:?}")),
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Home => "home",
            Self::Direct => "direct",
            Self::Rank => "rank",
            Self::LeastLoad => "least-load",
            Self::TwoChoices => "two-choices",
            Self::Oracle => "oracle",
        })
    }
}

/// What an entry router knows of the engines: reported tokens with its own sends on top.
pub struct Known<'a> {
    pub candidates: &'a [Candidate],
    /// The engine of each candidate.
    pub engine_of: &'a [usize],
    pub loads: &'a [u64],
    pub cost: u64,
    pub bound: f64,
}

impl Known<'_> {
    /// The engine that a policy without homes chooses.
    pub fn choose(&self, policy: Policy, r: &Request, engines: &[Engine]) -> Option<usize> {
        let key = ConversationKey(r.conversation.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let ranked = rank(self.candidates, key, self.candidates.len());
        let ranked: Vec<usize> = ranked.into_iter().map(|i| self.engine_of[i]).collect();
        let load = |e: &usize| self.loads[*e];
        match policy {
            Policy::Rank | Policy::Home => ranked.first().copied(),
            Policy::Direct => {
                let limit = self.limit(&ranked);
                let fits = ranked
                    .iter()
                    .find(|e| (load(e) + self.cost) as f64 <= limit);
                fits.or_else(|| ranked.iter().min_by_key(|e| load(e)))
                    .copied()
            }
            Policy::LeastLoad => ranked.iter().min_by_key(|e| load(e)).copied(),
            Policy::TwoChoices => ranked.iter().take(2).min_by_key(|e| load(e)).copied(),
            Policy::Oracle => {
                let limit = self.limit(&ranked);
                let fits = ranked
                    .iter()
                    .filter(|e| (load(e) + self.cost) as f64 <= limit);
                let best = fits.max_by_key(|e| (engines[**e].cached(r), u64::MAX - load(e)));
                best.or_else(|| ranked.iter().min_by_key(|e| load(e)))
                    .copied()
            }
        }
    }

    fn limit(&self, ranked: &[usize]) -> f64 {
        let all: u64 = ranked.iter().map(|e| self.loads[*e]).sum();
        (all + self.cost) as f64 / ranked.len().max(1) as f64 * self.bound
    }
}
