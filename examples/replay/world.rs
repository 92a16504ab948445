//! Routers, engines and messages in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use scaleford::{
    config::{FleetConfig, Serves, Target, TargetIntent},
    home::{Offer, TargetReport, Ticket, Verdict, Wake},
    homes::{HomeMap, Homes, PoolSum, TargetWake},
    ids::{ConversationKey, PrefixKey, TargetId, VmId},
    peer::{Message, encode_datagram, placed_size},
    placement::{Candidate, prefix_targets, rank},
    result_code::ResultCode,
    units::{Instant, LoadBound, Tokens, Weight},
    walk::{Step, WALK, Walk},
};

use crate::{
    engine::Engine,
    figures::Figures,
    policy::{Known, Policy},
    trace::{Line, Request},
};

/// Tokens that an answer is expected to have; its true length is known only at its end.
const EXPECTED_ANSWER: u64 = 230;

/// The time in which caches fill and nothing is measured.
const WARM_UP_MS: u64 = 20_000;

const SAMPLE_MS: u64 = 100;
const REPORT_MS: u64 = 1_000;
const TARGETS_MS: u64 = 2_000;
const DOUBTED_MS: u64 = 200;
const QUEUE_MS: u64 = 50;
const DEADLINE: Duration = Duration::from_secs(60);

/// Bytes of a datagram's or segment's headers.
const UDP_HEADERS: u64 = 28;
const TCP_HEADERS: u64 = 40;

pub struct Setup {
    pub policy: Policy,
    pub routers: usize,
    pub seed: u64,
    pub lag_ms: u64,
    pub bound: f64,
}

type Id = usize;

enum Event {
    Line(usize),
    /// A request's next step reaches its home.
    Walk(Id),
    Offer(Id, usize),
    /// A home's answer reaches the entry router.
    Declined(Id, u16, Vec<TargetId>),
    Start(Id, usize),
    Finish(Id),
    Load {
        to: usize,
        from: usize,
        ask: bool,
        sums: Vec<PoolSum>,
    },
    Placed {
        to: usize,
        first: TargetId,
        key: u64,
        target: TargetId,
    },
    View(usize),
    Reports,
    Targets(bool),
    Queues,
    Sample,
}

struct Router {
    vm: VmId,
    homes: Homes,
    live: Vec<VmId>,
    map: HomeMap,
    candidates: Vec<Candidate>,
    engine_of: Vec<usize>,
    /// The first choices of each account's chats.
    by_prefix: HashMap<u64, Vec<Candidate>>,
    /// Reported loads and own sends, for policies without homes.
    known: Vec<u64>,
    born: u64,
}

struct Job {
    request: Request,
    entry: usize,
    walk: Walk,
    step: Option<Step>,
    arrived: u64,
    home: Option<(usize, u64)>,
    engine: Option<usize>,
    done: bool,
}

pub struct World<'a> {
    setup: &'a Setup,
    now: u64,
    seq: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    engines: Vec<Engine>,
    accounts: u64,
    token_us: u64,
    prefill_us: u64,
    cfg: FleetConfig,
    names: Vec<TargetId>,
    index: HashMap<TargetId, usize>,
    routers: Vec<Router>,
    of_vm: HashMap<VmId, usize>,
    jobs: Vec<Job>,
    last_at: HashMap<u64, usize>,
    figures: Figures,
    rng: Pcg64,
    end: u64,
}

