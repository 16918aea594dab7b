//! Stand-ins for clients, replicas, the operator and the platform, and the cases that are
//! played with them.
//!
//! `review-case NAME FOLDER` plays a case and writes `record.txt` in its folder. It exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` the disruption is left out.

mod client;
mod engine;
mod founding;
mod http;
mod machines;
mod memory;
mod operator;
mod record;
mod replica;
mod stopping;

use record::Record;
use std::path::Path;
use std::process::ExitCode;

/// How a case ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held(String),
    Broken(String),
    CannotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder] = &arguments[..] else {
        eprintln!("usage: review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(Path::new(folder));
    let verdict = match name.as_str() {
        "memory" => memory::play(trouble, &record),
        "stopping" => stopping::play(trouble, &record),
        "founding" => founding::play(trouble, &record),
        _ => Verdict::CannotRun(format!("there is no case {name}")),
    };
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Broken(text) => (1, format!("broken: {text}")),
        Verdict::CannotRun(text) => (2, format!("could not run: {text}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
