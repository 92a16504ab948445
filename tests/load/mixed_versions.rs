//! Streams that callers take up at other routers after many routers died at once, or restarted in turn, while
//! targets run two software versions.

use std::{collections::HashSet, time::Duration};

use proptest::prelude::*;
use rand::{Rng, SeedableRng, seq::IteratorRandom};
use rand_pcg::Pcg64;
use rstest::rstest;
use scaleford::{
    ids::{Incarnation, ServiceName, VmId},
    placement::owners,
    replicas::Holder,
    stream_origin::{OriginNotice, StreamKey, StreamOrigin, StreamOrigins},
    units::Instant,
};

/// Number of streams in progress.
const STREAMS: usize = 600;

/// Fraction of datagrams that are lost.
const LOSS: f64 = 0.05;

/// Number of routers that are told an origin.
const HOLDERS: usize = 3;

/// Number of routers that are asked for an origin, of those that run.
const ASKED: usize = 2 * HOLDERS;

/// Part of the streams taken up that has to go on: half as many as of new streams begin, of which all do here.
const MIN_CONTINUED: f64 = 0.5;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn versions() -> [StreamOrigin; 2] {
    let service: ServiceName = "writer".parse().unwrap();
    ["v1", "v2"].map(|v| StreamOrigin::new(&service, &v.into()))
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Serving,
    Stopping,
    Down,
}

struct Router {
    name: VmId,
    incarnation: u64,
    state: State,
    origins: StreamOrigins,
}

impl Router {
    fn holder(&self, me: usize, n: usize) -> Holder {
        Holder {
            vm: self.name.clone(),
            incarnation: Incarnation(self.incarnation),
            address: (me != n).then(|| ([127, 0, 0, 1], n as u16).into()),
            holds_all: false,
        }
    }
}

struct Fleet {
    routers: Vec<Router>,
    loss: f64,
    rng: Pcg64,
}

impl Fleet {
    fn new(routers: usize, loss: f64, seed: u64) -> Self {
        let router = |n| Router {
            name: format!("vm-{n}").parse().unwrap(),
            incarnation: 1,
            state: State::Serving,
            origins: StreamOrigins::default(),
        };
        Self {
            routers: (0..routers).map(router).collect(),
            loss,
            rng: Pcg64::seed_from_u64(seed),
        }
    }

    fn in_state(&self, state: State) -> Vec<usize> {
        let all = 0..self.routers.len();
        all.filter(|n| self.routers[*n].state == state).collect()
    }

    fn begin(&mut self, router: usize, stream: StreamKey, origin: StreamOrigin, ms: u64) {
        self.routers[router]
            .origins
            .on_begun(at(ms), stream, origin);
    }

    /// Tells a router which others may hold copies.
    fn update_holders(&mut self, n: usize, ms: u64) {
        let serving = self.in_state(State::Serving).into_iter();
        let holders = serving.map(|other| self.routers[other].holder(n, other));
        let holders = holders.collect();
        self.routers[n].origins.on_holders(at(ms), holders);
    }

    /// Sends the origins that all routers have to tell, of which some datagrams are lost. Returns how many.
    fn exchange(&mut self, ms: u64) -> usize {
        let mut sent: Vec<(usize, OriginNotice)> = Vec::new();
        for from in 0..self.routers.len() {
            let router = &self.routers[from];
            if router.state != State::Down && !router.origins.is_empty() {
                self.update_holders(from, ms);
                let notices = self.routers[from]
                    .origins
                    .take_notices(at(ms), usize::MAX, |_| true);
                let notices = notices.into_iter();
                sent.extend(notices.map(|(to, notice)| (to.port().into(), notice)));
            }
        }
        for (to, notice) in &sent {
            if self.routers[*to].state != State::Down && !self.rng.random_bool(self.loss) {
                self.update_holders(*to, ms);
                (self.routers[*to].origins).on_notices(at(ms), &[*notice]);
            }
        }
        sent.len()
    }

    fn kill(&mut self, n: usize) {
        self.routers[n].state = State::Down;
    }

    fn restart(&mut self, n: usize) {
        let router = &mut self.routers[n];
        router.state = State::Serving;
        router.incarnation += 1;
        router.origins = StreamOrigins::default();
    }

    /// Returns the origin that a router finds by its own memory or by asking those that may hold it.
    fn find(&self, router: usize, stream: StreamKey, ms: u64) -> Option<StreamOrigin> {
        let up = self.routers.iter().filter(|r| r.state != State::Down);
        let names = owners(&stream.to_string(), up.map(|r| &r.name), ASKED);
        let asked = self.routers.iter().filter(|r| names.contains(&&r.name));
        let own = std::iter::once(&self.routers[router]);
        own.chain(asked).find_map(|r| r.origins.get(at(ms), stream))
    }
}

