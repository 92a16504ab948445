//! Replays recorded traces on the decision types that the daemon runs, and checks the stated results.
//!
//! Routers update one another ten times a second, and engines cache prompts.

#[path = "replay/trace.rs"]
mod trace;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;
use scaleford::{
    admission::{
        shares::{Claim, ShareScope},
        surge::Surge,
        warm_up::ColdRule,
    },
    config::serving::{CallKind, EngineSpec, StreamRepeats},
    discovery::{ListChange, TargetRecord, TargetState},
    dispatcher::{CallPlan, Dispatcher, Ticket},
    edge::Rules,
    health::Outcome,
    ids::{ConversationKey, SoftwareVersion, TargetId, VmId},
    prompt_cache::{PartId, PromptPart},
    retry::BudgetRule,
    stream_origin::StreamProgress,
    units::{Instant, StoreRevision, Tokens},
};

use trace::{Engine, Line, Request};

const CALM: &str = include_str!("traces/calm.jsonl");
const CHURN: &str = include_str!("traces/churn.jsonl");

const ROUTERS: usize = 7;

/// Interval between updates that routers send one another, in milliseconds, as in `membership::timing`.
const SEND_INTERVAL_MS: u64 = 100;

/// Time at the start of a trace in which caches fill and nothing is measured, in milliseconds.
const WARM_UP_MS: u64 = 20_000;

/// Maximum number of calls of an engine as a factor on the mean, apart from `CAP_SLACK` (the users' rule).
const CAP_FACTOR: f64 = 2.0;
/// Number of calls that an engine may have beyond this (the users' rule).
const CAP_SLACK: f64 = 3.0;

#[derive(Default, Debug, PartialEq)]
struct Figures {
    calls: u64,
    refused: u64,
    reusable: u64,
    found: u64,
    samples: u64,
    above: u64,
    /// Maximum ratio of an engine's calls to the mean, over samples with a mean of at least four.
    worst: f64,
}

impl Figures {
    fn reuse(&self) -> f64 {
        self.found as f64 / self.reusable as f64
    }
}

struct Simulation {
    routers: Vec<Dispatcher>,
    engines: Vec<Engine>,
    /// Prompt of each chat so far, as parts.
    chats: HashMap<u64, Vec<PromptPart>>,
    /// Number of tokens of the last answer of each chat.
    answers: HashMap<u64, u64>,
    ends: BinaryHeap<Reverse<(u64, u64)>>,
    running: HashMap<u64, (usize, usize, Ticket)>,
    token_us: u64,
    prefill_us: u64,
    revision: u64,
    figures: Figures,
}

fn engine_id(n: usize) -> TargetId {
    format!("engine-{n}").parse().unwrap()
}

fn record(n: usize, state: TargetState) -> TargetRecord {
    TargetRecord {
        id: engine_id(n),
        service: "model:m".parse().unwrap(),
        address: ([10, 0, 0, n as u8], 8000).into(),
        data_hall: "hall".parse().unwrap(),
        slots: 64,
        max_tokens: None,
        cold_for: Duration::ZERO,
        version: SoftwareVersion::default(),
        state,
    }
}

fn rules() -> Rules {
    Rules {
        revoke_bound: None,
        cap_factor: CAP_FACTOR,
        leaving_use_time: Duration::from_millis(800),
        budget: BudgetRule {
            ratio: 0.2,
            window: Duration::from_secs(10),
            extra: 50.0,
        },
        cold: ColdRule::default(),
        shares: ShareScope::default(),
        serve_on: Duration::ZERO,
        stop_time: Duration::ZERO,
    }
}

impl Simulation {
    fn new(engines: usize, cache_tokens: u64, token_us: u64, prefill_us: u64) -> Self {
        let router = |_| {
            let mut d = Dispatcher::new("hall".parse().unwrap(), &rules());
            let all = (0..engines).map(|n| record(n, TargetState::Ready));
            d.discovery.on_configured_list(
                Instant::default(),
                all.collect(),
                StoreRevision::first_era(1),
            );
            d
        };
        Self {
            routers: (0..ROUTERS).map(router).collect(),
            engines: (0..engines).map(|_| Engine::new(cache_tokens)).collect(),
            chats: HashMap::new(),
            answers: HashMap::new(),
            ends: BinaryHeap::new(),
            running: HashMap::new(),
            token_us,
            prefill_us,
            revision: 1,
            figures: Figures::default(),
        }
    }

