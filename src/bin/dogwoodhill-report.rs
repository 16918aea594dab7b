//! The report on service-level burn.

use dogwoodhill::daemon::run::{EXIT_FAILURE, EXIT_USAGE};
use dogwoodhill::report::arguments;
use dogwoodhill::report::program::{Failure, run};
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
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::from(match failure {
                Failure::Faulty(_) => EXIT_USAGE,
                Failure::Failed(_) => EXIT_FAILURE,
            })
        }
    }
}
