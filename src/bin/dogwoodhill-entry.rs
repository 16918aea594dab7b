//! The entry daemon, which accepts callers' requests.

use dogwoodhill::core::diagnostic::Diagnostics;
use dogwoodhill::daemon::drain::Drain;
use dogwoodhill::daemon::run::{Daemon, describe, main as run};
use dogwoodhill::entry::{Entry, Settings};
use std::process::ExitCode;

struct Program;

impl Daemon for Program {
    const NAME: &'static str = "dogwoodhill-entry";
    const ABOUT: &'static str = "Takes callers' requests and relays their answers";
    type Settings = Settings;

    fn parse_settings(file: &str, text: &str) -> Result<Settings, Diagnostics> {
        Settings::parse(file, text)
    }

    async fn run(settings: Settings, drain: Drain) -> Result<(), String> {
        let entry = Entry::bind(settings, drain).await.map_err(describe)?;
        entry.run().await;
        Ok(())
    }
}

fn main() -> ExitCode {
    run::<Program>()
}
