//! The small service's targets while they state that they are brittle.

use std::{cell::RefCell, collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Number of calls that a target states it can reject within a second.
pub const REJECTION_LIMIT: u32 = 4;

/// Maximum number of times that targets may crash in one surge: two, and a tenth of the targets.
pub const MAX_CRASHES: usize = 2;

/// Calls that a brittle target rejected.
#[derive(Debug, Default)]
pub struct Rejections {
    recent: RefCell<VecDeque<Instant>>,
}

impl Rejections {
    /// Counts a rejection; returns whether the target crashes under it.
    pub fn on_rejected(&self) -> bool {
        let mut recent = self.recent.borrow_mut();
        recent.push_back(Instant::now());
        recent.retain(|at| at.elapsed() < Duration::from_secs(1));
        let has_crashed = recent.len() > REJECTION_LIMIT as usize;
        if has_crashed {
            recent.clear();
        }
        has_crashed
    }
}
