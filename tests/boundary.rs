//! Checks that the names of the users' platform occur only in `platform/`, so that the library's
//! sources do not come to depend on that platform.

use std::{fs, path::Path};

/// Names of the platform's headers, calls, keys and fields that are not general terms.
const PLATFORM_NAMES: [&str; 24] = [
    "x-attempt-id",
    "x-deadline-ms",
    "x-server-seal",
    "x-tenant",
    "x-expect-instance",
    "x-runner-load",
    "server-leaving",
    "x-prefix-hash",
    "x-request-priority",
    "kv-fetch",
    "kv-from",
    "kv-watch",
    "kv-range",
    "kv-txn",
    "/scaleford/",
    "op/config",
    "op/evacuate",
    "coldleftms",
    "coldexcess",
    "\"servers/",
    "scaleford_config",
    "pathprefix",
    "scaleford_platform",
    "internalports",
];

fn read_sources(dir: &Path, all: &mut Vec<(String, String)>) {
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        match path.is_dir() {
            true => read_sources(&path, all),
            false => {
                let text = fs::read_to_string(&path).unwrap();
                all.push((path.display().to_string(), text.to_lowercase()));
            }
        }
    }
}

#[test]
fn the_platforms_names_stay_in_its_folder() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut all = Vec::new();
    read_sources(&root.join("src"), &mut all);
    for (path, text) in &all {
        for name in PLATFORM_NAMES {
            assert!(!text.contains(name), "{path} knows {name}");
        }
    }
    let mut adapter = Vec::new();
    read_sources(&root.join("platform/src"), &mut adapter);
    let known = |name: &&str| adapter.iter().any(|(_, text)| text.contains(*name));
    let unknown: Vec<&str> = PLATFORM_NAMES.into_iter().filter(|n| !known(n)).collect();
    assert!(
        unknown.is_empty(),
        "names that are not in use guard nothing: {unknown:?}"
    );
}
