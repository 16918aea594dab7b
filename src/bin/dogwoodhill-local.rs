//! Every role and two stand-in endpoints in one process on loopback.

use dogwoodhill::daemon::run::{EXIT_USAGE, block_on, describe, start_tool_log};
use dogwoodhill::local::{Local, OPERATOR_KEY, Places, SAMPLE_KEY};
use std::net::SocketAddr;
use std::process::ExitCode;

/// Port for callers.
const CALLERS: u16 = 8080;
/// Port for operators.
const OPERATORS: u16 = 8081;

fn main() -> ExitCode {
    start_tool_log();
    let command = clap::Command::new("dogwoodhill-local")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs every role and two stand-in endpoints on loopback");
    if let Err(error) = command.try_get_matches() {
        let _ = error.print();
        let usage = error.use_stderr();
        return ExitCode::from(if usage { EXIT_USAGE } else { 0 });
    }
    let loopback = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let data = format!("dogwoodhill-local-{}", std::process::id());
    let places = Places {
        callers: loopback(CALLERS),
        operators: loopback(OPERATORS),
        data: std::env::temp_dir().join(data),
    };
    let data = places.data.clone();
    let code = block_on(|drain| async move {
        let local = Local::start(places, drain).await.map_err(describe)?;
        print_examples(local.callers, local.operators);
        local.finish().await;
        Ok::<(), String>(())
    });
    // State of a sample is of no use once it stopped.
    let _ = std::fs::remove_dir_all(data);
    code
}

fn print_examples(callers: SocketAddr, operators: SocketAddr) {
    println!(
        "serving callers at {callers} and operators at {operators}. Try:\n\n\
         curl -N http://{callers}/v1/chat/completions -H 'Authorization: Bearer {SAMPLE_KEY}' \\\n  \
         -d '{{\"model\":\"chat\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'\n\n\
         curl http://{callers}/services/lookup/titles?q=harbour -H 'Authorization: Bearer {SAMPLE_KEY}'\n\n\
         curl -X POST http://{callers}/services/lookup/vouchers -H 'Authorization: Bearer {SAMPLE_KEY}' \\\n  \
         -H 'Idempotency-Key: seat-1' -d 'one basket seat'\n\n\
         curl http://{operators}/v1/services/chat -H 'Authorization: Bearer {OPERATOR_KEY}'\n"
    );
}
