//! What each command does. Commands return what they print.

use crate::client::Operator;
use crate::settings::Settings;
use crate::trace::trace;
use crate::{Exit, Failure};
use clap::ArgMatches;
use dogwoodhill_control::operators::{Accepted, HistoryItem, Status};
use dogwoodhill_core::keys::KeyHash;
use dogwoodhill_core::prelude::*;
use http::Method;
use similar::TextDiff;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Variable that holds the operator's key.
const KEY_VARIABLE: &str = "DOGWOODHILL_KEY";
/// Lines of unchanged text around a change.
const CONTEXT: usize = 3;

/// Runs the command that `matches` names and returns what it prints.
///
/// # Errors
///
/// [`Failure`] with the exit code.
pub async fn run(matches: &ArgMatches) -> Result<String, Failure> {
    match matches.subcommand() {
        Some(("check", sub)) => check(sub),
        Some(("hash", _)) => hash(),
        Some(("trace", sub)) => trace_request(sub),
        Some(("apply", sub)) => apply(&operator(matches)?, sub).await,
        Some(("get", sub)) => get(&operator(matches)?, sub).await,
        Some(("history", sub)) => history(&operator(matches)?, sub).await,
        Some(("status", _)) => status(&operator(matches)?).await,
        _ => Err(Failure::new(Exit::Faulty, "name a command; see --help")),
    }
}

fn trace_request(sub: &ArgMatches) -> Result<String, Failure> {
    let id = sub.get_one::<String>("request").expect("clap requires it");
    let paths = sub.get_many::<PathBuf>("log").expect("clap requires it");
    let logs: Result<Vec<(String, String)>, Failure> = paths
        .map(|path| Ok((path.display().to_string(), read(path)?)))
        .collect();
    trace(id, &logs?)
}

fn operator(matches: &ArgMatches) -> Result<Operator, Failure> {
    let mut settings = match matches.get_one::<PathBuf>("settings") {
        Some(path) => {
            let text = read(path)?;
            let parsed = Settings::parse(&path.display().to_string(), &text);
            parsed.map_err(|faults| Failure::new(Exit::Faulty, faults.to_string()))?
        }
        None => Settings::default(),
    };
    if let Some(given) = matches.get_many::<SocketAddr>("control") {
        settings.control = given.copied().collect();
    }
    if settings.control.is_empty() {
        let text = "no control instance is named; use --control or --settings";
        return Err(Failure::new(Exit::Faulty, text));
    }
    Ok(Operator::new(settings.control.clone(), key(&settings)?))
}

fn key(settings: &Settings) -> Result<String, Failure> {
    if let Ok(key) = std::env::var(KEY_VARIABLE) {
        return Ok(key);
    }
    match &settings.key_file {
        Some(path) => Ok(read(path)?.trim().to_string()),
        None => {
            let text = format!("no key; set {KEY_VARIABLE} or key_file in the settings");
            Err(Failure::new(Exit::Faulty, text))
        }
    }
}

fn read(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|error| {
        let text = format!("{}: {error}; name a readable file", path.display());
        Failure::new(Exit::Faulty, text)
    })
}

fn document(path: &Path, text: &str) -> Result<ServiceDocument, Failure> {
    let parsed = ServiceDocument::parse(&path.display().to_string(), text);
    parsed.map_err(|faults| Failure::new(Exit::Faulty, faults.to_string()))
}

fn file(matches: &ArgMatches) -> &PathBuf {
    matches.get_one("file").expect("clap requires it")
}

fn service(matches: &ArgMatches) -> &String {
    matches.get_one("service").expect("clap requires it")
}

fn check(matches: &ArgMatches) -> Result<String, Failure> {
    let mut out = String::new();
    let mut faults = String::new();
    for path in matches.get_many::<PathBuf>("file").into_iter().flatten() {
        match read(path).and_then(|text| document(path, &text)) {
            Ok(document) => {
                let (name, version) = (&document.service, document.version);
                let _ = writeln!(
                    out,
                    "{}: {name} version {version} is valid",
                    path.display()
                );
            }
            Err(failure) => {
                let _ = writeln!(faults, "{failure}");
            }
        }
    }
    if faults.is_empty() {
        return Ok(out);
    }
    Err(Failure::new(Exit::Faulty, faults.trim_end()))
}

