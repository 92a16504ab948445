//! Traces: JSON lines, described in docs/TRACE.md.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use rand_pcg::Pcg64;
use scaleford::units::Priority;
use serde::{Deserialize, Serialize};

/// Tokens that all chats of an account begin with.
const SHARED_PROMPT: u64 = 400;

/// A chat's next turn comes no sooner than this after its last.
const TURN_S: f64 = 15.0;

/// Turns after which a chat begins anew.
const TURNS: u64 = 12;

/// One line of a trace.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Line {
    /// The first line: the engines at the start, all alike.
    Fleet {
        engines: usize,
        accounts: u64,
        cache_tokens: u64,
        token_us: u64,
        prefill_us: u64,
    },
    /// A request comes in.
    Request(Request),
    /// An engine leaves, and comes back empty.
    Leave {
        t_ms: u64,
        engine: usize,
    },
    Join {
        t_ms: u64,
        engine: usize,
    },
    /// A router is killed and replaced.
    Replace {
        t_ms: u64,
        router: usize,
    },
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Request {
    pub t_ms: u64,
    pub account: u64,
    pub conversation: u64,
    /// The whole prompt, with what the chat said before.
    pub prompt: u64,
    /// The part of the prompt that an earlier turn has left in a cache, at best.
    pub reusable: u64,
    /// The part that all chats of the account share.
    pub shared: u64,
    pub answer: u64,
    pub priority: Priority,
}

impl Line {
    pub fn t_ms(&self) -> u64 {
        match self {
            Self::Fleet { .. } => 0,
            Self::Request(r) => r.t_ms,
            Self::Leave { t_ms, .. } | Self::Join { t_ms, .. } | Self::Replace { t_ms, .. } => {
                *t_ms
            }
        }
    }
}

/// What a trace is generated from.
pub struct Recipe {
    pub engines: usize,
    pub accounts: u64,
    pub conversations: u64,
    pub rate: f64,
    pub seconds: u64,
    /// Engines that leave and come back, a minute.
    pub churn: f64,
    /// Routers that are killed and replaced, a minute.
    pub replace: f64,
    /// Whether the first account sends five times as much in the middle third.
    pub surge: bool,
    /// The part of requests that all go to one chat, as with a long prompt that many share.
    pub hot: f64,
    pub seed: u64,
}

#[derive(Clone, Copy, Default)]
struct Chat {
    turns: u64,
    tokens: u64,
    last: f64,
}

/// Makes a trace: Poisson arrivals, Zipf chats, log-normal answers.
pub fn generate(r: &Recipe) -> Vec<Line> {
    let mut rng = Pcg64::seed_from_u64(r.seed);
    let mut lines = vec![Line::Fleet {
        engines: r.engines,
        accounts: r.accounts,
        cache_tokens: 400_000,
        token_us: 25_000,
        prefill_us: 150,
    }];
    let zipf = Zipf::new(r.conversations as f64, 0.8).expect("zipf");
    let answers = LogNormal::new(5.2, 0.7).expect("log-normal");
    let mut chats = vec![Chat::default(); r.conversations as usize + 1];
    let mut t = 0.0;
    loop {
        let third = r.seconds as f64 / 3.0;
        let surging = r.surge && (third..2.0 * third).contains(&t);
        let rate = if surging { r.rate * 1.5 } else { r.rate };
        t += Exp::new(rate).expect("rate").sample(&mut rng);
        if t >= r.seconds as f64 {
            break;
        }
        let hot = r.hot > 0.0 && rng.random_bool(r.hot);
        let conversation = match hot {
            true => 0,
            false => quiet_chat(&mut rng, &zipf, &chats, t),
        };
        let surge = surging && rng.random_bool(1.0 / 3.0);
        let account = if surge {
            0
        } else {
            conversation % r.accounts.max(1)
        };
        let answer = (answers.sample(&mut rng) as u64).clamp(8, 2_000);
        let chat = &mut chats[conversation as usize];
        let request = match hot {
            true => shared_request(&mut rng, t, answer),
            false => turn(&mut rng, chat, t, account, conversation, answer),
        };
        lines.push(Line::Request(request));
    }
    churn(r, &mut rng, &mut lines);
    lines.sort_by_key(Line::t_ms);
    lines
}

/// A chat that has not had a turn for a while.
fn quiet_chat(rng: &mut Pcg64, zipf: &Zipf<f64>, chats: &[Chat], t: f64) -> u64 {
    let mut chosen = zipf.sample(rng) as u64;
    while chats[chosen as usize].turns > 0 && t - chats[chosen as usize].last < TURN_S {
        chosen = (chosen % (chats.len() as u64 - 1)) + 1;
    }
    chosen
}

/// A request of the chat that many share: one long prompt, and a question of its own.
fn shared_request(rng: &mut Pcg64, t: f64, answer: u64) -> Request {
    Request {
        t_ms: (t * 1000.0) as u64,
        account: 0,
        conversation: 0,
        prompt: 3_000 + rng.random_range(20..300),
        reusable: 3_000,
        shared: SHARED_PROMPT,
        answer,
        priority: Priority::Live,
    }
}

fn turn(
    rng: &mut Pcg64,
    chat: &mut Chat,
    t: f64,
    account: u64,
    conversation: u64,
    answer: u64,
) -> Request {
    if chat.turns >= TURNS {
        *chat = Chat::default();
    }
    let asked = rng.random_range(20..300);
    let reusable = chat.tokens;
    let prompt = chat.tokens.max(SHARED_PROMPT) + asked;
    chat.turns += 1;
    chat.last = t;
    chat.tokens = prompt + answer;
    let priority = match rng.random_range(0..10) {
        0 => Priority::Urgent,
        1..7 => Priority::Live,
        _ => Priority::Patient,
    };
    Request {
        t_ms: (t * 1000.0) as u64,
        account,
        conversation,
        prompt,
        reusable: reusable.max(SHARED_PROMPT),
        shared: SHARED_PROMPT,
        answer,
        priority,
    }
}

fn churn(r: &Recipe, rng: &mut Pcg64, lines: &mut Vec<Line>) {
    let times = |rng: &mut Pcg64, per_minute: f64| {
        let n = (per_minute * r.seconds as f64 / 60.0).round() as u64;
        (0..n)
            .map(|_| rng.random_range(0..r.seconds * 1000))
            .collect::<Vec<_>>()
    };
    for t_ms in times(rng, r.churn) {
        let engine = rng.random_range(0..r.engines);
        let away = rng.random_range(5_000..30_000);
        lines.push(Line::Leave { t_ms, engine });
        lines.push(Line::Join {
            t_ms: t_ms + away,
            engine,
        });
    }
    for t_ms in times(rng, r.replace) {
        lines.push(Line::Replace {
            t_ms,
            router: rng.random_range(0..1 << 16),
        });
    }
}
