//! Runs one case: `review-stand-ins-2 CASE ROOT FOLDER TEMPORARY`, where `ROOT` is the repository, `FOLDER` gets
//! `record.txt` and `TEMPORARY` the daemons' settings and logs. It exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case couldn't run. With `TROUBLE=0` in the environment, the disruption is left out.

mod early;
mod http;
mod in_place;
mod json;
mod names;
mod record;
mod rolling;
mod router;
mod server;
mod store;
mod streams;
mod versions;

use std::{io, path::PathBuf, process::ExitCode};

use record::Record;

/// What a case needs.
pub struct Case {
    /// The repository.
    root: PathBuf,
    /// Folder of the daemons' settings and logs.
    temporary: PathBuf,
    /// Whether the disruption takes place.
    has_trouble: bool,
    record: Record,
}

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    match run() {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}

fn run() -> io::Result<Verdict> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [name, root, folder, temporary] = args.as_slice() else {
        return Err(io::Error::other("usage: CASE ROOT FOLDER TEMPORARY"));
    };
    let case = Case {
        root: root.into(),
        temporary: temporary.into(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        record: Record::create(&PathBuf::from(folder).join("record.txt"))?,
    };
    let verdict = match name.as_str() {
        "versions" => versions::run(&case),
        "in-place" => in_place::run(&case),
        "early" => early::run(&case),
        "names" => names::run(&case),
        "rolling" => rolling::run(&case),
        _ => Err(io::Error::other("no such case")),
    };
    let text = match &verdict {
        Ok(Verdict::Held) => "the rule held".to_owned(),
        Ok(Verdict::Broken) => "the rule was broken".to_owned(),
        Err(e) => format!("the case could not run: {e}"),
    };
    case.record.line(&text);
    println!("{text}");
    verdict
}