impl<'a> World<'a> {
    pub fn new(setup: &'a Setup, lines: &[Line]) -> Result<Self, String> {
        let Some(Line::Fleet {
            engines,
            accounts,
            cache_tokens,
            token_us,
            prefill_us,
        }) = lines.first()
        else {
            return Err("line 1: expected the fleet".to_owned());
        };
        let names: Vec<TargetId> = (0..*engines)
            .map(|i| name(&format!("engine-{i}")))
            .collect();
        let mut world = Self {
            setup,
            now: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            engines: (0..*engines).map(|_| Engine::new(*cache_tokens)).collect(),
            accounts: *accounts,
            token_us: *token_us,
            prefill_us: *prefill_us,
            cfg: FleetConfig::default(),
            index: names
                .iter()
                .cloned()
                .enumerate()
                .map(|(i, n)| (n, i))
                .collect(),
            names,
            routers: Vec::new(),
            of_vm: HashMap::new(),
            jobs: Vec::new(),
            last_at: HashMap::new(),
            figures: Figures::default(),
            rng: Pcg64::seed_from_u64(setup.seed),
            end: last_request(lines),
        };
        world.write_config();
        for i in 0..setup.routers {
            world.boot(i, 0);
        }
        for i in 0..setup.routers {
            world.see(i);
        }
        Ok(world)
    }

    pub fn run(mut self, lines: &[Line]) -> Figures {
        for (i, line) in lines.iter().enumerate().skip(1) {
            self.at(line.t_ms(), Event::Line(i));
        }
        for event in [
            Event::Reports,
            Event::Targets(false),
            Event::Targets(true),
            Event::Queues,
            Event::Sample,
        ] {
            self.at(0, event);
        }
        while let Some(Reverse((t, seq))) = self.queue.pop() {
            if self.now < WARM_UP_MS && t >= WARM_UP_MS {
                self.figures = Figures::default();
            }
            self.now = t;
            if let Some(event) = self.events.remove(&seq) {
                self.on_event(event, lines);
            }
        }
        self.figures
    }

    fn on_event(&mut self, event: Event, lines: &[Line]) {
        match event {
            Event::Line(i) => self.on_line(&lines[i]),
            Event::Walk(id) => self.next_step(id),
            Event::Offer(id, home) => self.on_offer(id, home),
            Event::Declined(id, code, redirect) => {
                let code = ResultCode::from_number(code.into()).unwrap_or(ResultCode::NoTarget);
                let step = self.jobs[id].step.take();
                if let Some(step) = step {
                    self.jobs[id].walk.on_declined(&step, code, redirect);
                }
                self.next_step(id);
            }
            Event::Start(id, engine) => self.on_start(id, engine),
            Event::Finish(id) => self.on_finish(id),
            Event::Load {
                to,
                from,
                ask,
                sums,
            } => self.on_load(to, from, ask, &sums),
            Event::Placed {
                to,
                first,
                key,
                target,
            } => {
                self.routers[to]
                    .homes
                    .on_placed(&first, ConversationKey(key), target);
            }
            Event::View(i) => self.see(i),
            Event::Reports => {
                self.report_all();
                self.again(REPORT_MS, Event::Reports);
            }
            Event::Targets(doubted) => {
                self.ask_targets(doubted);
                let every = if doubted { DOUBTED_MS } else { TARGETS_MS };
                self.again(every, Event::Targets(doubted));
            }
            Event::Queues => {
                self.tick_queues();
                self.again(QUEUE_MS, Event::Queues);
            }
            Event::Sample if self.now > self.end => {}
            Event::Sample => {
                let serving = self.engines.iter().filter(|e| e.serving);
                let loads: Vec<_> = serving.map(|e| (e.tokens, e.running)).collect();
                self.figures.sample(self.now as f64 / 1000.0, &loads);
                self.again(SAMPLE_MS, Event::Sample);
            }
        }
    }

    fn on_line(&mut self, line: &Line) {
        match line {
            Line::Fleet { .. } => {}
            Line::Request(r) => self.on_request(*r),
            Line::Leave { engine, .. } => self.set_engine(*engine, false),
            Line::Join { engine, .. } => self.set_engine(*engine, true),
            Line::Replace { router, .. } => self.replace(router % self.setup.routers),
        }
    }

