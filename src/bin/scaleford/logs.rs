//! What the logs of some routers say of one call, and of the targets that it met.

use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::PathBuf,
};

use serde::Serialize;
use serde_json::Value;

/// How long before and after the call a target's standing may still explain it.
const AROUND_MS: u64 = 2_000;

/// One line of a log that concerns the call.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Told {
    /// Milliseconds of the time of day, as the router logged it.
    at_ms: u64,
    /// The file that it stands in.
    file: String,
    /// The line as a sentence.
    sentence: String,
    /// The line itself.
    line: Value,
}

impl std::fmt::Display for Told {
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

/// All that the files say of a call, in order of time.
pub(crate) fn explain(id: &str, files: &[PathBuf]) -> Result<Vec<Told>, String> {
    let mut own = Vec::new();
    let mut around = Vec::new();
    for file in files {
        let fault = |e: std::io::Error| format!("{}: {e}", file.display());
        let name = file.display().to_string();
        for text in BufReader::new(File::open(file).map_err(fault)?).lines() {
            let text = text.map_err(fault)?;
            // Lines of other programs may stand between.
            let Ok(line) = serde_json::from_str::<Value>(&text) else {
                continue;
            };
            match line["msg"].as_str() {
                Some("standing" | "target" | "dependency lost" | "dependency regained") => {
                    around.push((name.clone(), line));
                }
                _ if line["id"] == id => own.push((name.clone(), line)),
                _ => {}
            }
        }
    }
    around.retain(|(_, line)| concerns(line, &own));
    own.extend(around);
    let mut all: Vec<Told> = own
        .into_iter()
        .map(|(file, line)| told(file, line))
        .collect();
    all.sort_by_key(|t| t.at_ms);
    Ok(all)
}

/// Whether a line is of a target that the call met, or of the store, about the time of the call.
fn concerns(line: &Value, own: &[(String, Value)]) -> bool {
    let at = line["ts_ms"].as_u64().unwrap_or(0);
    let near = |l: &Value| {
        l["ts_ms"]
            .as_u64()
            .is_some_and(|t| t.abs_diff(at) <= AROUND_MS)
    };
    let met = |l: &Value| line["target"].is_null() || l["target"] == line["target"];
    own.iter().any(|(_, l)| near(l) && met(l))
}

fn told(file: String, line: Value) -> Told {
    Told {
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
            "{} had {} calls and {} prompt tokens to read; believed {}; after {} ms: {}.",
            text("target"),
            text("calls_there"),
            text("tokens_missing"),
            text("standing").to_lowercase(),
            text("took_ms"),
            text("outcome"),
        ),
        "repeat" => match line["allowed"].as_bool() {
            Some(true) => format!(
                "It was sent again as the attempt ended with: {}.",
                text("why")
            ),
            _ => format!(
                "It was not sent again ({}): the fleet's budget of repeats was spent.",
                text("why")
            ),
        },
        "call" => format!(
            "It ended with {} (status {}) after {} ms and {} attempts{}; configuration of revision \
             {}, {} ms old.",
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
        "standing" => format!(
            "{} became {} by call {}: {}.",
            text("target"),
            text("standing").to_lowercase(),
            text("id"),
            text("why")
        ),
        "target" => format!("{} was {} in the list.", text("target"), text("verdict")),
        "dependency lost" => format!("{} was lost: {}.", text("dependency"), text("why")),
        "dependency regained" => format!(
            "{} was back after {} ms.",
            text("dependency"),
            text("away_ms")
        ),
        other => other.to_owned(),
    }
}
