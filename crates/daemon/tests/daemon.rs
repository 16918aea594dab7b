//! The log queue under an output that is not read, and reloading of settings.

use dogwoodhill_daemon::log_queue::LogQueue;
use dogwoodhill_daemon::reload;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An output that blocks like a full pipe until it is released.
struct BlockedOutput {
    release: Receiver<()>,
    text: Arc<Mutex<Vec<u8>>>,
    released: bool,
}

impl BlockedOutput {
    fn new() -> (Self, Sender<()>, Arc<Mutex<Vec<u8>>>) {
        let (sender, release) = channel();
        let text = Arc::new(Mutex::new(Vec::new()));
        let output = Self {
            release,
            text: Arc::clone(&text),
            released: false,
        };
        (output, sender, text)
    }
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.released {
            self.released = self.release.recv().is_ok();
        }
        self.text.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn text(out: &Arc<Mutex<Vec<u8>>>) -> String {
    String::from_utf8_lossy(&out.lock().unwrap()).into_owned()
}

fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(30);
    while !done() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn log_queue_blocked_output_drops_and_reports() {
    let (output, release, out) = BlockedOutput::new();
    let mut queue = LogQueue::start(output);
    // A write that blocked would hang the test, as the output is not released yet.
    for i in 0..5_000 {
        let line = format!("time=1.000 level=info event=e number={i}\n");
        assert_eq!(queue.write(line.as_bytes()).unwrap(), line.len());
    }
    release.send(()).unwrap();
    wait_until("the first lines are written", || {
        text(&out).contains("number=0\n")
    });
    // The budget of the next window admits lines again.
    wait_until("the number of dropped lines is logged", || {
        let _ = queue.write(b"time=2.000 level=warn event=later\n");
        std::thread::sleep(Duration::from_millis(200));
        text(&out).contains("event=log-lines-dropped count=")
    });
    assert!(text(&out).lines().count() < 2_000, "the volume is bounded");
}

#[test]
fn log_queue_reserves_budget_for_errors() {
    let (output, release, out) = BlockedOutput::new();
    release.send(()).unwrap();
    let mut queue = LogQueue::start(output);
    for _ in 0..2_000 {
        queue
            .write_all(b"time=1.000 level=info event=usual\n")
            .unwrap();
    }
    queue
        .write_all(b"time=1.000 level=error event=rare\n")
        .unwrap();
    wait_until("the error is written", || text(&out).contains("event=rare"));
}

#[tokio::test]
async fn watch_settings_ignores_invalid_text() {
    let path =
        std::env::temp_dir().join(format!("dogwoodhill-reload-{}", std::process::id()));
    let write = |text: &str, second: u64| {
        std::fs::write(&path, text).unwrap();
        let file = std::fs::File::options().write(true).open(&path).unwrap();
        // Explicit modification times, so that they differ however close the writes are.
        let time = std::time::UNIX_EPOCH + Duration::from_secs(second);
        file.set_modified(time).unwrap();
    };
    write("{\"number\": 1}", 1_000);
    let parse = |file: &str, text: &str| {
        dogwoodhill_core::text::Text::read(file, text, |s| s.count("number", 0..=9, None))
    };
    let mut reloaded = reload::watch_settings(path.clone(), parse);
    write("{\"number\": broken", 2_000);
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert!(reloaded.borrow().is_none(), "invalid settings are ignored");
    write("{\"number\": 7}", 3_000);
    tokio::time::timeout(Duration::from_secs(30), reloaded.changed())
        .await
        .expect("the change is seen")
        .unwrap();
    assert_eq!(*reloaded.borrow(), Some(7));
    std::fs::remove_file(path).unwrap();
}
