//! Prints the report on the burn rate of service-level objectives.

use dogwoodhill::daemon::run::{EXIT_FAILURE, EXIT_USAGE};
use dogwoodhill::report::arguments;
use dogwoodhill::report::program::{ReportError, run};
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = arguments::command().get_matches();
    let Ok(runtime) = tokio::runtime::Runtime::new() else {
        eprintln!("can't start the runtime; raise the process limits");
        return ExitCode::from(EXIT_FAILURE);
    };
    match runtime.block_on(run(&matches)) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(match error {
                ReportError::InvalidInput(_) => EXIT_USAGE,
                ReportError::Failed(_) => EXIT_FAILURE,
            })
        }
    }
}
