//! Data halls whose targets are to get nothing for a while, as operators state it.
//!
//! Statements are ordered by the write of the store that made them, so that one which arrives late or twice
//! changes nothing. The end of an evacuation is remembered: targets of a hall that is taken back are cold
//! then, before their entries say so.

use std::collections::BTreeMap;

use crate::{
    ids::DataHall,
    units::{Instant, StoreRevision},
};

/// What is stated of one data hall.
#[derive(Debug, Clone, Copy)]
struct Stated {
    revision: StoreRevision,
    /// When it came to be known here.
    at: Instant,
    is_evacuated: bool,
}

/// What is stated of all data halls.
#[derive(Debug, Default)]
pub struct Evacuations {
    halls: BTreeMap<DataHall, Stated>,
}

impl Evacuations {
    /// A hall is evacuated, or taken back, by a write; returns whether that is a change.
    pub fn on_change(
        &mut self,
        now: Instant,
        hall: DataHall,
        is_evacuated: bool,
        revision: StoreRevision,
    ) -> bool {
        let before = self.halls.get(&hall).copied();
        match before {
            Some(stated) if stated.revision >= revision => return false,
            None if !is_evacuated => return false,
            _ => {}
        }
        let is_new = before.is_none_or(|b| b.is_evacuated != is_evacuated);
        let at = before.filter(|_| !is_new).map_or(now, |b| b.at);
        let stated = Stated {
            revision,
            at,
            is_evacuated,
        };
        self.halls.insert(hall, stated);
        is_new
    }

    /// Takes all halls that are evacuated as of `revision`; returns those of which that is a change.
    pub fn on_list(
        &mut self,
        now: Instant,
        list: Vec<(DataHall, StoreRevision)>,
        revision: StoreRevision,
    ) -> Vec<DataHall> {
        let is_missing = |hall: &&DataHall| !list.iter().any(|(listed, _)| listed == *hall);
        let missing: Vec<DataHall> = self.halls.keys().filter(is_missing).cloned().collect();
        let listed = list.into_iter().map(|(hall, at)| (hall, true, at));
        let ended = missing.into_iter().map(|hall| (hall, false, revision));
        let mut changed = Vec::new();
        for (hall, is_evacuated, at) in listed.chain(ended) {
            if self.on_change(now, hall.clone(), is_evacuated, at) {
                changed.push(hall);
            }
        }
        changed
    }

    /// Takes halls that are evacuated in an older copy of the store, where nothing else is stated of them here; returns these.
    pub fn on_copy(&mut self, now: Instant, list: Vec<(DataHall, StoreRevision)>) -> Vec<DataHall> {
        let is_new = |(hall, _): &(DataHall, StoreRevision)| !self.halls.contains_key(hall);
        let new: Vec<_> = list.into_iter().filter(is_new).collect();
        for (hall, at) in &new {
            self.on_change(now, hall.clone(), true, *at);
        }
        new.into_iter().map(|(hall, _)| hall).collect()
    }

    /// Whether a hall's targets are to get nothing.
    pub fn is_evacuated(&self, hall: &DataHall) -> bool {
        self.halls.get(hall).is_some_and(|s| s.is_evacuated)
    }

    /// The halls that are evacuated, each with when that came to be known here.
    pub fn evacuated(&self) -> impl Iterator<Item = (&DataHall, Instant)> {
        let on = self.halls.iter().filter(|(_, s)| s.is_evacuated);
        on.map(|(hall, s)| (hall, s.at))
    }

    /// Whether any hall was evacuated before and is not now.
    pub fn is_any_taken_back(&self) -> bool {
        self.halls.values().any(|s| !s.is_evacuated)
    }

    /// When it came to be known here that a hall was taken back.
    pub fn taken_back_at(&self, hall: &DataHall) -> Option<Instant> {
        let stated = self.halls.get(hall).filter(|s| !s.is_evacuated)?;
        Some(stated.at)
    }
}
