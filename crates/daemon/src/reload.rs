//! Reloading of the settings file.
//!
//! The settings are read again on `SIGHUP` and when the modification time of the file has
//! changed. If the new settings can't be read or are invalid, the current ones remain in
//! use.

use dogwoodhill_core::diagnostic::Diagnostics;
use dogwoodhill_core::event::Event;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;

/// Interval at which the modification time of the file is polled. Settings change a few
/// times a day, and of all keys only the list of seeds is needed soon after a change.
const POLL_INTERVAL: Duration = Duration::from_secs(3);

/// Receives the settings read last; `None` until the first reload.
pub type ReloadedSettings<S> = watch::Receiver<Option<S>>;

/// Watches the settings file at `path`, and parses it with `parse` after each change.
/// `parse` gets the name of the file and its text.
pub fn watch_settings<S: Send + Sync + 'static>(
    path: PathBuf,
    parse: fn(&str, &str) -> Result<S, Diagnostics>,
) -> ReloadedSettings<S> {
    let (sender, reloaded) = watch::channel(None);
    tokio::spawn(async move {
        let mut hangup = signal(SignalKind::hangup()).ok();
        let mut last_modified = modification_time(&path);
        loop {
            let signalled = tokio::select! {
                () = wait_hangup(&mut hangup) => true,
                () = sleep(POLL_INTERVAL) => false,
            };
            let now = modification_time(&path);
            if !signalled && now == last_modified {
                continue;
            }
            last_modified = now;
            if let Some(settings) = load(&path, parse, signalled) {
                sender.send_replace(Some(settings));
            }
        }
    });
    reloaded
}

/// Waits for the next `SIGHUP`; forever if no handler could be installed.
async fn wait_hangup(hangup: &mut Option<Signal>) {
    match hangup {
        Some(hangup) => {
            hangup.recv().await;
        }
        None => std::future::pending().await,
    }
}

fn modification_time(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).ok()?.modified().ok()
}

fn load<S>(
    path: &Path,
    parse: fn(&str, &str) -> Result<S, Diagnostics>,
    signalled: bool,
) -> Option<S> {
    let file = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            Event::new("settings-unreadable")
                .field("file", &file)
                .field("error", error)
                .warn();
            return None;
        }
    };
    match parse(&file, &text) {
        Ok(settings) => {
            Event::new("settings-reloaded")
                .field("file", &file)
                .field("signal", signalled)
                .info();
            Some(settings)
        }
        Err(diagnostics) => {
            Event::new("settings-refused")
                .field("file", &file)
                .field("faults", diagnostics)
                .warn();
            None
        }
    }
}