    /// Returns the prompt of a chat's next turn: the part shared by the account's chats, and a part per turn.
    fn prompt(&mut self, r: &Request) -> Vec<PromptPart> {
        let id = |a: u64, b: u64| PartId(a.wrapping_mul(1_000_003) ^ b.wrapping_mul(0x9e37_79b9));
        let part = |id, tokens| PromptPart {
            id,
            tokens: Tokens(tokens),
        };
        let chat = self.chats.entry(r.conversation).or_default();
        if let (Some(last), Some(answer)) = (chat.last_mut(), self.answers.get(&r.conversation)) {
            // The engine that got the question caches its answer as well.
            last.tokens += Tokens(*answer);
        }
        self.answers.insert(r.conversation, r.answer);
        let prompt_tokens: u64 = chat.iter().map(|p| p.tokens.0).sum();
        if r.reusable <= r.shared || chat.is_empty() {
            // The chat starts, or starts over.
            *chat = vec![part(id(r.account, 0), r.shared)];
            let new = part(id(r.conversation + 1, r.t_ms), r.prompt - r.shared);
            chat.push(new);
        } else {
            let turn = chat.len() as u64;
            let new = part(
                id(r.conversation + 1, r.t_ms + turn),
                r.prompt.saturating_sub(prompt_tokens),
            );
            chat.push(new);
        }
        let mut prompt = chat.clone();
        prompt.push(part(id(r.t_ms, r.conversation + 7), 0));
        prompt
    }

    fn on_request(&mut self, n: u64, router: usize, r: &Request) {
        let now = Instant::from_millis(r.t_ms);
        let prompt = self.prompt(r);
        let plan = CallPlan {
            service: "model:m".parse().unwrap(),
            kind: CallKind::Stream(StreamRepeats::UntilFirstEvent),
            shared_parts: 1,
            chat: Some(ConversationKey(
                r.conversation.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            )),
            answer: Tokens(256),
            hash: n,
            engine: Some(EngineSpec {
                slots: 64,
                memory_tokens: self.engines[0].capacity,
                can_fetch_prompts: false,
                expected_response: None,
            }),
            goal: Duration::from_secs(1),
            surge: Surge::None,
            claim: Claim::default(),
            warm_up: None,
            progress: StreamProgress::NotBegun,
            tried: Vec::new(),
            is_overlapping: false,
            prompt,
        };
        let measured = r.t_ms >= WARM_UP_MS;
        self.figures.calls += u64::from(measured);
        let Ok(ticket) = self.routers[router].choose(now, &plan) else {
            self.figures.refused += u64::from(measured);
            return;
        };
        let e = (0..self.engines.len())
            .find(|n| engine_id(*n) == ticket.target.id)
            .unwrap();
        let cached = self.engines[e].read(&plan.prompt);
        self.engines[e].running += 1;
        if measured {
            self.figures.reusable += r.reusable;
            self.figures.found += cached.min(r.reusable);
        }
        let read_us = self.prefill_us * r.prompt.saturating_sub(cached);
        let end = r.t_ms + (read_us + self.token_us * r.answer) / 1_000;
        self.ends.push(Reverse((end, n)));
        self.running.insert(n, (router, e, ticket));
    }

    /// Runs the replay from one time to another: ends calls, sends updates and samples the engines.
    fn run(&mut self, from_ms: u64, to_ms: u64) {
        for ms in from_ms..to_ms {
            while self.ends.peek().is_some_and(|Reverse((end, _))| *end <= ms) {
                let Reverse((_, n)) = self.ends.pop().unwrap();
                let (router, e, ticket) = self.running.remove(&n).unwrap();
                let now = Instant::from_millis(ms);
                self.routers[router].on_end(now, &ticket, Some(Outcome::Good));
                self.engines[e].running -= 1;
            }
            if ms % SEND_INTERVAL_MS == 0 {
                self.send_updates(Instant::from_millis(ms));
                self.sample(ms);
            }
        }
    }

