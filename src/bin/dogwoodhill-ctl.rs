//! The operator's command line; see [`dogwoodhill::ctl`].

use dogwoodhill::ctl::{Exit, arguments, commands};
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = arguments::command().get_matches();
    let Ok(runtime) = tokio::runtime::Runtime::new() else {
        eprintln!("can't start the runtime; raise the process limits");
        return ExitCode::from(Exit::Failed as u8);
    };
    match runtime.block_on(commands::run(&matches)) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::from(failure.exit as u8)
        }
    }
}
