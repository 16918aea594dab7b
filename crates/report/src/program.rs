//! Reading, adding up, and writing the report.

use crate::burn::{Burn, merge, row};
use crate::fetch::Entries;
use crate::page::page;
use crate::table::table;
use clap::ArgMatches;
use derive_more::Display;
use dogwoodhill_core::text::Text;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

/// Why there is no report.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Failure {
    /// The command line or the settings have faults.
    #[display("{_0}")]
    Faulty(String),
    /// No entry could be read, or the page not drawn.
    #[display("{_0}")]
    Failed(String),
}

/// Makes the report that `matches` asks for.
///
/// # Errors
///
/// [`Failure`].
pub async fn run(matches: &ArgMatches) -> Result<String, Failure> {
    let entries = entries(matches)?;
    if matches.get_flag("check") {
        return Ok("settings are valid\n".to_string());
    }
    let burn = collect(&entries).await;
    if burn.read.is_empty() {
        let text = "no entry could be read; check the addresses and the network";
        return Err(Failure::Failed(text.to_string()));
    }
    match matches.get_one::<String>("format").map(String::as_str) {
        Some("json") => serde_json::to_string_pretty(&burn)
            .map(|text| text + "\n")
            .map_err(|error| Failure::Failed(error.to_string())),
        Some("html") => page(&burn).map_err(Failure::Failed),
        _ => Ok(table(&burn)),
    }
}

fn entries(matches: &ArgMatches) -> Result<Vec<SocketAddr>, Failure> {
    let given = matches.get_many::<SocketAddr>("entry");
    let mut entries: Vec<SocketAddr> = given.into_iter().flatten().copied().collect();
    if let Some(path) = matches.get_one::<PathBuf>("settings") {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            Failure::Faulty(format!("{file}: {error}; name a readable file"))
        })?;
        let read = Text::read(&file, &text, |s| s.addresses("entries"));
        entries.extend(read.map_err(|faults| Failure::Faulty(faults.to_string()))?);
    }
    if entries.is_empty() {
        let text = "no entry is named; use --entry or --settings";
        return Err(Failure::Faulty(text.to_string()));
    }
    Ok(entries)
}

/// Reads all entries and adds them up.
pub async fn collect(entries: &[SocketAddr]) -> Burn {
    const MINUTE: u64 = 60;
    let client = Entries::default();
    let mut burn = Burn {
        minute: 0,
        read: Vec::new(),
        unread: Vec::new(),
        rows: Vec::new(),
    };
    let mut lists = Vec::new();
    for entry in entries {
        match client.rings(*entry).await {
            Some(rings) => {
                burn.read.push(entry.to_string());
                lists.push(rings);
            }
            None => burn.unread.push(entry.to_string()),
        }
    }
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    burn.minute = since.unwrap_or_default().as_secs() / MINUTE;
    burn.rows = merge(lists)
        .iter()
        .map(|ring| row(ring, burn.minute))
        .collect();
    burn
}
