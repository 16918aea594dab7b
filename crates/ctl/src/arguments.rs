//! Command-line arguments of the operator's program.

use clap::{Arg, ArgAction, ArgGroup, Command, value_parser};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Builds the parser of the command line with its subcommands and help texts.
pub fn command() -> Command {
    Command::new("dogwoodhill-ctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Checks and applies service documents, and shows what is in force")
        .after_help(
            "Exit codes: 0 done, 1 failed, 2 faulty input, 3 conflict, \
             4 forbidden, 5 not confirmed",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Settings with control and key_file, as JSON with comments"),
        )
        .arg(
            Arg::new("control")
                .long("control")
                .value_name("ADDRESS")
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("Operators' address of a control instance; may be repeated"),
        )
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Checks documents without applying them")
                .arg(files()),
        )
        .subcommand(
            Command::new("apply")
                .about("Puts a document in force")
                .arg(file())
                .arg(
                    Arg::new("dry-run")
                        .long("dry-run")
                        .action(ArgAction::SetTrue)
                        .help("Only show what would change"),
                ),
        )
        .subcommand(
            Command::new("get")
                .about("Prints the document in force")
                .arg(service()),
        )
        .subcommand(
            Command::new("history")
                .about("Lists the accepted versions")
                .arg(service()),
        )
        .subcommand(Command::new("status").about("Shows instances and services"))
        .subcommand(
            Command::new("trace")
                .about("Shows what logs say of one request, and why it ended so")
                .arg(
                    Arg::new("request")
                        .value_name("ID")
                        .required(true)
                        .help("Id of the request, as its caller has it"),
                )
                .arg(logs()),
        )
        .subcommand(
            Command::new("summary")
                .about("Counts a service's or a workspace's requests in logs")
                .arg(selector("service", "Only requests to this service"))
                .arg(selector("workspace", "Only requests of this workspace"))
                .group(
                    ArgGroup::new("selection")
                        .args(["service", "workspace"])
                        .required(true)
                        .multiple(true),
                )
                .arg(logs()),
        )
        .subcommand(
            Command::new("hash")
                .about("Reads a key from standard input, prints its hash"),
        )
}

fn file() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Document, as JSON with comments")
}

fn files() -> Arg {
    file().num_args(1..)
}

fn logs() -> Arg {
    Arg::new("log")
        .value_name("LOG")
        .required(true)
        .num_args(1..)
        .value_parser(value_parser!(PathBuf))
        .help("Standard output of a process, in a file")
}

fn selector(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("NAME").help(help)
}

fn service() -> Arg {
    Arg::new("service")
        .value_name("SERVICE")
        .required(true)
        .help("Name of the service")
}
