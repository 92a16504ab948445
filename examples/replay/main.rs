//! Feeds a recorded trace to the decision types that the daemon runs, in virtual time.
//!
//! `cargo run --release --locked --example replay -- generate --out FILE`
//! `cargo run --release --locked --example replay -- run --trace FILE --policy home --json`

mod engine;
mod figures;
mod plot;
mod policy;
mod trace;
mod world;

use std::{
    fs::File,
    io::{BufRead, BufReader, BufWriter, Write},
};

use trace::{Line, Recipe};

mod flags {
    xflags::xflags! {
        /// Replays a trace on the decision types, or makes one.
        cmd replay {
            /// Makes a trace.
            cmd generate {
                /// Model engines [50].
                optional --engines n: usize
                /// Client accounts [10].
                optional --accounts n: u64
                /// Chats that return [20000].
                optional --conversations n: u64
                /// Requests a second [150].
                optional --rate r: f64
                /// Length [120].
                optional --seconds s: u64
                /// Engines that leave and come back, a minute [0].
                optional --churn n: f64
                /// Routers that are killed and replaced, a minute [0].
                optional --replace n: f64
                /// The first account surges in the middle third.
                optional --surge
                /// The part of requests that go to one chat [0].
                optional --hot part: f64
                /// [1]
                optional --seed s: u64
                /// Where the trace goes.
                required --out file: String
            }
            /// Replays a trace.
            cmd run {
                /// The trace.
                required --trace file: String
                /// home, direct, rank, least-load, two-choices or oracle [home].
                optional --policy p: String
                /// Routers [7].
                optional --routers n: usize
                /// [1]
                optional --seed s: u64
                /// One-way lag between routers, in ms [1].
                optional --lag ms: u64
                /// The bound [1.25].
                optional --bound b: f64
                /// Prints one line of JSON.
                optional --json
                /// Adds the time of a decision, which differs from run to run.
                optional --timing
                /// Draws skew and reuse over time.
                optional --plot file: String
            }
        }
    }
}

fn main() {
    let flags = flags::Replay::from_env_or_exit();
    let done = match flags.subcommand {
        flags::ReplayCmd::Generate(g) => generate(&g),
        flags::ReplayCmd::Run(r) => run(&r),
    };
    if let Err(e) = done {
        eprintln!("replay: {e}");
        std::process::exit(2);
    }
}

fn generate(g: &flags::Generate) -> Result<(), String> {
    let recipe = Recipe {
        engines: g.engines.unwrap_or(50),
        accounts: g.accounts.unwrap_or(10),
        conversations: g.conversations.unwrap_or(20_000),
        rate: g.rate.unwrap_or(150.0),
        seconds: g.seconds.unwrap_or(120),
        churn: g.churn.unwrap_or(0.0),
        replace: g.replace.unwrap_or(0.0),
        surge: g.surge,
        hot: g.hot.unwrap_or(0.0),
        seed: g.seed.unwrap_or(1),
    };
    let file = File::create(&g.out).map_err(|e| format!("{}: {e}", g.out))?;
    let mut out = BufWriter::new(file);
    for line in trace::generate(&recipe) {
        let text = serde_json::to_string(&line).map_err(|e| e.to_string())?;
        writeln!(out, "{text}").map_err(|e| e.to_string())?;
    }
    out.flush().map_err(|e| e.to_string())
}

fn run(r: &flags::Run) -> Result<(), String> {
    let file = File::open(&r.trace).map_err(|e| format!("{}: {e}", r.trace))?;
    let mut lines = Vec::new();
    for (n, text) in BufReader::new(file).lines().enumerate() {
        let text = text.map_err(|e| e.to_string())?;
        let line: Line = serde_json::from_str(&text).map_err(|e| format!("line {}: {e}", n + 1))?;
        lines.push(line);
    }
    let policy = r.policy.as_deref().unwrap_or("home").parse()?;
    let setup = world::Setup {
        policy,
        routers: r.routers.unwrap_or(7).max(1),
        seed: r.seed.unwrap_or(1),
        lag_ms: r.lag.unwrap_or(1),
        bound: r.bound.unwrap_or(1.25),
    };
    let figures = world::World::new(&setup, &lines)?.run(&lines);
    let seconds = world::measured_seconds(&lines);
    let Some(Line::Fleet { engines, .. }) = lines.first() else {
        return Err("line 1: expected the fleet".to_owned());
    };
    let report = figures.report(
        &setup.policy.to_string(),
        setup.routers,
        *engines,
        seconds,
        setup.bound,
        r.timing,
    );
    let text = match r.json {
        true => serde_json::to_string(&report),
        false => serde_json::to_string_pretty(&report),
    };
    println!("{}", text.map_err(|e| e.to_string())?);
    match &r.plot {
        Some(path) => plot::draw(path, &figures.series, setup.bound),
        None => Ok(()),
    }
}
