//! Every role and two stand-in endpoints in one process on loopback.

use dogwoodhill::daemon::run::{EXIT_USAGE, block_on, describe, start_log};
use dogwoodhill::local::{Local, Places, SAMPLE_KEY};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

/// Port for callers.
const CALLERS: u16 = 8080;

fn main() -> ExitCode {
    start_log();
    let command = clap::Command::new("dogwoodhill-local")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs every role and two stand-in endpoints on loopback");
    if let Err(error) = command.try_get_matches() {
        let _ = error.print();
        let usage = error.use_stderr();
        return ExitCode::from(if usage { EXIT_USAGE } else { 0 });
    }
    let places = Places {
        callers: SocketAddr::from(([127, 0, 0, 1], CALLERS)),
        linger: Duration::ZERO,
    };
    block_on(|drain| async move {
        let local = Local::start(places, drain).await.map_err(describe)?;
        print_examples(local.callers);
        local.finish().await;
        Ok::<(), String>(())
    })
}

fn print_examples(callers: SocketAddr) {
    println!(
        "serving callers at {callers}. Try:\n\n\
         curl -N http://{callers}/v1/chat/completions -H 'Authorization: Bearer {SAMPLE_KEY}' \\\n  \
         -d '{{\"model\":\"chat\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'\n\n\
         curl http://{callers}/services/lookup/titles?q=harbour -H 'Authorization: Bearer {SAMPLE_KEY}'\n"
    );
}
