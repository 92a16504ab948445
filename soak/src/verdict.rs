//! Verdict on a run, for people and programs.

use crate::{RunOptions, promises::Promise};

/// Verdict on a run.
#[derive(Debug)]
pub struct Verdict {
    /// Number of calls that have ended.
    pub asked: u64,
    /// Number of calls that got status 200.
    pub served: u64,
    /// Number of targets that crashed under the crashing request.
    pub ended: u32,
    /// Violations, each with a description.
    pub broken: Vec<(Promise, String)>,
}

impl Verdict {
    /// Returns the guarantees that were violated, in the order in which that was noticed.
    pub fn violations(&self) -> Vec<Promise> {
        self.broken.iter().map(|(promise, _)| *promise).collect()
    }

    /// Returns whether no guarantee was violated.
    pub fn all_kept(&self) -> bool {
        self.broken.is_empty()
    }

    /// Formats the verdict as text for people.
    pub fn text(&self, options: &RunOptions) -> String {
        let RunOptions { seed, vms, .. } = options;
        let mut lines = vec![format!(
            "seed {seed}, {vms} vms: {} calls, {} served, {} targets crashed, {} promises broken",
            self.asked,
            self.served,
            self.ended,
            self.broken.len()
        )];
        let broken = self
            .broken
            .iter()
            .map(|(p, description)| format!("  {p:?}: {description}"));
        lines.extend(broken);
        lines.join("\n")
    }

    /// Formats the verdict as JSON for programs.
    pub fn json(&self, options: &RunOptions) -> String {
        let broken: Vec<String> = self
            .broken
            .iter()
            .map(|(p, h)| format!("{p:?}: {h}"))
            .collect();
        serde_json::json!({"seed": options.seed, "vms": options.vms, "asked": self.asked,
            "served": self.served, "ended": self.ended, "broken": broken})
        .to_string()
    }
}
