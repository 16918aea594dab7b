//! Simulated endpoints, load generation and experiments.

use dogwoodhill::daemon::run::{block_on, start_tool_log};
use dogwoodhill::load::{arguments, program};
use std::process::ExitCode;

fn main() -> ExitCode {
    start_tool_log();
    let matches = arguments::command().get_matches();
    block_on(|drain| async move { program::run(&matches, drain).await })
}
