//! The `main` of every daemon.

use crate::drain::Drain;
use crate::log_queue::{self, LogQueue};
use crate::reload::{self, Changed};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use dogwoodhill_core::diagnostic::Diagnostics;
use dogwoodhill_core::event::Event;
use std::fmt::Display;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for a usage or settings error.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for a failure at run time.
pub const EXIT_FAILURE: u8 = 1;
/// Environment variable that sets log levels.
const LOG_VARIABLE: &str = "DOGWOODHILL_LOG";
/// Log levels where the variable is not set.
const LOG_DEFAULT: &str = "info";

/// A daemon that a program can start.
pub trait Daemon: Sized {
    /// Name of the program.
    const NAME: &'static str;
    /// One line for `--help`.
    const ABOUT: &'static str;
    /// Its settings.
    type Settings: Send + Sync + 'static;

    /// Reads settings from text; `file` names it in messages.
    ///
    /// # Errors
    ///
    /// Every fault in the text.
    fn settings(file: &str, text: &str) -> Result<Self::Settings, Diagnostics>;

    /// Adds arguments of its own to the command line.
    fn arguments(command: Command) -> Command {
        command
    }

    /// Takes its own arguments into the settings.
    fn adjust(_settings: &mut Self::Settings, _matches: &ArgMatches) {}

    /// Runs until the drain is complete.
    fn run(
        settings: Self::Settings,
        drain: Drain,
    ) -> impl Future<Output = Result<(), String>> + Send;

    /// Runs like [`Daemon::run`] and follows changes of the settings. A daemon
    /// that does not override it keeps the settings it started with.
    fn run_reloading(
        settings: Self::Settings,
        drain: Drain,
        _changed: Changed<Self::Settings>,
    ) -> impl Future<Output = Result<(), String>> + Send {
        Self::run(settings, drain)
    }
}

/// Command line shared by all daemons.
pub fn command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .version(env!("CARGO_PKG_VERSION"))
        .about(about)
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("Settings, as JSON with comments"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
}

/// Runs a daemon as a program.
pub fn main<D: Daemon>() -> ExitCode {
    start_log();
    let matches = D::arguments(command(D::NAME, D::ABOUT)).get_matches();
    let mut settings = match read::<D>(&matches) {
        Ok(settings) => settings,
        Err(text) => {
            eprintln!("{text}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if matches.get_flag("check") {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    D::adjust(&mut settings, &matches);
    let path = settings_path(&matches);
    block_on(move |drain| async move {
        let changed = reload::follow(path, D::settings);
        D::run_reloading(settings, drain, changed).await
    })
}

fn settings_path(matches: &ArgMatches) -> PathBuf {
    let path = matches.get_one::<PathBuf>("settings");
    path.expect("clap requires it").clone()
}

fn read<D: Daemon>(matches: &ArgMatches) -> Result<D::Settings, String> {
    let path = settings_path(matches);
    let file = path.display().to_string();
    let text = std::fs::read_to_string(&path).map_err(|error| {
        format!("{file}: {error}; name a readable file of UTF-8 text")
    })?;
    D::settings(&file, &text).map_err(|faults| faults.to_string())
}

/// A runtime with a thread for each processor. On one processor a single
/// thread does all, which saves the switches between threads.
fn runtime() -> std::io::Result<Runtime> {
    let processors = std::thread::available_parallelism().map_or(1, usize::from);
    let mut builder = match processors {
        1 => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    builder.enable_all().build()
}

/// Runs `work` on a runtime with a drain that signals begin; a second signal
/// ends the process at once.
pub fn block_on<W, F, E>(work: W) -> ExitCode
where
    W: FnOnce(Drain) -> F,
    F: Future<Output = Result<(), E>>,
    E: std::fmt::Display,
{
    let runtime = match runtime() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("can't start the runtime: {error}; raise the process limits");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    let drain = Drain::default();
    runtime.spawn(follow_signals(drain.clone()));
    let ended = runtime.block_on(work(drain));
    let code = match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_FAILURE)
        }
    };
    log_queue::finish();
    code
}

async fn follow_signals(drain: Drain) {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        Event::new("signals-unavailable").error();
        return;
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        if drain.begun() {
            Event::new("stopped-by-second-signal").warn();
            std::process::exit(EXIT_FAILURE.into());
        }
        Event::new("drain-begun").info();
        drain.begin();
    }
}

/// Sets up logging of a daemon: one line for each event on standard output,
/// written by a thread of its own so that nobody waits for a reader.
pub fn start_log() {
    log_to(std::io::stdout());
}

/// Sets up logging of a tool that prints its results: the lines go to standard
/// error.
pub fn start_tool_log() {
    log_to(std::io::stderr());
}

fn log_to(out: impl Write + Send + 'static) {
    let environment = env_logger::Env::new().filter_or(LOG_VARIABLE, LOG_DEFAULT);
    let queue = LogQueue::start(out);
    let _ = env_logger::Builder::from_env(environment)
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .write_style(env_logger::WriteStyle::Never)
        .format(|out, record| {
            let at = std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default();
            let level = record.level().as_str().to_ascii_lowercase();
            writeln!(
                out,
                "time={}.{:03} level={level} {}",
                at.as_secs(),
                at.subsec_millis(),
                record.args()
            )
        })
        .try_init();
}

/// Turns an error with its causes into the line a program prints.
pub fn describe(error: impl Display) -> String {
    format!("{error:#}")
}
