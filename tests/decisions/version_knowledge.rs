//! What a router knows of software versions, in any order of changes, restarts and times in which it hears nothing:
//! one version that it takes for the only one began each stream that is in progress.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use scaleford::{
    discovery::{ListChange, TargetRecord, TargetState},
    dispatcher::Dispatcher,
    service_versions::{VERSION_TTL, VersionNotice},
    stream_origin::StreamOrigin,
    units::{Instant, StoreRevision},
};

use super::{
    at, dispatcher,
    stream_origin::{service, with_version},
};

/// Number of routers. The first one always follows the list, and writes the record of versions.
const ROUTERS: usize = 3;

/// How a router reads the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Read {
    /// Each change since it read the list last.
    Events,
    /// The last change of each target since then, from a peer.
    Changes,
    /// All entries.
    List,
}

#[derive(Debug, Clone)]
enum Event {
    Join {
        version: usize,
    },
    Leave {
        nth: usize,
    },
    Pass {
        ms: u64,
    },
    Read {
        router: usize,
        how: Read,
    },
    Restart {
        router: usize,
    },
    Begin {
        router: usize,
        nth: usize,
    },
    TakeUp {
        router: usize,
        nth: usize,
        how: Read,
    },
}

#[derive(Default)]
struct Store {
    revision: u64,
    targets: BTreeMap<usize, (TargetRecord, u64)>,
    /// All changes: the target, its entry if it has one, and the revision.
    log: Vec<(usize, Option<TargetRecord>, u64)>,
    record: Option<(Vec<VersionNotice>, u64)>,
}

impl Store {
    fn change(&mut self, n: usize, entry: Option<TargetRecord>) {
        self.revision += 1;
        match &entry {
            Some(entry) => _ = self.targets.insert(n, (entry.clone(), self.revision)),
            None => _ = self.targets.remove(&n),
        }
        self.log.push((n, entry, self.revision));
    }
}

struct Router {
    dispatcher: Dispatcher,
    revision: u64,
    record_revision: u64,
    /// Changes of versions that the record has.
    recorded: Option<u64>,
}

impl Router {
    /// A router of a fleet that starts for the first time, or one that starts later.
    fn new(is_first_start: bool) -> Self {
        let mut dispatcher = dispatcher(0);
        if is_first_start {
            dispatcher.discovery.on_version_record(at(0), &[]);
        }
        Self {
            dispatcher,
            revision: 0,
            record_revision: 0,
            recorded: None,
        }
    }

    fn read(&mut self, now: Instant, store: &Store, how: Read) {
        let discovery = &mut self.dispatcher.discovery;
        let rev = StoreRevision::first_era;
        let new = store.log.iter().filter(|(_, _, at)| *at > self.revision);
        let how = if self.revision == 0 { Read::List } else { how };
        match how {
            Read::List => {
                let list = store.targets.values();
                let list = list.map(|(entry, at)| (entry.clone(), rev(*at)));
                discovery.on_list(now, list.collect(), rev(store.revision));
            }
            Read::Events | Read::Changes => {
                let last: BTreeMap<usize, u64> = new.clone().map(|(n, _, at)| (*n, *at)).collect();
                for (n, entry, at) in new {
                    if how == Read::Events || last[n] == *at {
                        let name = with_version(*n, "", TargetState::Ready).id.to_name();
                        let change = match entry {
                            Some(entry) => ListChange::Put(entry.clone()),
                            None => ListChange::Removed(name),
                        };
                        discovery.on_change(now, change, rev(*at));
                    }
                }
            }
        }
        if let Some((record, at)) = &store.record
            && *at > self.record_revision
        {
            discovery.on_version_record(now, record);
            self.record_revision = *at;
        }
        self.revision = store.revision;
    }

    /// Writes the record of versions if others count than it has.
    fn write_record(&mut self, now: Instant, store: &mut Store) {
        let discovery = &self.dispatcher.discovery;
        let changes = discovery.version_changes();
        if self.recorded != Some(changes) && discovery.knows_versions(now) {
            self.recorded = Some(changes);
            store.revision += 1;
            store.record = Some((discovery.version_record(now), store.revision));
            self.revision = store.revision;
        }
    }

    /// Returns the version that this router takes for the only one, by a list that has all up to `required`.
    fn sole_version(&self, now: Instant, required: u64) -> Option<StreamOrigin> {
        let discovery = &self.dispatcher.discovery;
        let is_current = self.revision >= required;
        let is_known = is_current && discovery.knows_versions(now);
        (discovery.sole_version(now, service())).filter(|_| is_known)
    }
}

