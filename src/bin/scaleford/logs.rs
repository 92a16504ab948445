//! Explains one call from the log files of routers, with the state of the targets that it was sent to.

use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::PathBuf,
};

use serde::Serialize;
use serde_json::Value;

/// Time before and after the call's log lines within which changes of a target's health are included.
const CONTEXT_MS: u64 = 2_000;

/// A log line that is relevant to the call.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct LogEntry {
    /// Unix time of the line in milliseconds, as the router logged it.
    at_ms: u64,
    /// Log file that contains the line.
    file: String,
    /// The line as a sentence.
    sentence: String,
    /// The line itself.
    line: Value,
}

impl std::fmt::Display for LogEntry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            at_ms,
            file,
            sentence,
            ..
        } = self;
        write!(f, "{at_ms} {file} {sentence}")
    }
}

/// Returns all lines of the files that are relevant to a call, in order of time.
pub(crate) fn explain(id: &str, files: &[PathBuf]) -> Result<Vec<LogEntry>, String> {
    let mut own = Vec::new();
    let mut context = Vec::new();
    for file in files {
        let read_error = |e: std::io::Error| format!("{}: {e}", file.display());
        let name = file.display().to_string();
        for text in BufReader::new(File::open(file).map_err(read_error)?).lines() {
            let text = text.map_err(read_error)?;
            // The file may also contain lines of other programs.
            let Ok(line) = serde_json::from_str::<Value>(&text) else {
                continue;
            };
            match line["msg"].as_str() {
                Some("standing" | "target" | "dependency lost" | "dependency regained") => {
                    context.push((name.clone(), line));
                }
                _ if line["id"] == id => own.push((name.clone(), line)),
                _ => {}
            }
        }
    }
    context.retain(|(_, line)| is_relevant(line, &own));
    own.extend(context);
    let mut all: Vec<LogEntry> = own
        .into_iter()
        .map(|(file, line)| log_entry(file, line))
        .collect();
    all.sort_by_key(|t| t.at_ms);
    Ok(all)
}

/// Returns whether a line is about a target that the call was sent to, or about a dependency, near the time
/// of the call.
fn is_relevant(line: &Value, own: &[(String, Value)]) -> bool {
    let at = line["ts_ms"].as_u64().unwrap_or(0);
    let is_near = |l: &Value| {
        l["ts_ms"]
            .as_u64()
            .is_some_and(|t| t.abs_diff(at) <= CONTEXT_MS)
    };
    let same_target = |l: &Value| line["target"].is_null() || l["target"] == line["target"];
    own.iter().any(|(_, l)| is_near(l) && same_target(l))
}

fn log_entry(file: String, line: Value) -> LogEntry {
    LogEntry {
        at_ms: line["ts_ms"].as_u64().unwrap_or(0),
        file,
        sentence: sentence(&line),
        line,
    }
}

fn sentence(line: &Value) -> String {
    let text = |name: &str| match &line[name] {
        Value::String(s) => s.clone(),
        Value::Null => "nothing".to_owned(),
        other => other.to_string(),
    };
    match line["msg"].as_str().unwrap_or_default() {
        "attempt" => format!(
            "{} had {} calls in progress and {} prompt tokens to read; health: {}; after {} ms: {}.",
            text("target"),
            text("calls_there"),
            text("tokens_missing"),
            text("standing").to_lowercase(),
            text("took_ms"),
            text("outcome"),
        ),
        "repeat" => match line["allowed"].as_bool() {
            Some(true) => format!(
                "The call was retried because the attempt ended with: {}.",
                text("why")
            ),
            _ => format!(
                "The call was not retried ({}): the fleet's retry budget was exhausted.",
                text("why")
            ),
        },
        "call" => format!(
            "The call ended with {} (status {}) after {} ms and {} attempts{}; configuration of \
             revision {}, {} ms old.",
            text("code"),
            text("status"),
            text("took_ms"),
            text("attempts"),
            match text("why").as_str() {
                "" => String::new(),
                why => format!(": {why}"),
            },
            text("config_revision"),
            text("config_age_ms"),
        ),
        "caller given up" => format!(
            "The caller was given up ({}): {} bytes were held for it, and it had read nothing for {} ms.",
            text("reason"),
            text("held_bytes"),
            text("stalled_ms")
        ),
        "standing" => format!(
            "{} became {} by call {}: {}.",
            text("target"),
            text("standing").to_lowercase(),
            text("id"),
            text("why")
        ),
        "target" => format!(
            "{} was {} in the list of targets.",
            text("target"),
            text("verdict")
        ),
        "dependency lost" => format!(
            "{} became unavailable: {}.",
            text("dependency"),
            text("why")
        ),
        "dependency regained" => format!(
            "{} was available again after {} ms.",
            text("dependency"),
            text("away_ms")
        ),
        other => other.to_owned(),
    }
}
