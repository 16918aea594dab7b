//! All roles and two simulated endpoints in one process on loopback.

use dogwoodhill::daemon::run::{EXIT_USAGE, block_on, describe, start_tool_log};
use dogwoodhill::local::{LocalConfig, LocalDeployment, OPERATOR_KEY, SAMPLE_KEY};
use std::net::SocketAddr;
use std::process::ExitCode;

/// Port on which callers are served.
const CALLER_PORT: u16 = 8080;
/// Port on which operators are served.
const OPERATOR_PORT: u16 = 8081;

fn main() -> ExitCode {
    start_tool_log();
    let command = clap::Command::new("dogwoodhill-local")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs every role and two stand-in endpoints on loopback");
    if let Err(error) = command.try_get_matches() {
        let _ = error.print();
        let is_usage_error = error.use_stderr();
        return ExitCode::from(if is_usage_error { EXIT_USAGE } else { 0 });
    }
    let loopback = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let name = format!("dogwoodhill-local-{}", std::process::id());
    let config = LocalConfig {
        caller_address: loopback(CALLER_PORT),
        operator_address: loopback(OPERATOR_PORT),
        data_dir: std::env::temp_dir().join(name),
    };
    let data_dir = config.data_dir.clone();
    let code = block_on(|drain| async move {
        let local = LocalDeployment::start(config, drain)
            .await
            .map_err(describe)?;
        print_examples(local.caller_address, local.operator_address);
        local.finish().await;
        Ok::<(), String>(())
    });
    // The state of a sample deployment is not needed after it has stopped.
    let _ = std::fs::remove_dir_all(data_dir);
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
