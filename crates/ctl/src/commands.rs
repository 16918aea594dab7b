//! Implementation of the commands. Each returns the text to print.

use crate::client::OperatorClient;
use crate::settings::Settings;
use crate::summary::{Selection, summarize};
use crate::trace::trace;
use crate::{CommandError, Exit};
use clap::ArgMatches;
use dogwoodhill_control::operators::{Accepted, HistoryItem, Status};
use dogwoodhill_core::keys::KeyHash;
use dogwoodhill_core::prelude::*;
use http::Method;
use similar::TextDiff;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Environment variable with the operator's key.
const KEY_VARIABLE: &str = "DOGWOODHILL_KEY";
/// Unchanged lines shown around each change of a diff.
const DIFF_CONTEXT_LINES: usize = 3;

/// Runs the subcommand in `matches` and returns the text to print.
///
/// # Errors
///
/// [`CommandError`] with the exit code of the process.
pub async fn run(matches: &ArgMatches) -> Result<String, CommandError> {
    match matches.subcommand() {
        Some(("check", sub)) => check(sub),
        Some(("hash", _)) => hash(),
        Some(("trace", sub)) => trace_request(sub),
        Some(("summary", sub)) => summary(sub),
        Some(("apply", sub)) => apply(&operator_client(matches)?, sub).await,
        Some(("get", sub)) => get(&operator_client(matches)?, sub).await,
        Some(("history", sub)) => history(&operator_client(matches)?, sub).await,
        Some(("status", _)) => status(&operator_client(matches)?).await,
        _ => Err(CommandError::new(
            Exit::InvalidInput,
            "name a command; see --help",
        )),
    }
}

fn trace_request(sub: &ArgMatches) -> Result<String, CommandError> {
    let id = sub.get_one::<String>("request").expect("clap requires it");
    trace(id, &read_logs(sub)?)
}

fn summary(sub: &ArgMatches) -> Result<String, CommandError> {
    let selection = Selection {
        service: sub.get_one("service").cloned(),
        workspace: sub.get_one("workspace").cloned(),
    };
    summarize(&selection, &read_logs(sub)?)
}

/// Names and texts of the log files named on the command line.
fn read_logs(sub: &ArgMatches) -> Result<Vec<(String, String)>, CommandError> {
    let paths = sub.get_many::<PathBuf>("log").expect("clap requires it");
    paths
        .map(|path| Ok((path.display().to_string(), read_file(path)?)))
        .collect()
}

fn operator_client(matches: &ArgMatches) -> Result<OperatorClient, CommandError> {
    let mut settings = match matches.get_one::<PathBuf>("settings") {
        Some(path) => {
            let text = read_file(path)?;
            let parsed = Settings::parse(&path.display().to_string(), &text);
            parsed.map_err(|diagnostics| {
                CommandError::new(Exit::InvalidInput, diagnostics.to_string())
            })?
        }
        None => Settings::default(),
    };
    if let Some(addresses) = matches.get_many::<SocketAddr>("control") {
        settings.control = addresses.copied().collect();
    }
    if settings.control.is_empty() {
        let text = "no control instance is named; use --control or --settings";
        return Err(CommandError::new(Exit::InvalidInput, text));
    }
    Ok(OperatorClient::new(
        settings.control.clone(),
        operator_key(&settings)?,
    ))
}

fn operator_key(settings: &Settings) -> Result<String, CommandError> {
    if let Ok(key) = std::env::var(KEY_VARIABLE) {
        return Ok(key);
    }
    match &settings.key_file {
        Some(path) => Ok(read_file(path)?.trim().to_string()),
        None => {
            let text = format!("no key; set {KEY_VARIABLE} or key_file in the settings");
            Err(CommandError::new(Exit::InvalidInput, text))
        }
    }
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| {
        let text = format!("{}: {error}; name a readable file", path.display());
        CommandError::new(Exit::InvalidInput, text)
    })
}

fn parse_document(path: &Path, text: &str) -> Result<ServiceDocument, CommandError> {
    let parsed = ServiceDocument::parse(&path.display().to_string(), text);
    parsed.map_err(|diagnostics| {
        CommandError::new(Exit::InvalidInput, diagnostics.to_string())
    })
}