    fn on_request(&mut self, request: Request) {
        self.figures.requests += 1;
        let entry = self.rng.random_range(0..self.routers.len());
        let id = self.jobs.len();
        let arrived = self.now;
        self.jobs.push(Job {
            request,
            entry,
            walk: Walk::new(Vec::new()),
            step: None,
            arrived,
            home: None,
            engine: None,
            done: false,
        });
        match self.setup.policy {
            Policy::Home => {
                let began = std::time::Instant::now();
                self.begin_walk(id);
                self.decided(began);
                self.next_step(id);
            }
            policy => {
                let began = std::time::Instant::now();
                let chosen = self.choose(policy, entry, &request);
                self.decided(began);
                match chosen {
                    Some(engine) => {
                        self.routers[entry].known[engine] += cost(&request);
                        self.later(self.setup.lag_ms, Event::Start(id, engine));
                    }
                    None => self.refuse(id),
                }
            }
        }
    }

    fn choose(&self, policy: Policy, entry: usize, request: &Request) -> Option<usize> {
        let router = &self.routers[entry];
        let exact: Vec<u64> = match policy {
            Policy::Oracle => self.engines.iter().map(|e| e.tokens).collect(),
            _ => router.known.clone(),
        };
        let known = Known {
            candidates: &router.candidates,
            engine_of: &router.engine_of,
            loads: &exact,
            cost: cost(request),
            bound: self.setup.bound,
        };
        known.choose(policy, request, &self.engines)
    }

    fn next_step(&mut self, id: Id) {
        let Some(step) = self.jobs[id].walk.next_step() else {
            return self.again_or_refuse(id);
        };
        let entry = &self.routers[self.jobs[id].entry];
        let home = entry
            .map
            .home(&step.target, &pool())
            .and_then(|vm| self.of_vm.get(vm))
            .copied();
        self.jobs[id].step = Some(step);
        match home {
            Some(home) => {
                self.figures.asked_homes += 1;
                let lag = if home == self.jobs[id].entry {
                    0
                } else {
                    self.setup.lag_ms
                };
                self.later(lag, Event::Offer(id, home));
            }
            // The connection is refused at once.
            None => self.later(
                1,
                Event::Declined(id, ResultCode::NoTarget.number(), Vec::new()),
            ),
        }
    }

    fn on_offer(&mut self, id: Id, home: usize) {
        let job = &self.jobs[id];
        let Some(step) = job.step.clone() else { return };
        let offer = Offer {
            ticket: Ticket(id as u64),
            cost: Tokens(cost(&job.request)),
            priority: job.request.priority,
            deadline: Instant::from_millis(job.arrived) + DEADLINE,
            conversation: key(&job.request),
            anchor: step.is_anchor(),
            wait: step.wait,
        };
        let now = self.time();
        let began = std::time::Instant::now();
        let verdict = self.routers[home].homes.on_offer(now, &step.target, offer);
        self.decided(began);
        self.jobs[id].home = Some((home, self.routers[home].born));
        match verdict {
            Verdict::Admitted => self.admitted(id, &step),
            Verdict::Queued => {
                let wakes = self.routers[home].homes.on_tick(now);
                self.wake(wakes);
                self.ask_loads(home);
            }
            Verdict::Declined { code, redirect } => {
                self.later(
                    self.setup.lag_ms,
                    Event::Declined(id, code.number(), redirect),
                );
            }
        }
    }

    fn admitted(&mut self, id: Id, step: &Step) {
        let engine = self.index[&step.target];
        self.figures.wait(
            self.jobs[id].request.priority,
            self.now - self.jobs[id].arrived,
        );
        self.note_placed(id, step);
        self.on_start(id, engine);
    }

    fn note_placed(&mut self, id: Id, step: &Step) {
        let job = &self.jobs[id];
        let Some(first) = job.walk.note_for_first(step).cloned() else {
            return;
        };
        let entry = &self.routers[job.entry];
        let home = entry
            .map
            .home(&first, &pool())
            .and_then(|vm| self.of_vm.get(vm))
            .copied();
        let (key, target) = (key(&job.request), step.target.clone());
        let entry_no = job.entry;
        if let Some(to) = home {
            let size = placed_size(key, &first, &target) as u64 + TCP_HEADERS;
            self.figures.sent(entry_no, size);
            self.later(
                self.setup.lag_ms,
                Event::Placed {
                    to,
                    first,
                    key: key.0,
                    target,
                },
            );
        }
    }

