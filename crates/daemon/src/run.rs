//! The `main` function of the daemons: command line, logging, runtime and signals.

use crate::drain::Drain;
use crate::log_queue::{self, LogQueue};
use crate::reload::{self, ReloadedSettings};
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
/// Environment variable with the log filter, in the syntax of `env_logger`.
const LOG_VARIABLE: &str = "DOGWOODHILL_LOG";
/// Log filter if the variable is not set.
const DEFAULT_LOG_FILTER: &str = "info";

/// A daemon that [`main`] can run.
pub trait Daemon: Sized {
    /// Name of the program in its usage text.
    const NAME: &'static str;
    /// One line for `--help`.
    const ABOUT: &'static str;
    /// Settings of the daemon, parsed from the settings file.
    type Settings: Send + Sync + 'static;

    /// Parses `text`; diagnostics refer to it as `file`.
    ///
    /// # Errors
    ///
    /// All diagnostics of the text, not only the first.
    fn parse_settings(file: &str, text: &str) -> Result<Self::Settings, Diagnostics>;

    /// Adds the daemon's own arguments to the command line.
    fn arguments(command: Command) -> Command {
        command
    }

    /// Applies the daemon's own arguments to the settings.
    fn apply_arguments(_settings: &mut Self::Settings, _matches: &ArgMatches) {}

    /// Runs until the drain is complete; an error is printed and ends the program with
    /// [`EXIT_FAILURE`].
    fn run(
        settings: Self::Settings,
        drain: Drain,
    ) -> impl Future<Output = Result<(), String>> + Send;

    /// Like [`Daemon::run`], and applies reloaded settings while it runs. By default the
    /// settings at start remain in use.
    fn run_with_reload(
        settings: Self::Settings,
        drain: Drain,
        _reloaded: ReloadedSettings<Self::Settings>,
    ) -> impl Future<Output = Result<(), String>> + Send {
        Self::run(settings, drain)
    }
}

/// Arguments common to all daemons: `--settings` and `--check`.
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

/// Parses the command line, reads the settings, and runs the daemon until it has drained
/// or failed. Exits with [`EXIT_USAGE`] on faulty settings.
pub fn main<D: Daemon>() -> ExitCode {
    start_log();
    let matches = D::arguments(command(D::NAME, D::ABOUT)).get_matches();
    let mut settings = match read_settings::<D>(&matches) {
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
    D::apply_arguments(&mut settings, &matches);
    let path = settings_path(&matches);
    block_on(move |drain| async move {
        let reloaded = reload::watch_settings(path, D::parse_settings);
        D::run_with_reload(settings, drain, reloaded).await
    })
}

fn settings_path(matches: &ArgMatches) -> PathBuf {
    let path = matches.get_one::<PathBuf>("settings");
    path.expect("clap requires it").clone()
}

fn read_settings<D: Daemon>(matches: &ArgMatches) -> Result<D::Settings, String> {
    let path = settings_path(matches);
    let file = path.display().to_string();
    let text = std::fs::read_to_string(&path).map_err(|error| {
        format!("{file}: {error}; name a readable file of UTF-8 text")
    })?;
    D::parse_settings(&file, &text).map_err(|diagnostics| diagnostics.to_string())
}

/// A runtime with one worker thread per processor. On a single processor it runs on the
/// current thread, which avoids switches between threads.
fn runtime() -> std::io::Result<Runtime> {
    let processors = std::thread::available_parallelism().map_or(1, usize::from);
    let mut builder = match processors {
        1 => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    builder.enable_all().build()
}

/// Runs `work` on a new runtime. Its drain begins on `SIGTERM` or `SIGINT`; a second
/// signal exits the process at once. An error of `work` is printed to standard error.
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
    runtime.spawn(handle_signals(drain.clone()));
    let result = runtime.block_on(work(drain));
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_FAILURE)
        }
    };
    log_queue::flush();
    code
}

async fn handle_signals(drain: Drain) {
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
        if drain.has_begun() {
            Event::new("stopped-by-second-signal").warn();
            std::process::exit(EXIT_FAILURE.into());
        }
        Event::new("drain-begun").info();
        drain.begin();
    }
}

/// Sets up logging of a daemon: one line per event on standard output, written by a
/// separate thread so that a slow reader blocks no task.
pub fn start_log() {
    log_to(std::io::stdout());
}

/// Sets up logging of a tool that prints its results to standard output: log lines go to
/// standard error.
pub fn start_tool_log() {
    log_to(std::io::stderr());
}

fn log_to(out: impl Write + Send + 'static) {
    let environment = env_logger::Env::new().filter_or(LOG_VARIABLE, DEFAULT_LOG_FILTER);
    let queue = LogQueue::start(out);
    let _ = env_logger::Builder::from_env(environment)
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .write_style(env_logger::WriteStyle::Never)
        .format(|out, record| {
            let time = std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default();
            let level = record.level().as_str().to_ascii_lowercase();
            writeln!(
                out,
                "time={}.{:03} level={level} {}",
                time.as_secs(),
                time.subsec_millis(),
                record.args()
            )
        })
        .try_init();
}

/// Formats `error` with `{:#}`, which includes the causes of an `error_stack::Report` on
/// one line.
pub fn describe(error: impl Display) -> String {
    format!("{error:#}")
}
