//! Command-line arguments of the report program.

use clap::{Arg, ArgAction, Command, value_parser};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Builds the parser of the command line, including the help text.
pub fn command() -> Command {
    Command::new("dogwoodhill-report")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Shows service-level burn per class, over all entries given")
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("ADDRESS")
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("Address of an entry; may be repeated"),
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Settings with a list of entries, as JSON with comments"),
        )
        .arg(
            Arg::new("format")
                .long("format")
                .value_parser(["table", "json", "html"])
                .default_value("table")
                .help("What to write to standard output"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
}
