//! The operators' command before a fleet.

mod support;

use std::process::{Command, Output};

use serde_json::Value;
use support::{
    caller::TOKEN,
    fleet::{Fleet, Plan},
};

const COMMAND: &str = env!("CARGO_BIN_EXE_scaleford");

fn run(program: &str, args: &[&str]) -> Output {
    Command::new(program)
        .args(args)
        .env_clear()
        .output()
        .unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn the_command_shows_status_and_exits_as_documented() {
    let fleet = Fleet::start(Plan::default()).await;
    let operator = fleet.operators_at(0).to_string();
    let args = [
        "--operator",
        &operator,
        "--token",
        TOKEN,
        "--json",
        "status",
    ];
    let out = run(COMMAND, &args);
    assert!(out.status.success());
    let shown: Value = serde_json::from_slice(&out.stdout).unwrap();
    assert_eq!(shown["vm"], "vm-0-1");
    let unknown = run(
        COMMAND,
        &["--operator", &operator, "--token", TOKEN, "explain", "none"],
    );
    assert_eq!(unknown.status.code(), Some(3));
    let wrong = run(
        COMMAND,
        &["--operator", &operator, "--token", "wrong-token", "status"],
    );
    assert_eq!(wrong.status.code(), Some(1));
    assert_eq!(run(COMMAND, &["status"]).status.code(), Some(2));
}