    fn on_start(&mut self, id: Id, engine: usize) {
        let request = self.jobs[id].request;
        if !self.engines[engine].serving {
            return self.gone(id);
        }
        if self.setup.policy != Policy::Home {
            self.figures
                .wait(request.priority, self.now - self.jobs[id].arrived);
        }
        let cached = self.engines[engine].cached(&request);
        self.figures.reusable += request.reusable;
        self.figures.found += cached.min(request.reusable);
        let before = self.last_at.insert(request.conversation, engine);
        self.figures.moved += u64::from(before.is_some_and(|e| e != engine));
        let took = (request.prompt - cached) * self.prefill_us + request.answer * self.token_us;
        self.engines[engine].start(&request, cost(&request));
        self.jobs[id].engine = Some(engine);
        self.later(took / 1000, Event::Finish(id));
    }

    fn on_finish(&mut self, id: Id) {
        if std::mem::replace(&mut self.jobs[id].done, true) {
            return;
        }
        let request = self.jobs[id].request;
        if let Some(engine) = self.jobs[id].engine {
            self.engines[engine].finish(cost(&request));
            if self.setup.policy != Policy::Home {
                let entry = self.jobs[id].entry;
                let known = &mut self.routers[entry].known[engine];
                *known = known.saturating_sub(cost(&request));
            }
        }
        self.release(id);
    }

    /// Takes a request out of its home's account.
    fn release(&mut self, id: Id) {
        let (Some((home, born)), Some(step)) = (self.jobs[id].home, self.jobs[id].step.clone())
        else {
            return;
        };
        if self.routers[home].born == born {
            let now = self.time();
            let ticket = Ticket(id as u64);
            let wakes = self.routers[home]
                .homes
                .on_finish(now, &step.target, ticket);
            self.wake(wakes);
        }
    }

    /// The engine is gone: the entry router goes on to the next.
    fn gone(&mut self, id: Id) {
        self.release(id);
        match self.setup.policy {
            Policy::Home => {
                self.later(
                    self.setup.lag_ms,
                    Event::Declined(id, ResultCode::NoTarget.number(), Vec::new()),
                );
            }
            _ => self.refuse(id),
        }
    }

    /// Goes along the targets anew, as the daemon does, for as long as its patience lasts.
    fn again_or_refuse(&mut self, id: Id) {
        let job = &self.jobs[id];
        let patience = [4_000, 6_000, 30_000][job.request.priority.rank() as usize];
        if self.now > job.arrived + patience {
            return self.refuse(id);
        }
        self.begin_walk(id);
        let pause = self.rng.random_range(50..500);
        self.later(pause, Event::Walk(id));
    }

    fn begin_walk(&mut self, id: Id) {
        let request = self.jobs[id].request;
        let share = 1.0 / self.accounts.max(1) as f64;
        let router = &mut self.routers[self.jobs[id].entry];
        let all = &router.candidates;
        let near = router.by_prefix.entry(request.account).or_insert_with(|| {
            let near = prefix_targets(all, PrefixKey(prefix(&request)), share);
            near.into_iter().map(|i| all[i].clone()).collect()
        });
        let best = rank(near, key(&request), WALK);
        let names = best.into_iter().map(|i| near[i].target.clone());
        self.jobs[id].walk = Walk::new(names.collect());
    }

    fn refuse(&mut self, id: Id) {
        self.jobs[id].done = true;
        self.figures.refused += 1;
    }

    fn wake(&mut self, wakes: Vec<TargetWake>) {
        for TargetWake { wake, .. } in wakes {
            match wake {
                Wake::Admitted(t) => {
                    let id = t.0 as usize;
                    if let Some(step) = self.jobs[id].step.clone() {
                        self.admitted(id, &step);
                    }
                }
                Wake::Refused(t, code) => {
                    self.later(
                        self.setup.lag_ms,
                        Event::Declined(t.0 as usize, code.number(), Vec::new()),
                    );
                }
            }
        }
    }

