//! Reports, from a day's logs, calls that were not served and prompts that were read again.
//!
//! `cargo run --release --locked --example log_report -- FILE...` with the JSON lines of all
//! routers. Text before a line's opening brace is ignored, except for a number at its beginning,
//! which is the time in seconds.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    process::ExitCode,
};

use serde::Deserialize;

/// Maximum number of missing tokens that count as the caller's own part, not as a prompt that is
/// read again.
const MAX_OWN_TOKENS: u64 = 300;

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Line {
    msg: String,
    ts_ms: u64,
    id: Option<String>,
    target: Option<String>,
    verdict: Option<String>,
    code: Option<String>,
    why: Option<String>,
    took_ms: u64,
    shared_part: Option<u64>,
    tokens_missing: u64,
    held: bool,
    fetched_from: Option<String>,
}

struct TimedLine {
    at_s: f64,
    line: Line,
}

impl TimedLine {
    fn started_s(&self) -> f64 {
        self.at_s - self.line.took_ms as f64 / 1_000.0
    }
}

/// Why a target read a prompt that another target had read before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    /// A target that had read it was listed: the hint or the route to it was missing, or it was
    /// down.
    HolderListed,
    /// All listed targets that had read it were leaving.
    HoldersLeave,
    /// The entries of all targets that had read it were removed.
    HoldersGone,
}

fn parse_lines(text: &str) -> impl Iterator<Item = TimedLine> {
    text.lines().filter_map(|raw| {
        let (before, json) = raw.split_at(raw.find('{')?);
        let line: Line = serde_json::from_str(json).ok()?;
        let stamp = before
            .split_whitespace()
            .next()
            .and_then(|n| n.parse().ok());
        let at_s = stamp.unwrap_or(line.ts_ms as f64 / 1_000.0);
        Some(TimedLine { at_s, line })
    })
}

/// Returns when a verdict, such as `leaving` or `gone`, was first logged for each target, in
/// seconds.
fn first_verdict_times<'a>(lines: &'a [TimedLine], verdict: &str) -> HashMap<&'a str, f64> {
    let mut at = HashMap::new();
    for t in lines.iter().filter(|t| t.line.msg == "target") {
        if let (Some(target), Some(v)) = (&t.line.target, &t.line.verdict)
            && v == verdict
        {
            at.entry(target.as_str()).or_insert(t.at_s);
        }
    }
    at
}

fn report_calls(lines: &[TimedLine]) {
    let with_prompt: BTreeSet<&str> = lines
        .iter()
        .filter(|t| t.line.msg == "attempt" && t.line.shared_part.is_some())
        .filter_map(|t| t.line.id.as_deref())
        .collect();
    let mut counts: BTreeMap<(bool, &str, &str), u64> = BTreeMap::new();
    for t in lines.iter().filter(|t| t.line.msg == "call") {
        let has_prompt = with_prompt.contains(t.line.id.as_deref().unwrap_or_default());
        let code = t.line.code.as_deref().unwrap_or_default();
        let why = t.line.why.as_deref().unwrap_or_default();
        *counts.entry((has_prompt, code, why)).or_default() += 1;
    }
    for ((has_prompt, code, why), n) in counts {
        let kind = if has_prompt {
            "with a prompt"
        } else {
            "without"
        };
        println!("calls {kind}: {n} {code} {why}");
    }
}

fn report_repeated_reads(lines: &[TimedLine]) {
    let (gone, leaving) = (
        first_verdict_times(lines, "gone"),
        first_verdict_times(lines, "leaving"),
    );
    let mut attempts: Vec<&TimedLine> = lines.iter().filter(|t| t.line.msg == "attempt").collect();
    attempts.sort_by(|a, b| a.started_s().total_cmp(&b.started_s()));
    let mut holders: HashMap<u64, BTreeSet<&str>> = HashMap::new();
    let mut by_cause: BTreeMap<Cause, (u64, u64)> = BTreeMap::new();
    let mut by_second: BTreeMap<i64, u64> = BTreeMap::new();
    for t in attempts {
        let (Some(part), Some(target)) = (t.line.shared_part, &t.line.target) else {
            continue;
        };
        let began = t.started_s();
        let before = holders.entry(part).or_default();
        let is_read = !t.line.held && t.line.fetched_from.is_none();
        if is_read && t.line.tokens_missing > MAX_OWN_TOKENS && !before.is_empty() {
            let is_over =
                |at: &HashMap<&str, f64>, id: &str| at.get(id).is_some_and(|at| *at <= began);
            let listed: Vec<&&str> = before.iter().filter(|id| !is_over(&gone, id)).collect();
            let cause = match () {
                () if listed.is_empty() => Cause::HoldersGone,
                () if listed.iter().all(|id| is_over(&leaving, id)) => Cause::HoldersLeave,
                () => Cause::HolderListed,
            };
            let sum = by_cause.entry(cause).or_default();
            *sum = (sum.0 + 1, sum.1 + t.line.tokens_missing);
            *by_second.entry(began.floor() as i64).or_default() += t.line.tokens_missing;
        }
        before.insert(target);
    }
    for (cause, (times, tokens)) in by_cause {
        println!("read again, {cause:?}: {times} times, {tokens} tokens");
    }
    for (second, tokens) in by_second {
        println!("read again, second {second}: {tokens} tokens");
    }
}

fn main() -> ExitCode {
    let files: Vec<String> = std::env::args().skip(1).collect();
    if files.is_empty() {
        eprintln!("no log file given");
        return ExitCode::from(2);
    }
    let mut lines = Vec::new();
    for file in files {
        match std::fs::read(&file) {
            Ok(bytes) => lines.extend(parse_lines(&String::from_utf8_lossy(&bytes))),
            Err(e) => {
                eprintln!("{file}: {e}");
                return ExitCode::from(2);
            }
        }
    }
    println!("{} lines", lines.len());
    report_calls(&lines);
    report_repeated_reads(&lines);
    ExitCode::SUCCESS
}