fn hash() -> Result<String, Failure> {
    let mut key = String::new();
    let read = std::io::stdin().read_line(&mut key);
    if read.is_err() || key.trim().is_empty() {
        let text = "no key on standard input; write one line";
        return Err(Failure::new(Exit::Faulty, text));
    }
    Ok(format!("{}\n", KeyHash::of(key.trim()).text()))
}

async fn apply(operator: &Operator, matches: &ArgMatches) -> Result<String, Failure> {
    let path = file(matches);
    let text = read(path)?;
    let document = document(path, &text)?;
    let target = format!("/v1/services/{}", document.service);
    if matches.get_flag("dry-run") {
        let current = current(operator, &target).await?;
        return Ok(difference(&document, current.as_deref(), &text));
    }
    let body = operator.call(Method::PUT, &target, &text).await?;
    let read = serde_json::from_slice::<Accepted>(&body);
    let Accepted { accepted } = read.map_err(|error| {
        let text = format!("unreadable answer: {error}; apply again to be sure");
        Failure::new(Exit::Unconfirmed, text)
    })?;
    Ok(format!(
        "{} version {} is in force at revision {}\n",
        accepted.service, accepted.version, accepted.revision
    ))
}

/// The text in force; `None` for a new service.
async fn current(operator: &Operator, target: &str) -> Result<Option<String>, Failure> {
    match operator.call(Method::GET, target, "").await {
        Ok(body) => Ok(Some(String::from_utf8_lossy(&body).into_owned())),
        Err(failure) if failure.text.contains("there is no service") => Ok(None),
        Err(failure) => Err(failure),
    }
}

/// What an `apply` would change.
fn difference(document: &ServiceDocument, current: Option<&str>, text: &str) -> String {
    let name = &document.service;
    let Some(current) = current else {
        return format!("{name} is new; version 1 would be its first\n{text}");
    };
    if current == text {
        return format!("{name}: nothing would change\n");
    }
    let diff = TextDiff::from_lines(current, text);
    let mut unified = diff.unified_diff();
    let from = format!("{name} in force");
    let to = format!("{name} version {}", document.version);
    unified
        .context_radius(CONTEXT)
        .header(&from, &to)
        .to_string()
}

async fn get(operator: &Operator, matches: &ArgMatches) -> Result<String, Failure> {
    let target = format!("/v1/services/{}", service(matches));
    let body = operator.call(Method::GET, &target, "").await?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

async fn history(operator: &Operator, matches: &ArgMatches) -> Result<String, Failure> {
    let target = format!("/v1/services/{}/history", service(matches));
    let past: Vec<HistoryItem> = operator.get(&target).await?;
    let mut out = String::from("version  revision  team\n");
    for HistoryItem { accepted, .. } in past {
        let (version, revision) = (accepted.version, accepted.revision);
        let _ = writeln!(out, "{version:>7}  {revision:>8}  {}", accepted.team);
    }
    Ok(out)
}

async fn status(operator: &Operator) -> Result<String, Failure> {
    let status: Status = operator.get("/v1/status").await?;
    let mut out = String::new();
    let contact = if status.contact {
        "in contact"
    } else {
        "out of contact"
    };
    let _ = writeln!(
        out,
        "revision {}, term {}, {contact}, {} entries, {} claims, {} log bytes",
        status.revision, status.term, status.entries, status.claims, status.log_bytes
    );
    for member in &status.members {
        let role = if member.voter { "voter" } else { "learner" };
        let (name, node, address) = (&member.name, &member.node, &member.address);
        let _ = writeln!(out, "control {name} {node} {address} {role}");
    }
    for s in &status.services {
        let _ = writeln!(
            out,
            "service {} version {} revision {} owner {} {}",
            s.service, s.version, s.revision, s.owner, s.state
        );
    }
    for d in &status.duties {
        let (duty, subject) = (&d.duty, &d.subject);
        let about = if subject.is_empty() { "all" } else { subject };
        let _ = writeln!(
            out,
            "duty {duty} about {about} holder {} fence {}",
            d.holder, d.fence
        );
    }
    if let Some(usage) = &status.usage {
        let (next, owed, dropped) = (usage.next, usage.owed, usage.dropped);
        let _ = writeln!(out, "usage next {next} owed {owed} given up {dropped}");
    }
    Ok(out)
}
