//! The operators' command.
//!
//! Exit codes: 0 success, 1 refused or failed, 2 usage error, 3 nothing found, 4 outcome not known yet.

mod api;
mod flags;
mod logs;
mod show;

use std::{io::Read, process::ExitCode};

use flags::{IntentCmd, ScalefordCmd};
use scaleford::{ResultCode, config::FleetConfig};

/// Exit code of a usage error, an unreadable file or a failed connection.
const USAGE_ERROR: u8 = 2;

fn main() -> ExitCode {
    match flags::Scaleford::from_env() {
        Ok(flags) => run(&flags),
        Err(e) => e.exit(),
    }
}

fn run(flags: &flags::Scaleford) -> ExitCode {
    match &flags.subcommand {
        ScalefordCmd::CheckConfig(check) => finish(check_config(&check.file, flags.json)),
        ScalefordCmd::Explain(e) if !e.log.is_empty() => finish(
            logs::explain(&e.request, &e.log)
                .map(|entries| show::log_entries(flags.json, &entries)),
        ),
        _ => query_router(flags),
    }
}

fn finish(done: Result<ExitCode, String>) -> ExitCode {
    done.unwrap_or_else(|text| {
        eprintln!("scaleford: {text}");
        ExitCode::from(USAGE_ERROR)
    })
}

/// Reports all errors of a configuration in a file.
fn check_config(file: &str, as_json: bool) -> Result<ExitCode, String> {
    let text = read(file)?;
    let config: FleetConfig = serde_json::from_str(&text).map_err(|e| format!("{file}: {e}"))?;
    Ok(show::config_errors(as_json, &config.validation_errors()))
}

fn query_router(flags: &flags::Scaleford) -> ExitCode {
    match call(flags) {
        Ok(response) => show::response(flags, &response),
        Err(text) => {
            eprintln!("scaleford: {text}");
            ExitCode::from(USAGE_ERROR)
        }
    }
}

fn call(flags: &flags::Scaleford) -> Result<api::ApiResponse, String> {
    let api = api::Api::from_flags(flags.operator.as_deref(), flags.token.as_deref())?;
    match &flags.subcommand {
        ScalefordCmd::Status(_) => api.get("/v1/status"),
        ScalefordCmd::Explain(e) => api.get(&format!("/v1/explain/{}", e.request)),
        ScalefordCmd::Intent(i) => match &i.subcommand {
            IntentCmd::Plan(p) => api.post("/v1/intents/plan", read(&p.file)?),
            IntentCmd::Confirm(c) => api.post("/v1/intents/confirm", read(&c.plan)?),
            IntentCmd::List(_) => api.get("/v1/changes"),
            IntentCmd::Show(s) => api.get(&format!("/v1/changes/{}", s.change)),
        },
        ScalefordCmd::Config(_) | ScalefordCmd::CheckConfig(_) => api.get("/v1/config"),
    }
}

fn read(file: &str) -> Result<String, String> {
    let read_error = |e: std::io::Error| format!("{file}: {e}");
    match file {
        "-" => {
            let mut text = String::new();
            std::io::stdin()
                .read_to_string(&mut text)
                .map_err(read_error)?;
            Ok(text)
        }
        path => std::fs::read_to_string(path).map_err(read_error),
    }
}

/// Returns the exit code for a response's status and result code.
fn exit_code(status: u16, code: Option<ResultCode>) -> ExitCode {
    match (status, code) {
        (_, Some(ResultCode::NotFound)) => ExitCode::from(3),
        (_, Some(ResultCode::ChangeUnknown)) => ExitCode::from(4),
        (200..=299, _) => ExitCode::SUCCESS,
        _ => ExitCode::from(1),
    }
}