    fn send_updates(&mut self, now: Instant) {
        for (router, _, ticket) in self.running.values() {
            // Calls in progress produce tokens all the time.
            self.routers[*router]
                .health
                .on_activity(now, &ticket.target.id);
        }
        for from in 0..ROUTERS {
            let vm: VmId = format!("vm-{from}").parse().unwrap();
            let counts = self.routers[from].load.own_counts();
            let parts = self.routers[from].cache.take_announcements(60, false);
            for to in (0..ROUTERS).filter(|to| *to != from) {
                let d = &mut self.routers[to];
                let hall = "hall".parse().unwrap();
                d.load.on_peer(now, vm.clone(), hall, counts.clone());
                for (id, tokens, target) in &parts {
                    let part = PromptPart {
                        id: *id,
                        tokens: *tokens,
                    };
                    d.cache.on_peer(target, part, false);
                }
            }
        }
        self.routers.iter_mut().for_each(|d| {
            d.on_tick(now);
        });
    }

    fn sample(&mut self, ms: u64) {
        let serving: Vec<f64> = (0..self.engines.len())
            .filter(|n| self.routers[0].discovery.get(&engine_id(*n)).is_some())
            .map(|n| f64::from(self.engines[n].running))
            .collect();
        let mean = serving.iter().sum::<f64>() / serving.len() as f64;
        let most = serving.iter().copied().fold(0.0, f64::max);
        if ms < WARM_UP_MS || mean < 4.0 {
            return;
        }
        self.figures.samples += 1;
        self.figures.above += u64::from(most > mean * CAP_FACTOR + CAP_SLACK);
        self.figures.worst = self.figures.worst.max(most / mean);
    }

    /// Removes an engine with its cache, or adds it back with an empty one; calls in progress there end
    /// normally.
    fn on_engine(&mut self, t_ms: u64, n: usize, joins: bool) {
        self.revision += 1;
        let capacity = self.engines[n].capacity;
        self.engines[n].clear();
        assert!(capacity > 0);
        let change = match joins {
            true => ListChange::Put(record(n, TargetState::Ready)),
            false => ListChange::Removed(engine_id(n).to_name()),
        };
        let (now, revision) = (
            Instant::from_millis(t_ms),
            StoreRevision::first_era(self.revision),
        );
        for d in &mut self.routers {
            d.discovery.on_change(now, change.clone(), revision);
            if !joins {
                d.cache.forget(&engine_id(n));
            }
        }
    }
}

fn replay(trace: &str, seed: u64) -> Figures {
    let mut lines = trace
        .lines()
        .map(|l| serde_json::from_str::<Line>(l).unwrap());
    let Some(Line::Fleet {
        engines,
        cache_tokens,
        token_us,
        prefill_us,
    }) = lines.next()
    else {
        panic!("the first line tells of the fleet");
    };
    let mut simulation = Simulation::new(engines, cache_tokens, token_us, prefill_us);
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut now = 0;
    for (n, line) in lines.enumerate() {
        let t_ms = match &line {
            Line::Request(r) => r.t_ms,
            Line::Leave { t_ms, .. } | Line::Join { t_ms, .. } => *t_ms,
            Line::Fleet { .. } => panic!("only the first line tells of the fleet"),
        };
        simulation.run(now, t_ms);
        now = t_ms;
        match line {
            Line::Request(r) => simulation.on_request(n as u64, rng.random_range(0..ROUTERS), &r),
            Line::Leave { engine, .. } => simulation.on_engine(t_ms, engine, false),
            Line::Join { engine, .. } => simulation.on_engine(t_ms, engine, true),
            Line::Fleet { .. } => {}
        }
    }
    simulation.figures
}

/// Checks the fraction of reusable tokens that are reused, the maximum ratio of an engine's calls to the
/// mean, and that no engine exceeds the users' bound.
#[rstest]
#[case::calm(CALM, 0.985, 1.6)]
#[case::an_engine_leaves_every_quarter_minute(CHURN, 0.89, 2.2)]
fn a_trace_comes_out_as_stated(#[case] trace: &str, #[case] reuse: f64, #[case] worst: f64) {
    for seed in 1..=3 {
        let figures = replay(trace, seed);
        println!("{:.4} {figures:?}", figures.reuse());
        assert!(figures.samples > 100);
        assert_eq!((figures.above, figures.refused), (0, 0), "{figures:?}");
        assert!(figures.reuse() >= reuse, "{}", figures.reuse());
        assert!(figures.worst <= worst, "{figures:?}");
    }
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    assert_eq!(replay(CHURN, 1), replay(CHURN, 1));
}
