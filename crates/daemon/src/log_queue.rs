//! Bounded queue between the logger and the output.
//!
//! A write to a pipe that is not read blocks the writer. Log lines therefore pass through
//! a bounded queue to a writer thread, so that logging never blocks. A line that does not
//! fit into the queue, or exceeds the rate limit of the current window of one second, is
//! dropped and counted, and the count is logged as `event=log-lines-dropped` as soon as a
//! line fits again. A part of the rate limit is reserved for warnings and errors.

use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Capacity of the queue in lines: the budget of one second.
const QUEUE_LINES: usize = 500;
/// Lines admitted in one window of the budget. An entry serves some tens of requests per
/// second on a tenth of a core and writes about two lines for each.
const WINDOW_LINES: u32 = 500;
/// Part of [`WINDOW_LINES`] that is reserved for warnings and errors.
const RESERVED_LINES: u32 = 150;
/// Window of the budget.
const BUDGET_WINDOW: Duration = Duration::from_secs(1);
/// Longest line; a longer one is truncated.
const MAX_LINE_BYTES: usize = 2_048;

/// Longest wait of [`flush`] for the writer thread.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Queue of the process, which [`flush`] waits for.
static PROCESS_QUEUE: OnceLock<SyncSender<Item>> = OnceLock::new();

/// An item of the queue.
#[derive(Debug)]
enum Item {
    /// A line with its newline.
    Line(Vec<u8>),
    /// Requests an acknowledgement once all lines queued before it are written.
    Flush(SyncSender<()>),
}

/// Waits at most 200 ms until all queued lines are written. Returns at once if the queue
/// is full.
pub fn flush() {
    let Some(queue) = PROCESS_QUEUE.get() else {
        return;
    };
    let (ack, written) = sync_channel(1);
    if queue.try_send(Item::Flush(ack)).is_ok() {
        // A timeout means that the output is not read; the queued lines are lost.
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Rate limit of log lines over fixed windows of [`BUDGET_WINDOW`].
#[derive(Debug)]
struct LineBudget {
    window_start: Instant,
    used: u32,
    /// Lines dropped, by the budget or by a full queue, and not yet logged as such.
    dropped: u64,
}

impl LineBudget {
    /// Consumes one line of the budget, and returns whether there was one left.
    fn admits(&mut self, now: Instant, urgent: bool) -> bool {
        if now.duration_since(self.window_start) >= BUDGET_WINDOW {
            self.window_start = now;
            self.used = 0;
        }
        let limit = if urgent {
            WINDOW_LINES
        } else {
            WINDOW_LINES - RESERVED_LINES
        };
        let fits = self.used < limit;
        self.used += u32::from(fits);
        fits
    }
}

/// Sending end of the queue, as a [`Write`] for the logger.
#[derive(Debug)]
pub struct LogQueue {
    lines: SyncSender<Item>,
    budget: LineBudget,
}

impl LogQueue {
    /// Starts the writer thread, which writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> Self {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        // If the thread can't be started, the receiver is dropped with it, and every
        // line is dropped and counted.
        let _ = thread::Builder::new()
            .name("log".to_string())
            .spawn(move || drain(&queue, out));
        let _ = PROCESS_QUEUE.set(lines.clone());
        let budget = LineBudget {
            window_start: Instant::now(),
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

    fn report_dropped(&mut self) {
        let dropped = std::mem::take(&mut self.budget.dropped);
        let line = format!("level=warn event=log-lines-dropped count={dropped}\n");
        if self.lines.try_send(Item::Line(line.into_bytes())).is_err() {
            self.budget.dropped += dropped;
        }
    }
}

/// Each call of `write` must pass one whole line, as the logger does.
impl Write for LogQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let urgent =
            head_contains(line, b"level=warn") || head_contains(line, b"level=error");
        if !self.budget.admits(Instant::now(), urgent) {
            self.budget.dropped += 1;
            return Ok(line.len());
        }
        if self.budget.dropped > 0 {
            self.report_dropped();
        }
        let mut text = line[..line.len().min(MAX_LINE_BYTES)].to_vec();
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

/// Whether the first 48 bytes of `line` contain `word`.
fn head_contains(line: &[u8], word: &[u8]) -> bool {
    let head = &line[..line.len().min(48)];
    head.windows(word.len()).any(|window| window == word)
}

/// Loop of the writer thread: writes all queued lines with one write.
fn drain(queue: &Receiver<Item>, mut out: impl Write) {
    while let Ok(first) = queue.recv() {
        let mut text = Vec::new();
        let mut acks = Vec::new();
        for item in std::iter::once(first).chain(queue.try_iter()) {
            match item {
                Item::Line(line) => text.extend_from_slice(&line),
                Item::Flush(ack) => acks.push(ack),
            }
        }
        if out.write_all(&text).and_then(|()| out.flush()).is_err() {
            // The output is closed, and the error can't be logged anywhere else.
            return;
        }
        for ack in acks {
            // The receiver is gone if `flush` has timed out.
            let _ = ack.try_send(());
        }
    }
}
