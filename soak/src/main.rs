//! Command line of the soak test; the exit status is 1 if a guarantee was violated.

use std::{process::ExitCode, time::Duration};

use soak::{MAX_VMS, RunOptions, run};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs router processes on loopback, injects faults, and checks the guarantees.
        cmd soak {
            /// Seed of all random choices; 1 by default.
            optional --seed seed: u64
            /// Duration of the faults, in seconds; 10 by default.
            optional --seconds seconds: u64
            /// Number of routers; 4 by default, at most 200.
            optional --vms vms: usize
            /// Path of the router program; by default `scalefordd` in the directory of this program.
            optional --program program: PathBuf
            /// Also restart targets under the same name, and write entries of other writers and evacuations.
            optional --entries
            /// Also send a request that crashes each target that starts to run it.
            optional --crashes
            /// Also send requests that share a part of their prompts, which crashes each target.
            optional --parts
            /// Also let targets announce in responses that they are leaving or accept no calls for a while.
            optional --withdrawals
            /// Also revert the store to older copies.
            optional --set-backs
            /// Also overload a small plain service over and over.
            optional --surge
            /// Also cut routers off from all targets.
            optional --cuts
            /// Let the targets of the small plain service crash when they reject too many calls; with --surge.
            optional --brittle
            /// Also let targets run several software versions, and callers take up streams that break off.
            optional --versions
            /// Also let callers read large streams slowly or not at all, at routers with little memory.
            optional --slow-readers
            /// Also let sound targets fall silent for a moment and go on.
            optional --silences
            /// Also change the configuration in quick succession.
            optional --changes
            /// Also let all routers and the store lose power at the same moment.
            optional --power
            /// Also kill all routers at the same moment and start them again, while callers take up streams.
            optional --restarts-of-all
            /// Inject only planned work instead of the usual faults: stops, reloads, changes.
            optional --planned
            /// Keep the routers' logs also if all guarantees were kept.
            optional --keep-logs
            /// Print the verdict as JSON.
            optional --json
        }
    }
}

fn main() -> ExitCode {
    let flags = match flags::Soak::from_env() {
        Ok(flags) => flags,
        Err(e) => e.exit(),
    };
    let default_program = std::env::current_exe().ok();
    let default_program = default_program.map(|p| p.with_file_name("scalefordd"));
    let options = RunOptions {
        seed: flags.seed.unwrap_or(1),
        fault_duration: Duration::from_secs(flags.seconds.unwrap_or(10)),
        vms: flags.vms.unwrap_or(4).clamp(1, MAX_VMS),
        entries: flags.entries,
        crashes: flags.crashes,
        parts: flags.parts,
        withdrawals: flags.withdrawals,
        set_backs: flags.set_backs,
        surge: flags.surge,
        cuts: flags.cuts,
        brittle: flags.brittle,
        versions: flags.versions,
        slow_readers: flags.slow_readers,
        silences: flags.silences,
        changes: flags.changes,
        power: flags.power,
        restarts: flags.restarts_of_all,
        planned: flags.planned,
        keep_logs: flags.keep_logs,
        program: flags.program.or(default_program).unwrap_or_default(),
    };
    if !options.program.is_file() {
        eprintln!("no router at {}: build it first", options.program.display());
        return ExitCode::from(2);
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let verdict = match runtime {
        Ok(runtime) => tokio::task::LocalSet::new().block_on(&runtime, run(&options)),
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    match flags.json {
        true => println!("{}", verdict.json(&options)),
        false => println!("{}", verdict.text(&options)),
    }
    match verdict.all_kept() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
