//! Evacuation of data halls: operators state that the targets of a hall get no calls for a while.
//!
//! Statements are ordered by the store's write that made them, so that one that arrives late or
//! twice changes nothing. The end of an evacuation is remembered: targets of a hall that is taken
//! back into service are cold then, before their entries say so.

use std::collections::BTreeMap;

use crate::{
    ids::DataHall,
    units::{Instant, StoreRevision},
};

/// Latest statement on one data hall.
#[derive(Debug, Clone, Copy)]
struct HallStatement {
    /// Write of the store that made the statement.
    revision: StoreRevision,
    /// When this router learned that the hall was evacuated or taken back.
    at: Instant,
    is_evacuated: bool,
}

/// Latest statements on all data halls.
#[derive(Debug, Default)]
pub struct Evacuations {
    halls: BTreeMap<DataHall, HallStatement>,
}

impl Evacuations {
    /// Handles a write that evacuates a hall or takes it back into service; returns whether that
    /// changes the hall's state.
    pub fn on_change(
        &mut self,
        now: Instant,
        hall: DataHall,
        is_evacuated: bool,
        revision: StoreRevision,
    ) -> bool {
        let before = self.halls.get(&hall).copied();
        match before {
            Some(statement) if statement.revision >= revision => return false,
            None if !is_evacuated => return false,
            _ => {}
        }
        let is_change = before.is_none_or(|b| b.is_evacuated != is_evacuated);
        let at = before.filter(|_| !is_change).map_or(now, |b| b.at);
        let statement = HallStatement {
            revision,
            at,
            is_evacuated,
        };
        self.halls.insert(hall, statement);
        is_change
    }

    /// Applies the list of all halls that are evacuated as of `revision`; returns the halls whose
    /// state changed.
    pub fn on_list(
        &mut self,
        now: Instant,
        list: Vec<(DataHall, StoreRevision)>,
        revision: StoreRevision,
    ) -> Vec<DataHall> {
        let is_missing = |hall: &&DataHall| !list.iter().any(|(listed, _)| listed == *hall);
        let missing: Vec<DataHall> = self.halls.keys().filter(is_missing).cloned().collect();
        let listed = list.into_iter().map(|(hall, at)| (hall, true, at));
        let taken_back = missing.into_iter().map(|hall| (hall, false, revision));
        let mut changed = Vec::new();
        for (hall, is_evacuated, at) in listed.chain(taken_back) {
            if self.on_change(now, hall.clone(), is_evacuated, at) {
                changed.push(hall);
            }
        }
        changed
    }

    /// Applies a list of evacuated halls from an older copy of the store, except for halls that
    /// have a statement here already; returns the halls that were added.
    pub fn on_copy(&mut self, now: Instant, list: Vec<(DataHall, StoreRevision)>) -> Vec<DataHall> {
        let is_new = |(hall, _): &(DataHall, StoreRevision)| !self.halls.contains_key(hall);
        let added: Vec<_> = list.into_iter().filter(is_new).collect();
        for (hall, at) in &added {
            self.on_change(now, hall.clone(), true, *at);
        }
        added.into_iter().map(|(hall, _)| hall).collect()
    }

    /// Whether the targets of a hall get no calls.
    pub fn is_evacuated(&self, hall: &DataHall) -> bool {
        self.halls.get(hall).is_some_and(|s| s.is_evacuated)
    }

    /// Returns the evacuated halls, each with the time at which this router learned of it.
    pub fn evacuated(&self) -> impl Iterator<Item = (&DataHall, Instant)> {
        let evacuated = self.halls.iter().filter(|(_, s)| s.is_evacuated);
        evacuated.map(|(hall, s)| (hall, s.at))
    }

    /// Whether any hall was evacuated before and is not now.
    pub fn is_any_taken_back(&self) -> bool {
        self.halls.values().any(|s| !s.is_evacuated)
    }

    /// Returns when this router learned that a hall was taken back into service.
    pub fn taken_back_at(&self, hall: &DataHall) -> Option<Instant> {
        let statement = self.halls.get(hall).filter(|s| !s.is_evacuated)?;
        Some(statement.at)
    }
}
