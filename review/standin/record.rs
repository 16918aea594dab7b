//! What was sent, answered and run, for `record.txt`.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of one run. Clones share it.
#[derive(Clone, Debug)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Begins the record in `folder`.
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt"));
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(
                file.expect("the folder of the case is writable"),
            )),
        }
    }

    /// Writes one line with the time since the start.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no writer panics");
        let at = self.start.elapsed().as_secs_f64();
        writeln!(file, "{at:8.3} {text}").expect("the folder of the case is writable");
    }
}
