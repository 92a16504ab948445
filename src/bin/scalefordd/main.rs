//! The daemon of an entry VM.

mod flags;

use std::process::ExitCode;

use scaleford::{Error, Result, Router, Settings, telemetry::stderr_log};
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    match flags::Daemon::from_env() {
        Ok(flags) => finish(run(flags)),
        Err(e) => e.exit(),
    }
}

fn finish(result: Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            // Standard error is the last place to tell; there is no other.
            let _ = e.print(&mut std::io::stderr());
            ExitCode::from(e.exit_status())
        }
    }
}

fn run(flags: flags::Daemon) -> Result<()> {
    if flags.version {
        println!("scalefordd {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let cfg = Settings::resolve(&flags)?.check()?;
    if flags.check_settings {
        cfg.lines().iter().for_each(|line| println!("{line}"));
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(Error::from)?;
    runtime.block_on(serve(cfg))
}

async fn serve(cfg: Settings) -> Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let log = stderr_log(&cfg);
    let router = Router::builder(cfg).log(log).start().await?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    router.stop().await;
    Ok(())
}
