//! Runs the report: reads the settings and the entries, and renders the result.

use crate::burn::{BurnReport, merge, row};
use crate::fetch::EntryClient;
use crate::page::render_page;
use crate::table::render_table;
use clap::ArgMatches;
use derive_more::Display;
use dogwoodhill_core::text::Text;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

/// Why no report was written; the text is printed to standard error.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ReportError {
    /// Invalid command line or settings.
    #[display("{_0}")]
    InvalidInput(String),
    /// No entry could be read, or the report could not be rendered.
    #[display("{_0}")]
    Failed(String),
}

/// Makes the report that the arguments in `matches` select, and returns its text. With
/// `--check` only the settings are read.
///
/// # Errors
///
/// [`ReportError`] if the arguments are invalid, if not a single entry can be read, or if
/// rendering fails.
pub async fn run(matches: &ArgMatches) -> Result<String, ReportError> {
    let entries = entry_addresses(matches)?;
    if matches.get_flag("check") {
        return Ok("settings are valid\n".to_string());
    }
    let report = collect(&entries).await;
    if report.read.is_empty() {
        let text = "no entry could be read; check the addresses and the network";
        return Err(ReportError::Failed(text.to_string()));
    }
    match matches.get_one::<String>("format").map(String::as_str) {
        Some("json") => serde_json::to_string_pretty(&report)
            .map(|text| text + "\n")
            .map_err(|error| ReportError::Failed(error.to_string())),
        Some("html") => render_page(&report).map_err(ReportError::Failed),
        _ => Ok(render_table(&report)),
    }
}

fn entry_addresses(matches: &ArgMatches) -> Result<Vec<SocketAddr>, ReportError> {
    let arguments = matches.get_many::<SocketAddr>("entry");
    let mut entries: Vec<SocketAddr> = arguments.into_iter().flatten().copied().collect();
    if let Some(path) = matches.get_one::<PathBuf>("settings") {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            ReportError::InvalidInput(format!("{file}: {error}; name a readable file"))
        })?;
        let listed = Text::read(&file, &text, |s| s.addresses("entries"));
        entries.extend(
            listed.map_err(|diagnostics| {
                ReportError::InvalidInput(diagnostics.to_string())
            })?,
        );
    }
    if entries.is_empty() {
        let text = "no entry is named; use --entry or --settings";
        return Err(ReportError::InvalidInput(text.to_string()));
    }
    Ok(entries)
}

/// Reads the counts of all `entries`, one after the other, and merges them into a report.
pub async fn collect(entries: &[SocketAddr]) -> BurnReport {
    const SECONDS_PER_MINUTE: u64 = 60;
    let client = EntryClient::default();
    let mut report = BurnReport {
        minute: 0,
        read: Vec::new(),
        unread: Vec::new(),
        rows: Vec::new(),
    };
    let mut ring_lists = Vec::new();
    for entry in entries {
        match client.rings(*entry).await {
            Some(rings) => {
                report.read.push(entry.to_string());
                ring_lists.push(rings);
            }
            None => report.unread.push(entry.to_string()),
        }
    }
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    report.minute = since_epoch.unwrap_or_default().as_secs() / SECONDS_PER_MINUTE;
    report.rows = merge(ring_lists)
        .iter()
        .map(|ring| row(ring, report.minute))
        .collect();
    report
}