/// Each stream's router dies, and others with it. No stream may be taken for one of another version.
#[rstest]
fn origins_are_known_after_the_routers_that_began_the_streams_died(
    #[values(7, 80, 380, 985)] routers: usize,
    #[values(0.0, 0.3, 0.6)] others_killed: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::new(routers, LOSS, seed);
    let versions = versions();
    // Callers of a few routers lose their connections at once, at most two in seven.
    let dying: Vec<usize> = (0..routers.div_ceil(7).max(2)).collect();
    let mut streams = Vec::new();
    let mut sent = 0;
    for n in 0..STREAMS {
        let (router, origin) = (dying[n % dying.len()], versions[n % 2]);
        let stream = StreamKey::new(None, &format!("s{n}"));
        fleet.begin(router, stream, origin, 0);
        streams.push((stream, origin));
    }
    for ms in [0, 100] {
        sent += fleet.exchange(ms);
    }
    dying.iter().for_each(|n| fleet.kill(*n));
    let left = fleet.in_state(State::Serving);
    let also = ((left.len() as f64 * others_killed) as usize).min(left.len() - 1);
    let mut rng = Pcg64::seed_from_u64(seed);
    for n in left.into_iter().choose_multiple(&mut rng, also) {
        fleet.kill(n);
    }
    let takers = fleet.in_state(State::Serving);
    let mut known = 0;
    for (n, (stream, origin)) in streams.iter().enumerate() {
        let found = fleet.find(takers[n % takers.len()], *stream, 500);
        assert!(found.is_none_or(|found| found == *origin));
        known += usize::from(found.is_some());
    }
    let part = known as f64 / STREAMS as f64;
    println!("{routers} routers, {others_killed} killed, seed {seed}: {part:.3} known");
    assert!(part >= MIN_CONTINUED, "{part}");
    assert!(sent <= STREAMS * HOLDERS * 2);
}

/// Each stream costs the same number of datagrams however many routers there are.
#[rstest]
fn an_origin_is_told_to_a_few_routers(#[values(80, 985)] routers: usize) {
    let mut fleet = Fleet::new(routers, LOSS, 1);
    for n in 0..200 {
        let stream = StreamKey::new(None, &format!("s{n}"));
        fleet.begin(n % routers, stream, versions()[0], 0);
    }
    let sent = fleet.exchange(10);
    assert!(sent <= 200 * HOLDERS, "{sent}");
    let known = fleet.routers.iter().map(|r| r.origins.len()).sum::<usize>();
    assert!(known as f64 >= 200.0 * (1.0 + HOLDERS as f64) * (1.0 - 3.0 * LOSS));
    let late = at(0) + Duration::from_mins(11);
    let first = StreamKey::new(None, "s0");
    let mut origins = fleet.routers.iter().map(|r| &r.origins);
    assert!(origins.all(|o| o.get(late, first).is_none()));
}

/// How routers end that are started again one after another.
#[derive(Debug, Clone, Copy)]
enum End {
    /// They are killed.
    Kill,
    /// They stop, and serve on meanwhile.
    Stop,
}

/// Interval between the ends of two routers, and the time after which a stopping one has ended.
const RESTART_INTERVAL_MS: u64 = 1_000;
const STOP_TIME_MS: u64 = 8_000;

/// Time for which a router that ended is down, and the delay until others know that it is back, or stops.
const DOWN_TIME_MS: u64 = 300;
const STEP_MS: u64 = 100;

/// Returns the router that holds the origins of most streams, of those that serve.
fn busiest_holder(fleet: &Fleet, streams: &[(StreamKey, StreamOrigin)], ms: u64) -> Option<usize> {
    let serving = fleet.in_state(State::Serving).into_iter();
    let held = |n: &usize| {
        let origins = &fleet.routers[*n].origins;
        streams
            .iter()
            .filter(|(s, _)| origins.get(at(ms), *s).is_some())
            .count()
    };
    serving.max_by_key(held).filter(|n| held(n) > 0)
}