fn event() -> impl Strategy<Value = Event> {
    let how = || prop_oneof![Just(Read::Events), Just(Read::Changes), Just(Read::List)];
    let router = 1..ROUTERS;
    prop_oneof![
        2 => (0..2_usize).prop_map(|version| Event::Join { version }),
        3 => (0..4_usize).prop_map(|nth| Event::Leave { nth }),
        2 => prop_oneof![0..3_000_u64, 20_000..130_000_u64].prop_map(|ms| Event::Pass { ms }),
        2 => (router.clone(), how()).prop_map(|(router, how)| Event::Read { router, how }),
        1 => router.clone().prop_map(|router| Event::Restart { router }),
        3 => (0..ROUTERS, 0..4_usize).prop_map(|(router, nth)| Event::Begin { router, nth }),
        4 => (router, 0..4_usize, how())
            .prop_map(|(router, nth, how)| Event::TakeUp { router, nth, how }),
    ]
}

/// Runs events, and returns the streams that went on: the version that began each, and that of the router.
fn run(events: &[Event]) -> Vec<(StreamOrigin, StreamOrigin)> {
    let (mut ms, mut next) = (0, 0);
    let mut store = Store::default();
    let mut routers: Vec<Router> = (0..ROUTERS).map(|_| Router::new(true)).collect();
    let mut streams: Vec<StreamOrigin> = Vec::new();
    let mut left: BTreeMap<StreamOrigin, u64> = BTreeMap::new();
    let mut gone_on = Vec::new();
    for event in events {
        let now = at(ms);
        match event {
            Event::Join { version } => {
                let entry = with_version(next, ["v1", "v2"][*version], TargetState::Ready);
                store.change(next, Some(entry));
                next += 1;
            }
            Event::Leave { nth } => {
                if let Some(n) = store.targets.keys().copied().nth(*nth) {
                    left.insert((&store.targets[&n].0).into(), ms);
                    store.change(n, None);
                }
            }
            Event::Pass { ms: passed } => ms += passed,
            Event::Read { router, how } => routers[*router].read(now, &store, *how),
            Event::Restart { router } => {
                routers[*router] = Router::new(false);
                routers[*router].read(now, &store, Read::List);
            }
            Event::Begin { router, nth } => {
                let listed = &routers[*router].dispatcher.discovery;
                let alive = store.targets.values().map(|(entry, _)| entry);
                let mut alive = alive.filter(|entry| listed.get(&entry.id).is_some());
                streams.extend(alive.nth(*nth).map(StreamOrigin::from));
            }
            Event::TakeUp { router, nth, how } => {
                let required = store.revision;
                routers[*router].read(now, &store, *how);
                let began = streams.iter().rev().nth(*nth);
                let listed: BTreeSet<StreamOrigin> =
                    store.targets.values().map(|(e, _)| e.into()).collect();
                let is_in_progress = |v: &&StreamOrigin| {
                    let gone = left.get(*v).map_or(0, |at| ms - at);
                    listed.contains(*v) || u128::from(gone) < VERSION_TTL.as_millis()
                };
                let sole = routers[*router].sole_version(now, required);
                gone_on.extend(began.filter(is_in_progress).copied().zip(sole));
            }
        }
        let now = at(ms);
        let writer = &mut routers[0];
        writer.dispatcher.discovery.on_tick(now);
        writer.read(now, &store, Read::Events);
        writer.write_record(now, &mut store);
    }
    gone_on
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against ORDER: no stream goes on at a version that did not begin it, whatever a router missed.
    #[test]
    fn the_only_version_that_a_router_knows_began_each_stream(
        events in prop::collection::vec(event(), 1..60),
    ) {
        for (began, goes_on) in run(&events) {
            prop_assert_eq!(began, goes_on);
        }
    }
}

/// Guards against a property that holds because no stream goes on.
#[test]
fn streams_of_the_only_version_go_on() {
    let how = Read::Changes;
    let events = [
        Event::Join { version: 0 },
        Event::Read { router: 1, how },
        Event::Begin { router: 0, nth: 0 },
        Event::TakeUp {
            router: 1,
            nth: 0,
            how,
        },
        Event::Restart { router: 2 },
        Event::TakeUp {
            router: 2,
            nth: 0,
            how,
        },
    ];
    assert_eq!(run(&events).len(), 2);
}
