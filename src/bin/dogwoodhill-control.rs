//! The control daemon, which replicates service documents, claims and leases.

use clap::{Arg, ArgAction, ArgMatches, Command};
use dogwoodhill::control::settings::Start;
use dogwoodhill::control::{Control, Settings};
use dogwoodhill::core::diagnostic::Diagnostics;
use dogwoodhill::daemon::drain::Drain;
use dogwoodhill::daemon::run::{Daemon, describe, main as run};
use std::process::ExitCode;

struct Program;

impl Daemon for Program {
    const NAME: &'static str = "dogwoodhill-control";
    const ABOUT: &'static str = "Keeps service documents, claims and leases";
    type Settings = Settings;

    fn parse_settings(file: &str, text: &str) -> Result<Settings, Diagnostics> {
        Settings::parse(file, text)
    }

    fn arguments(command: Command) -> Command {
        let bootstrap = Arg::new("bootstrap")
            .long("bootstrap")
            .action(ArgAction::SetTrue)
            .conflicts_with("join")
            .help("Found a new cluster with this instance; only ever once");
        let join = Arg::new("join")
            .long("join")
            .action(ArgAction::SetTrue)
            .help("Join the peers' cluster if the data folder holds no state");
        command.arg(bootstrap).arg(join)
    }

    fn apply_arguments(settings: &mut Settings, matches: &ArgMatches) {
        if matches.get_flag("bootstrap") {
            settings.start = Start::Bootstrap;
        }
        if matches.get_flag("join") {
            settings.start = Start::Join;
        }
    }

    async fn run(settings: Settings, drain: Drain) -> Result<(), String> {
        let control = Control::bind(settings, drain).await.map_err(describe)?;
        control.run().await
    }
}

fn main() -> ExitCode {
    run::<Program>()
}
