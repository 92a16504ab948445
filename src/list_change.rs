//! Changes of the list of targets, and what becomes of the entries that they concern.

use crate::{
    ids::{TargetId, TargetName},
    target_record::TargetRecord,
};

/// One change of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListChange {
    /// An entry was written.
    Put(TargetRecord),
    /// An entry went.
    Removed(TargetName),
    /// An entry was written that names no target to use.
    Unusable(TargetName),
}

/// Targets of which something changed, each with what became of it.
pub type Changes = Vec<(TargetId, Verdict)>;

/// What became of an entry, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is used from now on.
    Added,
    /// It changed.
    Changed,
    /// It takes no more work.
    Leaving,
    /// It is not used any more.
    Gone,
    /// It ended, and started again under its name.
    Restarted,
    /// Its entry was overwritten by one that names no target to use.
    Unusable,
    /// It went missing while the store was away and still counts for a moment.
    Kept,
}

impl Verdict {
    /// Whether the target's life is over for us.
    pub fn is_end(self) -> bool {
        matches!(self, Self::Gone | Self::Restarted | Self::Unusable)
    }

    /// Its name in logs.
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
