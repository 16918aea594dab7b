//! The agent daemon, which runs beside one endpoint.

use dogwoodhill::agent::{Agent, Settings};
use dogwoodhill::core::diagnostic::Diagnostics;
use dogwoodhill::daemon::drain::Drain;
use dogwoodhill::daemon::run::{Daemon, describe, main as run};
use std::process::ExitCode;

struct Program;

impl Daemon for Program {
    const NAME: &'static str = "dogwoodhill-agent";
    const ABOUT: &'static str = "Starts, refuses and relays requests of one endpoint";
    type Settings = Settings;

    fn parse_settings(file: &str, text: &str) -> Result<Settings, Diagnostics> {
        Settings::parse(file, text)
    }

    async fn run(settings: Settings, drain: Drain) -> Result<(), String> {
        let agent = Agent::bind(settings, drain).await.map_err(describe)?;
        agent.run().await;
        Ok(())
    }
}

fn main() -> ExitCode {
    run::<Program>()
}