/// Guards against LOST: each time, the router that knows most is the next to end, so that all who were told of a
/// stream have restarted several times when its caller takes it up.
#[rstest]
fn origins_outlive_restarts_in_turn_of_all_routers_that_know_them(
    #[values(7, 80, 985)] routers: usize,
    #[values(End::Kill, End::Stop)] end: End,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::new(routers, LOSS, seed);
    let mut streams = Vec::new();
    for n in 0..30 {
        let (stream, origin) = (StreamKey::new(None, &format!("s{n}")), versions()[n % 2]);
        fleet.begin(n % routers, stream, origin, 0);
        streams.push((stream, origin));
    }
    let mut restarts = 0;
    let mut ends_at = vec![None; routers];
    for ms in (0..40_000).step_by(STEP_MS as usize) {
        if ms > 0 && ms % RESTART_INTERVAL_MS == 0 {
            match (busiest_holder(&fleet, &streams, ms), end) {
                (Some(n), End::Kill) => {
                    fleet.kill(n);
                    ends_at[n] = Some(ms);
                }
                (Some(n), End::Stop) => {
                    fleet.routers[n].state = State::Stopping;
                    ends_at[n] = Some(ms + STOP_TIME_MS);
                }
                (None, _) => {}
            }
        }
        for (n, ends_at) in ends_at.iter_mut().enumerate() {
            match *ends_at {
                Some(ended) if ms == ended => fleet.kill(n),
                Some(ended) if ms == ended + DOWN_TIME_MS => {
                    fleet.restart(n);
                    *ends_at = None;
                    restarts += 1;
                }
                _ => {}
            }
        }
        fleet.exchange(ms);
    }
    let takers = fleet.in_state(State::Serving);
    let found = |(n, (stream, origin)): (usize, &(StreamKey, StreamOrigin))| {
        let found = fleet.find(takers[n % takers.len()], *stream, 40_000);
        assert!(found.is_none_or(|found| found == *origin));
        found.is_some()
    };
    let known = streams.iter().enumerate().map(found).filter(|f| *f).count();
    println!("{routers} routers, {end:?}, seed {seed}: {restarts} restarts, {known} of 30 known");
    assert!(restarts >= 25, "{restarts}");
    assert!(
        known as f64 >= MIN_CONTINUED * streams.len() as f64,
        "{known}"
    );
}

/// An event of a fleet.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A stream begins at this router.
    Begin(usize),
    /// The caller of this stream takes it up at this router.
    TakeUp(usize, usize),
    Kill(usize),
    Stop(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..7usize).prop_map(Event::Begin),
        (0..20usize, 0..7usize).prop_map(|(s, n)| Event::TakeUp(s, n)),
        (0..7usize).prop_map(Event::Kill),
        (0..7usize).prop_map(Event::Stop),
    ]
}

proptest! {
    /// Guards against ORDER and LOST in any order of events, one a second: no stream is taken for one of another
    /// version, and each is known where no datagram is lost and two routers serve at all times.
    #[test]
    fn a_stream_is_known_as_what_it_is_after_any_events(
        events in prop::collection::vec(event(), 1..40),
        loses in any::<bool>(),
        seed in any::<u64>(),
    ) {
        let mut fleet = Fleet::new(7, if loses { 0.5 } else { 0.0 }, seed);
        let mut streams: Vec<(StreamKey, StreamOrigin)> = Vec::new();
        let mut ended: HashSet<(u64, usize)> = HashSet::new();
        let mut ms = 0;
        for event in events {
            let serving = fleet.in_state(State::Serving);
            let serves = |n: usize| serving.contains(&n);
            match event {
                Event::Begin(n) if serves(n) => {
                    let stream = StreamKey::new(None, &format!("s{}", streams.len()));
                    let origin = versions()[streams.len() % 2];
                    streams.push((stream, origin));
                    fleet.begin(n, stream, origin, ms);
                }
                Event::TakeUp(s, n) if s < streams.len() && serves(n) => {
                    let (stream, origin) = streams[s];
                    let found = fleet.find(n, stream, ms);
                    prop_assert!(found.is_none_or(|found| found == origin));
                    prop_assert!(found.is_some() || loses, "{event:?} at {ms}");
                    found.into_iter().for_each(|origin| fleet.begin(n, stream, origin, ms));
                }
                Event::Kill(n) if serves(n) && serving.len() > 2 => {
                    fleet.kill(n);
                    ended.insert((ms + DOWN_TIME_MS, n));
                }
                Event::Stop(n) if serves(n) && serving.len() > 2 => {
                    fleet.routers[n].state = State::Stopping;
                    ended.insert((ms + STOP_TIME_MS, n));
                }
                _ => {}
            }
            for _ in 0..RESTART_INTERVAL_MS / STEP_MS {
                ms += STEP_MS;
                let due: Vec<(u64, usize)> = ended.iter().filter(|e| e.0 <= ms).copied().collect();
                for end in due {
                    ended.remove(&end);
                    fleet.restart(end.1);
                }
                fleet.exchange(ms);
            }
        }
    }
}
