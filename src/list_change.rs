//! Changes of the list of targets, and their effects on its entries.

use crate::{
    ids::{TargetId, TargetName},
    target_record::TargetRecord,
};

/// A change of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListChange {
    /// An entry was written.
    Put(TargetRecord),
    /// An entry was removed.
    Removed(TargetName),
    /// An entry was written that describes no usable target.
    Unusable(TargetName),
}

/// Targets that changed, each with the effect of the change.
pub type Changes = Vec<(TargetId, TargetChange)>;

/// Effect of a change on a target, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetChange {
    /// The target is used from now on.
    Added,
    /// The target's entry changed.
    Changed,
    /// The target takes no more work.
    Leaving,
    /// The target is not used any more.
    Gone,
    /// The target ended, and restarted under its name.
    Restarted,
    /// The target's entry was overwritten by one that describes no usable target.
    Unusable,
    /// The target's entry went missing while the store was unavailable, and still counts for a
    /// moment.
    Kept,
}

impl TargetChange {
    /// Whether this instance of the target is not used any more.
    pub fn ends_instance(self) -> bool {
        matches!(self, Self::Gone | Self::Restarted | Self::Unusable)
    }

    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Added => "added",
            Self::Changed => "changed",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
            Self::Restarted => "restarted",
            Self::Unusable => "unusable",
            Self::Kept => "kept for a moment",
        }
    }
}