    fn tick_queues(&mut self) {
        let now = self.time();
        for i in 0..self.routers.len() {
            let wakes = self.routers[i].homes.on_tick(now);
            self.wake(wakes);
            self.ask_loads(i);
            if self.routers[i].homes.take_shift(now) {
                self.report(i, false, None);
            }
        }
    }

    fn ask_loads(&mut self, i: usize) {
        let now = self.time();
        if self.routers[i].homes.take_ask(now) {
            self.report(i, true, None);
        }
    }

    fn report_all(&mut self) {
        match self.setup.policy {
            Policy::Home => (0..self.routers.len()).for_each(|i| self.report(i, false, None)),
            // Each router hears every engine's load, one lag old.
            _ => {
                let loads: Vec<u64> = self.engines.iter().map(|e| e.tokens).collect();
                for router in &mut self.routers {
                    router.known.clone_from(&loads);
                }
                let report = PoolSum {
                    pool: scaleford::homes::PoolId(0),
                    load: scaleford::load::Load::default(),
                    least: None,
                };
                let from = self.routers[0].vm.clone();
                let message = Message::Load {
                    from,
                    pools: vec![report],
                    ask: false,
                };
                let size = encode_datagram(&message).map_or(0, |b| b.len()) as u64 + UDP_HEADERS;
                for i in 0..self.routers.len() {
                    self.figures.sent(i, size * loads.len() as u64);
                }
            }
        }
    }

    fn report(&mut self, i: usize, ask: bool, only: Option<usize>) {
        let now = self.time();
        let from = self.routers[i].vm.clone();
        for (vm, pools) in self.routers[i].homes.reports(now) {
            let Some(to) = self
                .of_vm
                .get(&vm)
                .copied()
                .filter(|to| only.is_none_or(|o| o == *to))
            else {
                continue;
            };
            let sums = pools.clone();
            let message = Message::Load {
                from: from.clone(),
                pools,
                ask,
            };
            let size = encode_datagram(&message).map_or(0, |b| b.len()) as u64;
            self.figures.sent(i, size + UDP_HEADERS);
            self.later(
                self.setup.lag_ms,
                Event::Load {
                    to,
                    from: i,
                    ask,
                    sums,
                },
            );
        }
    }

    fn on_load(&mut self, to: usize, from: usize, ask: bool, sums: &[PoolSum]) {
        let now = self.time();
        let vm = self.routers[from].vm.clone();
        for sum in sums {
            self.routers[to].homes.on_load(now, vm.clone(), sum.clone());
        }
        let wakes = self.routers[to].homes.on_tick(now);
        self.wake(wakes);
        if ask {
            self.report(to, false, Some(from));
        }
    }

    fn ask_targets(&mut self, doubted: bool) {
        let now = self.time();
        for i in 0..self.routers.len() {
            let targets: Vec<_> = self.routers[i]
                .homes
                .targets(now, doubted)
                .cloned()
                .collect();
            for target in targets {
                let tokens = Tokens(self.engines[self.index[&target]].tokens);
                let report = TargetReport {
                    tokens,
                    lag: Duration::ZERO,
                };
                self.routers[i].homes.on_report(now, &target, Some(report));
            }
        }
    }

    fn set_engine(&mut self, engine: usize, serving: bool) {
        self.engines[engine].serving = serving;
        if serving {
            self.engines[engine].lose_cache();
        }
        self.write_config();
        // The change is in force at each router within a heartbeat or two.
        for i in 0..self.routers.len() {
            let after = self.rng.random_range(10..1_000);
            self.later(after, Event::View(i));
        }
    }

    fn replace(&mut self, i: usize) {
        for id in 0..self.jobs.len() {
            let job = &self.jobs[id];
            let through = job.entry == i || job.home.is_some_and(|(h, _)| h == i);
            if through && !job.done && job.engine.is_some() {
                self.figures.lost += 1;
                self.on_finish(id);
            }
        }
        self.of_vm.retain(|_, r| *r != i);
        self.boot(i, self.now);
        self.see(i);
        for other in (0..self.routers.len()).filter(|o| *o != i) {
            let after = self.rng.random_range(300..2_750);
            self.later(after, Event::View(other));
        }
    }

