//! The operators' command, run against a fleet.

mod support;

use std::process::{Command, Output};

use serde_json::{Value, json};
use support::{
    caller::TOKEN,
    fleet::{Fleet, Plan},
    http,
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

/// Guards against a command that leaves contended pools out, or breaks off at what it does not know.
#[tokio::test(flavor = "multi_thread")]
async fn the_command_shows_contended_pools() {
    let pool = json!({"service": "bid-desk", "capacity_per_s": 60.0, "demand_per_s": 120.0,
        "admitted": 0.5, "claims": [
            {"rank": 0, "returning": true, "account": "green-hammer", "demand_per_s": 20.0, "admitted": 1.0},
            {"rank": 2, "returning": false, "account": null, "demand_per_s": 100.0, "admitted": 0.4}],
        "targets": [{"target": "desk-1", "offered_per_s": 40.0}, {"target": "desk-2", "offered_per_s": 20.0}]});
    let status = json!({"vm": "vm-1", "region": "region-1", "data_hall": "hall-1",
        "state": "serving", "contended": [pool]});
    let router = http::serve("127.0.0.1:0", move |_| {
        let answer = http::json(200, &status);
        async move { Ok(answer) }
    })
    .await;
    let operator = router.address.to_string();
    let out = run(
        COMMAND,
        &["--operator", &operator, "--token", TOKEN, "status"],
    );
    assert!(out.status.success());
    let text = String::from_utf8(out.stdout).unwrap();
    let shown = text.split_once("contended pool").unwrap().1;
    insta::assert_snapshot!(format!("contended pool{shown}"));
}

/// A temporary file of a test, removed when dropped.
struct TempFile(std::path::PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{}-{name}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

const LOG: &str = r#"
{"msg":"standing","ts_ms":900,"target":"i-1","standing":"Paused","id":"earlier","why":"silent"}
{"msg":"attempt","ts_ms":1000,"target":"i-1","outcome":"connection broke","took_ms":28,"id":"a1","calls_there":3,"tokens_missing":30,"standing":"Well"}
not a line of ours
{"msg":"standing","ts_ms":1500,"target":"i-2","standing":"Paused","id":"other","why":"silent"}
{"msg":"standing","ts_ms":9000,"target":"i-1","standing":"Well","id":"later","why":"answered"}
{"msg":"call","ts_ms":1001,"id":"a1","code":"outcome_unknown","status":502,"attempts":1,"took_ms":28,"why":"connection broke","config_revision":25,"config_age_ms":659}
{"msg":"call","ts_ms":1002,"id":"a2","code":"ok","status":200,"attempts":1,"took_ms":5,"why":"","config_revision":25,"config_age_ms":659}
"#;

#[test]
fn a_call_is_explained_from_logs_alone() {
    let log = TempFile::new("router.log", LOG);
    let out = run(COMMAND, &["explain", "a1", "--log", log.path()]);
    assert!(out.status.success());
    let text = String::from_utf8(out.stdout).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].contains("i-1 became paused by call earlier: silent"));
    assert!(lines[1].contains("after 28 ms: connection broke"));
    assert!(lines[2].contains("outcome_unknown") && lines[2].contains("revision 25, 659 ms old"));
    let none = run(COMMAND, &["explain", "a3", "--log", log.path()]);
    assert_eq!(none.status.code(), Some(3));
    let missing = run(COMMAND, &["explain", "a1", "--log", "no-such-file"]);
    assert_eq!(missing.status.code(), Some(2));
}

#[test]
fn all_faults_of_a_configuration_are_reported_at_once() {
    let wrong = serde_json::json!({
        "accounts": {"farm": {"key_hashes": [], "requests_per_s": 0, "concurrency": 4}},
        "services": {"desk": {"timeout_ms": 0}},
        "targets": {"t-1": {"address": "10.0.0.1:80", "region": "r", "data_hall": "h",
            "serves": {"model": "none"}}}});
    let file = TempFile::new("wrong.json", &wrong.to_string());
    let out = run(COMMAND, &["check-config", file.path()]);
    assert_eq!(out.status.code(), Some(1));
    let text = String::from_utf8(out.stderr).unwrap();
    for fault in [
        "accounts.farm.requests_per_s: 0",
        "accounts.farm.key_hashes: none",
        "services.desk.timeout_ms: 0",
        "targets.t-1.serves.model: no model none",
    ] {
        assert!(text.contains(fault), "{text}");
    }
    let valid = TempFile::new("fine.json", "{}");
    assert!(
        run(COMMAND, &["check-config", valid.path()])
            .status
            .success()
    );
}
