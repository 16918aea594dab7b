//! Following the settings file.
//!
//! A daemon reads its settings anew on `SIGHUP`, and when the file changed
//! without a signal. Settings that can't be read leave the ones in force.

use dogwoodhill_core::diagnostic::Diagnostics;
use dogwoodhill_core::event::Event;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;

/// Interval at which the file's time of change is looked at. Settings change a
/// few times a day, and nothing waits for them but the list of seeds.
const INTERVAL: Duration = Duration::from_secs(3);

/// Settings as they were read last; `None` until they changed.
pub type Changed<S> = watch::Receiver<Option<S>>;

/// Follows `path`, which `read` understands.
pub fn follow<S: Send + Sync + 'static>(
    path: PathBuf,
    read: fn(&str, &str) -> Result<S, Diagnostics>,
) -> Changed<S> {
    let (sender, changed) = watch::channel(None);
    tokio::spawn(async move {
        let mut hangup = signal(SignalKind::hangup()).ok();
        let mut seen = modified(&path);
        loop {
            let signalled = tokio::select! {
                () = received(&mut hangup) => true,
                () = sleep(INTERVAL) => false,
            };
            let now = modified(&path);
            if !signalled && now == seen {
                continue;
            }
            seen = now;
            if let Some(settings) = load(&path, read, signalled) {
                sender.send_replace(Some(settings));
            }
        }
    });
    changed
}

/// Ends when the signal came; never where it can't be listened for.
async fn received(hangup: &mut Option<Signal>) {
    match hangup {
        Some(hangup) => {
            hangup.recv().await;
        }
        None => std::future::pending().await,
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).ok()?.modified().ok()
}

fn load<S>(
    path: &Path,
    read: fn(&str, &str) -> Result<S, Diagnostics>,
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
    match read(&file, &text) {
        Ok(settings) => {
            Event::new("settings-reloaded")
                .field("file", &file)
                .field("signal", signalled)
                .info();
            Some(settings)
        }
        Err(faults) => {
            Event::new("settings-refused")
                .field("file", &file)
                .field("faults", faults)
                .warn();
            None
        }
    }
}