    fn boot(&mut self, i: usize, born: u64) {
        let vm: VmId = name(&format!("vm-{i}-{born}"));
        let bound = self
            .setup
            .bound
            .to_string()
            .parse::<LoadBound>()
            .unwrap_or_default();
        self.of_vm.insert(vm.clone(), i);
        let router = Router {
            homes: Homes::new(vm.clone(), bound),
            vm,
            live: Vec::new(),
            map: HomeMap::default(),
            candidates: Vec::new(),
            engine_of: Vec::new(),
            by_prefix: HashMap::new(),
            known: vec![0; self.engines.len()],
            born,
        };
        match i < self.routers.len() {
            true => self.routers[i] = router,
            false => self.routers.push(router),
        }
    }

    /// Lets a router see the routers and the configuration as they are.
    fn see(&mut self, i: usize) {
        let mut live: Vec<VmId> = self.of_vm.keys().cloned().collect();
        live.sort();
        let map = HomeMap::new(&self.cfg, &live);
        let now = self.time();
        let router = &mut self.routers[i];
        let serving = self
            .cfg
            .targets
            .iter()
            .filter(|(_, t)| t.intent == TargetIntent::Serve);
        router.candidates = serving
            .map(|(id, _)| Candidate::new(id.clone(), Weight::USUAL))
            .collect();
        router.by_prefix.clear();
        router.engine_of = router
            .candidates
            .iter()
            .map(|c| self.index[&c.target])
            .collect();
        let wakes = match self.setup.policy {
            Policy::Home => router.homes.on_view(now, &self.cfg, &live, &map),
            _ => Vec::new(),
        };
        router.live = live;
        router.map = map;
        self.wake(wakes);
    }

    fn write_config(&mut self) {
        for (i, name_of) in self.names.iter().enumerate() {
            let target = Target {
                address: ([127, 0, 0, 1], 1).into(),
                region: name("region-1"),
                data_hall: name("hall-1"),
                serves: pool(),
                weight: Weight::USUAL,
                capacity_tokens: None,
                intent: match self.engines[i].serving {
                    true => TargetIntent::Serve,
                    false => TargetIntent::Leave,
                },
            };
            self.cfg.targets.insert(name_of.clone(), target);
        }
    }

    fn time(&self) -> Instant {
        Instant::from_millis(self.now)
    }

    fn decided(&mut self, began: std::time::Instant) {
        self.figures.decisions += 1;
        self.figures.decision_ns += began.elapsed().as_nanos() as u64;
    }

    fn at(&mut self, t: u64, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((t, self.seq)));
        self.events.insert(self.seq, event);
    }

    fn later(&mut self, ms: u64, event: Event) {
        self.at(self.now + ms, event);
    }

    /// Repeats an event while the trace goes on.
    fn again(&mut self, ms: u64, event: Event) {
        if self.now < self.end {
            self.later(ms, event);
        }
    }
}

/// When the last request comes in; what drains afterwards says nothing.
fn last_request(lines: &[Line]) -> u64 {
    let requests = lines.iter().filter(|l| matches!(l, Line::Request(_)));
    requests.map(Line::t_ms).max().unwrap_or(0)
}

/// The time that is measured: all but the warm-up.
pub fn measured_seconds(lines: &[Line]) -> f64 {
    (last_request(lines).saturating_sub(WARM_UP_MS) as f64 / 1000.0).max(1.0)
}

fn key(r: &Request) -> ConversationKey {
    ConversationKey(r.conversation.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn prefix(r: &Request) -> u64 {
    (r.account + 1).wrapping_mul(0xd134_2543_de82_ef95)
}

fn cost(r: &Request) -> u64 {
    r.prompt + EXPECTED_ANSWER
}

fn pool() -> Serves {
    Serves::Model(name("model"))
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(s: &str) -> T {
    s.parse().expect("a valid name")
}