fn file_argument(matches: &ArgMatches) -> &PathBuf {
    matches.get_one("file").expect("clap requires it")
}

fn service_argument(matches: &ArgMatches) -> &String {
    matches.get_one("service").expect("clap requires it")
}

fn check(matches: &ArgMatches) -> Result<String, CommandError> {
    let mut out = String::new();
    let mut errors = String::new();
    for path in matches.get_many::<PathBuf>("file").into_iter().flatten() {
        match read_file(path).and_then(|text| parse_document(path, &text)) {
            Ok(document) => {
                let (name, version) = (&document.service, document.version);
                let _ = writeln!(
                    out,
                    "{}: {name} version {version} is valid",
                    path.display()
                );
            }
            Err(error) => {
                let _ = writeln!(errors, "{error}");
            }
        }
    }
    if errors.is_empty() {
        return Ok(out);
    }
    Err(CommandError::new(Exit::InvalidInput, errors.trim_end()))
}

fn hash() -> Result<String, CommandError> {
    let mut key = String::new();
    let result = std::io::stdin().read_line(&mut key);
    if result.is_err() || key.trim().is_empty() {
        let text = "no key on standard input; write one line";
        return Err(CommandError::new(Exit::InvalidInput, text));
    }
    Ok(format!("{}\n", KeyHash::of(key.trim()).text()))
}

async fn apply(
    operator: &OperatorClient,
    matches: &ArgMatches,
) -> Result<String, CommandError> {
    let path = file_argument(matches);
    let text = read_file(path)?;
    let document = parse_document(path, &text)?;
    let target = format!("/v1/services/{}", document.service);
    if matches.get_flag("dry-run") {
        let current = current_text(operator, &target).await?;
        return Ok(render_diff(&document, current.as_deref(), &text));
    }
    let body = operator.call(Method::PUT, &target, &text).await?;
    let parsed = serde_json::from_slice::<Accepted>(&body);
    let Accepted { accepted } = parsed.map_err(|error| {
        let text = format!("unreadable answer: {error}; apply again to be sure");
        CommandError::new(Exit::Unconfirmed, text)
    })?;
    Ok(format!(
        "{} version {} is in force at revision {}\n",
        accepted.service, accepted.version, accepted.revision
    ))
}

/// Fetches the text of the document in force; `None` for a new service.
async fn current_text(
    operator: &OperatorClient,
    target: &str,
) -> Result<Option<String>, CommandError> {
    match operator.call(Method::GET, target, "").await {
        Ok(body) => Ok(Some(String::from_utf8_lossy(&body).into_owned())),
        Err(error) if error.text.contains("there is no service") => Ok(None),
        Err(error) => Err(error),
    }
}

/// Describes what `apply` would change, as a unified diff if the service exists.
fn render_diff(document: &ServiceDocument, current: Option<&str>, text: &str) -> String {
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
        .context_radius(DIFF_CONTEXT_LINES)
        .header(&from, &to)
        .to_string()
}

async fn get(
    operator: &OperatorClient,
    matches: &ArgMatches,
) -> Result<String, CommandError> {
    let target = format!("/v1/services/{}", service_argument(matches));
    let body = operator.call(Method::GET, &target, "").await?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

async fn history(
    operator: &OperatorClient,
    matches: &ArgMatches,
) -> Result<String, CommandError> {
    let target = format!("/v1/services/{}/history", service_argument(matches));
    let items: Vec<HistoryItem> = operator.get(&target).await?;
    let mut out = String::from("version  revision  team\n");
    for HistoryItem { accepted, .. } in items {
        let (version, revision) = (accepted.version, accepted.revision);
        let _ = writeln!(out, "{version:>7}  {revision:>8}  {}", accepted.team);
    }
    Ok(out)
}

async fn status(operator: &OperatorClient) -> Result<String, CommandError> {
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
        let subject = if subject.is_empty() { "all" } else { subject };
        let _ = writeln!(
            out,
            "duty {duty} about {subject} holder {} fence {}",
            d.holder, d.fence
        );
    }
    if let Some(usage) = &status.usage {
        let (next, owed, dropped) = (usage.next, usage.owed, usage.dropped);
        let _ = writeln!(out, "usage next {next} owed {owed} given up {dropped}");
    }
    Ok(out)
}
