//! How all routers that start at once get their first configuration, in virtual time.

mod fleet_net;

use std::{collections::BTreeMap, time::Duration};

use fleet_net::{Net, Router, address, number_of};
use rstest::rstest;
use scaleford::{
    membership::{
        first_read::first_answer_timeout,
        readers::{NextRead, ReadState},
    },
    units::{Instant, StoreRevision},
};

/// Time of the store for one page of a list.
const PAGE_TIME: Duration = Duration::from_millis(4);

/// Number of entries in a page of a list.
const PAGE_ENTRIES: usize = 200;

/// Time from a request to a peer until its answer arrives, if it has content.
const PEER_TIME: Duration = Duration::from_millis(20);

/// What a router waits for.
#[derive(Debug, Clone, Copy)]
enum Pending {
    /// The end of its list of the store.
    List(Instant),
    /// An answer of the peer with this number, which it asked at that instant.
    Answer(usize, Instant),
}

/// Routers that start within 0.3 s and read the store, each directly or from another one.
struct Restart {
    net: Net,
    pending: BTreeMap<usize, Pending>,
    /// Time from each router's start until it had a configuration.
    configured: BTreeMap<usize, Duration>,
    /// Requests of each router that were not answered in time.
    failures: BTreeMap<usize, u32>,
    /// Calls to the store.
    store_calls: usize,
    pages: u32,
    /// Routers that answer no request of their peers.
    mute: usize,
}

impl Restart {
    fn new(n: usize, targets: usize, mute: usize) -> Self {
        let mut net = Net::starting(n, 0.01);
        net.step = Duration::from_millis(if n > 400 { 25 } else { 10 });
        for router in net.routers.values_mut() {
            router.epoch = router.started;
            // A router compares at once when it starts.
            router.last_compared = Instant::default();
            router.started = router.started + Duration::from_secs(1);
            router.epoch = router.started;
        }
        net.now = Instant(Duration::from_secs(1));
        Self {
            net,
            pending: BTreeMap::new(),
            configured: BTreeMap::new(),
            failures: BTreeMap::new(),
            store_calls: 0,
            pages: targets.div_ceil(PAGE_ENTRIES) as u32,
            mute,
        }
    }

    fn failures(&self, i: usize) -> u32 {
        self.failures.get(&i).copied().unwrap_or_default()
    }

    fn run(&mut self, time: Duration) {
        let end = self.net.now + time;
        while self.net.now < end {
            self.net.run(self.net.step);
            let now = self.net.now;
            let started = self.net.routers.iter().filter(|(_, r)| now >= r.started);
            let started: Vec<usize> = started.map(|(i, _)| *i).collect();
            started.into_iter().for_each(|i| self.sync(i));
        }
    }

    /// Runs one router's synchronization with the store.
    fn sync(&mut self, i: usize) {
        let now = self.net.now;
        let local = self.net.routers[&i].local(now);
        let has_content = |j: usize| j >= self.mute && self.net.routers[&j].has_content;
        match self.pending.get(&i).copied() {
            Some(Pending::List(end)) if now >= end => self.on_content(i, Some(local)),
            Some(Pending::Answer(j, at)) if now >= at + PEER_TIME && has_content(j) => {
                self.on_content(i, None);
            }
            Some(Pending::Answer(j, at)) if now >= at + first_answer_timeout(self.failures(i)) => {
                *self.failures.entry(i).or_default() += 1;
                self.pending.remove(&i);
                let router = self.net.routers.get_mut(&i).unwrap();
                router.peers.on_nothing_recent(local, address(j));
            }
            Some(_) => {}
            None if self.net.routers[&i].has_content => {}
            None => match next_read(&self.net.routers[&i], local) {
                NextRead::Wait => {}
                NextRead::Ask(peer) => {
                    let asked = Pending::Answer(number_of(peer), now);
                    self.pending.insert(i, asked);
                }
                NextRead::Store => {
                    self.store_calls += self.pages as usize;
                    let end = now + PAGE_TIME * self.pages;
                    self.pending.insert(i, Pending::List(end));
                }
            },
        }
    }

    fn on_content(&mut self, i: usize, store_answered_at: Option<Instant>) {
        self.pending.remove(&i);
        let now = self.net.now;
        let router = self.net.routers.get_mut(&i).unwrap();
        router.has_content = true;
        router.store_answered_at = store_answered_at;
        self.configured.insert(i, now.since(router.started));
    }

    /// Returns the longest time from the start of a router until it had a configuration.
    fn slowest(&self) -> Duration {
        assert_eq!(self.configured.len(), self.net.routers.len());
        self.configured.values().copied().max().unwrap()
    }
}

fn next_read(router: &Router, local: Instant) -> NextRead {
    let state = ReadState {
        revision: StoreRevision::default(),
        ..ReadState::default()
    };
    router.peers.next_read(local, &state)
}

/// Maximum time from a router's start until it has a configuration: callers wait for it.
const MAX_CONFIG_WAIT: Duration = Duration::from_millis(500);

/// Maximum rate of the whole fleet's read calls to the store, per second.
const MAX_STORE_CALLS_PER_S: usize = 6_000;

/// Each router waited until it had known of no further router for half a second: of 80 routers, the slowest had
/// its configuration after 0.85 s here, and 43 listed the store. Two routers that are known and answer no request
/// must not cost more, and not every router may list the store for itself.
#[rstest]
#[case::a_few(7, 0)]
#[case::some(40, 0)]
#[case::many(80, 0)]
#[case::nearly_with_feeders(120, 0)]
#[case::some_with_two_that_do_not_answer(40, 2)]
#[case::many_with_two_that_do_not_answer(80, 2)]
fn routers_that_start_together_have_a_configuration_within_half_a_second(
    #[case] n: usize,
    #[case] mute: usize,
) {
    let mut restart = Restart::new(n, n, mute);
    restart.run(Duration::from_secs(2));
    let slowest = restart.slowest();
    assert!(slowest <= MAX_CONFIG_WAIT, "{slowest:?}");
    let lists = restart.store_calls;
    assert!(lists <= (n / 3).max(4), "{lists} lists");
}

/// A third of 985 routers that started together listed 10,000 targets each: 17,100 calls, most of them in the
/// same tenths of a second, to a store that allows 6,000 per second.
#[test]
fn the_whole_fleet_keeps_within_the_limits_of_the_store() {
    let mut restart = Restart::new(985, 10_000, 0);
    restart.run(Duration::from_millis(2_500));
    // No second has more calls than the whole start.
    let calls = restart.store_calls;
    assert!(calls <= MAX_STORE_CALLS_PER_S, "{calls} calls");
    assert!(restart.slowest() <= Duration::from_secs(2));
}
