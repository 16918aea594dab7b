//! Command-line arguments of `dogwoodhill-load`.

use clap::{Arg, ArgAction, Command, value_parser};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Definition of all commands and their arguments.
pub fn command() -> Command {
    Command::new("dogwoodhill-load")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Stand-in endpoints, open-loop load and measurements on loopback")
        .subcommand_required(true)
        .subcommand(
            Command::new("engine")
                .about("Runs a stand-in model engine")
                .arg(listen_argument())
                .arg(number_argument("slots", "32", "Requests that run at once"))
                .arg(number_argument(
                    "gap-ms",
                    "10",
                    "Time between tokens, alone",
                ))
                .arg(number_argument(
                    "crowd-us",
                    "500",
                    "What each further request adds to it",
                )),
        )
        .subcommand(
            Command::new("plain")
                .about("Runs a stand-in plain service")
                .arg(listen_argument())
                .arg(number_argument("work-ms", "5", "Time one call takes")),
        )
        .subcommand(
            Command::new("run")
                .about("Runs the scenarios of a file with every policy and seed")
                .arg(
                    Arg::new("file")
                        .required(true)
                        .value_parser(value_parser!(PathBuf))
                        .help("Scenarios, as JSON with comments"),
                )
                .arg(number_argument("seeds", "3", "Seeds for each scenario"))
                .arg(
                    Arg::new("only")
                        .long("only")
                        .value_name("NAME")
                        .action(ArgAction::Append)
                        .help("Only this scenario; may be repeated"),
                )
                .arg(
                    Arg::new("policy")
                        .long("policy")
                        .value_name("NAME")
                        .action(ArgAction::Append)
                        .help("Only this policy; may be repeated"),
                )
                .arg(
                    Arg::new("check")
                        .long("check")
                        .action(ArgAction::SetTrue)
                        .help("Check the file and exit"),
                ),
        )
        .subcommand(
            Command::new("latency")
                .about("Measures what entry and agent add to a direct call")
                .arg(number_argument(
                    "seconds",
                    "4",
                    "Length of each measurement",
                )),
        )
        .subcommand(
            Command::new("slopes")
                .about("Measures the slopes that docs/CAPACITY.md uses")
                .arg(
                    Arg::new("routes")
                        .long("routes")
                        .action(ArgAction::SetTrue)
                        .help("Measure route sets only"),
                ),
        )
}

fn listen_argument() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("ADDRESS")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Address to listen on")
}

fn number_argument(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u32))
        .help(help)
}
