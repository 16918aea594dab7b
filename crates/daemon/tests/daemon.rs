//! Log lines that nobody reads, and settings that change.

use dogwoodhill_daemon::log_queue::LogQueue;
use dogwoodhill_daemon::reload;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An output that blocks until it is released, as a full pipe does.
struct Stuck {
    release: Receiver<()>,
    text: Arc<Mutex<Vec<u8>>>,
    free: bool,
}

impl Stuck {
    fn new() -> (Self, Sender<()>, Arc<Mutex<Vec<u8>>>) {
        let (sender, release) = channel();
        let text = Arc::new(Mutex::new(Vec::new()));
        let stuck = Self {
            release,
            text: Arc::clone(&text),
            free: false,
        };
        (stuck, sender, text)
    }
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.free {
            self.free = self.release.recv().is_ok();
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

fn until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(30);
    while !done() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn write_never_blocks_and_tells_what_was_dropped() {
    let (stuck, release, out) = Stuck::new();
    let mut queue = LogQueue::start(stuck);
    // Were this to block, the test would hang: nobody releases the output.
    for i in 0..5_000 {
        let line = format!("time=1.000 level=info event=e number={i}\n");
        assert_eq!(queue.write(line.as_bytes()).unwrap(), line.len());
    }
    release.send(()).unwrap();
    until("the first lines are written", || {
        text(&out).contains("number=0\n")
    });
    // The next second's budget has room again.
    until("what was dropped is told", || {
        let _ = queue.write(b"time=2.000 level=warn event=later\n");
        std::thread::sleep(Duration::from_millis(200));
        text(&out).contains("event=log-lines-dropped count=")
    });
    assert!(text(&out).lines().count() < 2_000, "the volume is bounded");
}

#[test]
fn write_keeps_room_for_warnings() {
    let (stuck, release, out) = Stuck::new();
    release.send(()).unwrap();
    let mut queue = LogQueue::start(stuck);
    for _ in 0..2_000 {
        queue
            .write_all(b"time=1.000 level=info event=usual\n")
            .unwrap();
    }
    queue
        .write_all(b"time=1.000 level=error event=rare\n")
        .unwrap();
    until("the error is written", || text(&out).contains("event=rare"));
}

#[tokio::test]
async fn follow_takes_readable_changes_only() {
    let path =
        std::env::temp_dir().join(format!("dogwoodhill-reload-{}", std::process::id()));
    let write = |text: &str, second: u64| {
        std::fs::write(&path, text).unwrap();
        let file = std::fs::File::options().write(true).open(&path).unwrap();
        // Times of change differ, however fast the writes follow.
        let time = std::time::UNIX_EPOCH + Duration::from_secs(second);
        file.set_modified(time).unwrap();
    };
    write("{\"number\": 1}", 1_000);
    let read = |file: &str, text: &str| {
        dogwoodhill_core::text::Text::read(file, text, |s| s.count("number", 0..=9, None))
    };
    let mut changed = reload::follow(path.clone(), read);
    write("{\"number\": broken", 2_000);
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert!(
        changed.borrow().is_none(),
        "what can't be read changes nothing"
    );
    write("{\"number\": 7}", 3_000);
    tokio::time::timeout(Duration::from_secs(30), changed.changed())
        .await
        .expect("the change is seen")
        .unwrap();
    assert_eq!(*changed.borrow(), Some(7));
    std::fs::remove_file(path).unwrap();
}
