//! Prints responses, formatted for people or as JSON.

use std::process::ExitCode;

use scaleford::ResultCode;
use serde_json::Value;

use crate::{
    api::ApiResponse,
    exit_code,
    flags::{IntentCmd, Scaleford, ScalefordCmd},
    logs::LogEntry,
};

/// Prints a response and returns the exit code.
pub(crate) fn response(flags: &Scaleford, response: &ApiResponse) -> ExitCode {
    let error = response.body.get("error");
    let code = error
        .and_then(|e| e["number"].as_i64())
        .and_then(ResultCode::from_number);
    match error {
        _ if flags.json => println!("{}", response.body),
        Some(e) => eprintln!(
            "error {} {}: {}",
            e["number"],
            text(&e["code"]),
            text(&e["message"])
        ),
        None => match &flags.subcommand {
            ScalefordCmd::Status(_) => status(&response.body),
            ScalefordCmd::Explain(_) => explain(&response.body),
            ScalefordCmd::Intent(i) => match &i.subcommand {
                // A plan is printed as JSON, so that it can be piped into `confirm`.
                IntentCmd::Plan(_) => plan(&response.body),
                IntentCmd::Confirm(_) => {
                    println!(
                        "{} accepted as revision {}",
                        text(&response.body["id"]),
                        response.body["revision"]
                    );
                }
                IntentCmd::List(_) => list(&response.body),
                IntentCmd::Show(_) => pretty(&response.body),
            },
            ScalefordCmd::Config(_) | ScalefordCmd::CheckConfig(_) => pretty(&response.body),
        },
    }
    exit_code(response.status, code)
}

/// Prints the log lines that are relevant to a call; the exit code is 3 if there are none.
pub(crate) fn log_entries(as_json: bool, entries: &[LogEntry]) -> ExitCode {
    match as_json {
        true => println!("{}", serde_json::json!(entries)),
        false => entries.iter().for_each(|e| println!("{e}")),
    }
    match entries.is_empty() {
        true => {
            eprintln!("no log line is about this request");
            ExitCode::from(3)
        }
        false => ExitCode::SUCCESS,
    }
}

/// Prints the errors of a configuration; the exit code is 1 if there are any.
pub(crate) fn config_errors(as_json: bool, errors: &[String]) -> ExitCode {
    match as_json {
        true => println!("{}", serde_json::json!({ "faults": errors })),
        false if errors.is_empty() => println!("no errors"),
        false => errors.iter().for_each(|e| eprintln!("error {e}")),
    }
    match errors.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(1),
    }
}

fn status(s: &Value) {
    println!(
        "{} in {}/{}: {}",
        text(&s["vm"]),
        text(&s["region"]),
        text(&s["data_hall"]),
        text(&s["state"])
    );
    println!("configuration  revision {}", s["revision"]);
    println!(
        "requests       {} in progress, {} answered, {} refused",
        s["in_progress"], s["answered"], s["refused"]
    );
    println!(
        "control        {} bytes, {} store calls",
        s["control_bytes"], s["store_calls"]
    );
    println!(
        "\n{:<24} {:<12} {:<10} {:>10}",
        "ROUTER", "HALL", "STATE", "SILENT MS"
    );
    for r in rows(&s["routers"]) {
        println!(
            "{:<24} {:<12} {:<10} {:>10}",
            text(&r["vm"]),
            text(&r["data_hall"]),
            text(&r["state"]),
            r["silent_ms"]
        );
    }
    println!(
        "\n{:<24} {:<28} {:<9} {:>6} {:>6} {:>9} {:>9}",
        "TARGET", "POOL", "STANDING", "CALLS", "LOAD", "TOKENS", "KEPT"
    );
    for t in rows(&s["targets"]) {
        let load = t["load"].as_f64().unwrap_or(0.0);
        println!(
            "{:<24} {:<28} {:<9} {:>6} {load:>6.2} {:>9} {:>9}",
            text(&t["target"]),
            text(&t["pool"]),
            withdrawal_text(&t["withdrawn"]).unwrap_or_else(|| text(&t["standing"]).to_owned()),
            t["calls"],
            t["tokens"],
            t["kept"]
        );
    }
    for pool in rows(&s["contended"]) {
        contended_pool(pool);
    }
}

/// Prints a contended pool: who asks for it, and what its targets are offered.
fn contended_pool(p: &Value) {
    println!(
        "\ncontended pool {}: {:.1} calls/s of {:.1} asked for, {:.3} admitted",
        text(&p["service"]),
        number(&p["capacity_per_s"]),
        number(&p["demand_per_s"]),
        number(&p["admitted"])
    );
    println!(
        "{:>4} {:<24} {:<9} {:>10} {:>9}",
        "RANK", "ACCOUNT", "RETURNING", "DEMAND/S", "ADMITTED"
    );
    for c in rows(&p["claims"]) {
        let returning = c["returning"].as_bool().unwrap_or_default();
        println!(
            "{:>4} {:<24} {:<9} {:>10.1} {:>9.3}",
            c["rank"],
            c["account"].as_str().unwrap_or("-"),
            if returning { "yes" } else { "no" },
            number(&c["demand_per_s"]),
            number(&c["admitted"])
        );
    }
    println!("{:<24} {:>10}", "TARGET", "OFFERED/S");
    for t in rows(&p["targets"]) {
        println!(
            "{:<24} {:>10.1}",
            text(&t["target"]),
            number(&t["offered_per_s"])
        );
    }
}

fn number(v: &Value) -> f64 {
    v.as_f64().unwrap_or_default()
}

/// Returns the text that is shown instead of the health of a target that accepts no calls.
fn withdrawal_text(w: &Value) -> Option<String> {
    let withdrawal = w.as_object()?;
    let left = withdrawal["left_ms"].as_u64();
    Some(left.map_or("leaves".to_owned(), |ms| {
        format!("in {} s", ms.div_ceil(1_000))
    }))
}

fn explain(e: &Value) {
    for d in rows(&e["decisions"]) {
        println!(
            "{} {:<16} {}",
            d["at_ms"],
            text(&d["vm"]),
            text(&d["sentence"])
        );
    }
}

fn plan(p: &Value) {
    for effect in rows(&p["effects"]) {
        eprintln!("effect: {}", text(effect));
    }
    for warning in rows(&p["warnings"]) {
        eprintln!("warning: {}", text(warning));
    }
    eprintln!("to apply it, save this plan to FILE and run: scaleford intent confirm FILE");
    println!("{p}");
}

fn list(l: &Value) {
    for c in rows(&l["changes"]) {
        println!(
            "{:>8} {} {} {}",
            c["revision"],
            text(&c["id"]),
            text(&c["author"]),
            text(&c["reason"])
        );
    }
}

fn pretty(v: &Value) {
    println!("{v:#}");
}

fn rows(v: &Value) -> &[Value] {
    v.as_array().map_or(&[], Vec::as_slice)
}

fn text(v: &Value) -> &str {
    v.as_str().unwrap_or_default()
}
