//! Log lines on their way to standard output.
//!
//! A standard output that nobody reads blocks whoever writes to it. Lines
//! therefore go through a bounded queue to a thread that writes; what does not
//! fit, in the queue or in the second's budget, is dropped and counted, and the
//! count is told as soon as there is room. Warnings and errors keep a part of
//! the budget that other lines may not use.

use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that wait for the writer: one second of the budget.
const QUEUE: usize = 500;
/// Lines a second. An entry serves some tens of requests a second for each
/// tenth of a core, with about two lines each.
const LINES: u32 = 500;
/// Lines of each second that only warnings and errors may use.
const RESERVED: u32 = 150;
/// Length of the budget's window.
const WINDOW: Duration = Duration::from_secs(1);
/// Longest line; the rest of a longer one is cut off.
const LINE_BYTES: usize = 2_048;

/// Longest wait at the end of the process for lines to be written.
const LAST_WAIT: Duration = Duration::from_millis(200);

/// The process's queue, for its last lines.
static RUNNING: OnceLock<SyncSender<Item>> = OnceLock::new();

/// What goes through the queue.
#[derive(Debug)]
enum Item {
    Line(Vec<u8>),
    /// Everything before it is written; the sender is told.
    Mark(SyncSender<()>),
}

/// Waits, for a short time at most, until what was logged is written.
pub fn finish() {
    let Some(queue) = RUNNING.get() else { return };
    let (mark, written) = sync_channel(1);
    if queue.try_send(Item::Mark(mark)).is_ok() {
        // Nobody reads the output where this runs out; the lines are lost.
        let _ = written.recv_timeout(LAST_WAIT);
    }
}

/// How many lines may still pass in the present second.
#[derive(Debug)]
struct Budget {
    since: Instant,
    used: u32,
    dropped: u64,
}

impl Budget {
    /// Whether one more line may pass.
    fn admits(&mut self, now: Instant, urgent: bool) -> bool {
        if now.duration_since(self.since) >= WINDOW {
            self.since = now;
            self.used = 0;
        }
        let limit = if urgent { LINES } else { LINES - RESERVED };
        let fits = self.used < limit;
        self.used += u32::from(fits);
        fits
    }
}

/// The writing end of the queue.
#[derive(Debug)]
pub struct LogQueue {
    lines: SyncSender<Item>,
    budget: Budget,
}

impl LogQueue {
    /// Starts the thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> Self {
        let (lines, queue) = sync_channel(QUEUE);
        // Without the thread the queue fills, and lines are dropped.
        let _ = thread::Builder::new()
            .name("log".to_string())
            .spawn(move || drain(&queue, out));
        let _ = RUNNING.set(lines.clone());
        let budget = Budget {
            since: Instant::now(),
            used: 0,
            dropped: 0,
        };
        Self { lines, budget }
    }

    fn push(&mut self, line: Vec<u8>) {
        if self.lines.try_send(Item::Line(line)).is_err() {
            self.budget.dropped += 1;
        }
    }

    fn tell_dropped(&mut self) {
        let dropped = std::mem::take(&mut self.budget.dropped);
        let line = format!("level=warn event=log-lines-dropped count={dropped}\n");
        if self.lines.try_send(Item::Line(line.into_bytes())).is_err() {
            self.budget.dropped += dropped;
        }
    }
}

/// Takes one whole line for each call, as the logger writes them.
impl Write for LogQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let urgent = contains(line, b"level=warn") || contains(line, b"level=error");
        if !self.budget.admits(Instant::now(), urgent) {
            self.budget.dropped += 1;
            return Ok(line.len());
        }
        if self.budget.dropped > 0 {
            self.tell_dropped();
        }
        let mut text = line[..line.len().min(LINE_BYTES)].to_vec();
        if text.last() != Some(&b'\n') {
            text.push(b'\n');
        }
        self.push(text);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whether the head of a line names `word`.
fn contains(line: &[u8], word: &[u8]) -> bool {
    let head = &line[..line.len().min(48)];
    head.windows(word.len()).any(|window| window == word)
}

/// Writes lines, as many as there are in one go.
fn drain(queue: &Receiver<Item>, mut out: impl Write) {
    while let Ok(first) = queue.recv() {
        let mut text = Vec::new();
        let mut marks = Vec::new();
        for item in std::iter::once(first).chain(queue.try_iter()) {
            match item {
                Item::Line(line) => text.extend_from_slice(&line),
                Item::Mark(mark) => marks.push(mark),
            }
        }
        if out.write_all(&text).and_then(|()| out.flush()).is_err() {
            // Nobody reads any more; there is no other place to say so.
            return;
        }
        for mark in marks {
            // Who asked may have stopped waiting.
            let _ = mark.try_send(());
        }
    }
}
