//! A folder in memory that crashes as a disk may: what was not synced is
//! lost, kept in part, or damaged.

use crate::files::Files;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

#[derive(Clone, Debug)]
struct Stored {
    name: String,
    content: Vec<u8>,
    synced: usize,
}

#[derive(Clone, Debug, Default)]
struct State {
    files: Vec<Stored>,
    /// The names and synced contents a crash falls back to.
    lasting: Vec<Stored>,
    failing: bool,
    full: bool,
}

/// The folder. Clones share it, so that a test can open it again.
#[derive(Clone, Debug, Default)]
pub struct MemoryFiles {
    state: Arc<Mutex<State>>,
}

/// What a crash leaves of bytes that were not synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tear {
    /// Share of the unsynced bytes that stay, in 255ths.
    pub kept: u8,
    /// Whether one of the kept bytes is damaged.
    pub damaged: bool,
}

impl MemoryFiles {
    /// Loses what was not synced, but for what `tear` leaves.
    pub fn crash(&self, tear: Tear) {
        let mut state = self.lock();
        let now = std::mem::take(&mut state.files);
        let mut after = state.lasting.clone();
        for file in &mut after {
            let Some(written) = now.iter().find(|f| f.name == file.name) else {
                continue;
            };
            let unsynced = written.content.len().saturating_sub(written.synced);
            let kept = unsynced * usize::from(tear.kept) / usize::from(u8::MAX);
            let end = (written.synced + kept).min(written.content.len());
            file.content = written.content[..end].to_vec();
            if tear.damaged && kept > 0 {
                file.content[written.synced + kept / 2] ^= 0x55;
            }
            file.synced = file.content.len();
        }
        state.lasting.clone_from(&after);
        state.files = after;
        state.failing = false;
        state.full = false;
    }

    /// Makes every sync fail until the next crash.
    pub fn fail_syncs(&self) {
        self.lock().failing = true;
    }

    /// Leaves no space until the next crash.
    pub fn fill(&self) {
        self.lock().full = true;
    }

    /// Damages one byte of a file.
    pub fn damage(&self, name: &str, offset: usize) {
        let mut state = self.lock();
        let found = state.files.iter_mut().find(|file| file.name == name);
        if let Some(file) = found {
            file.content[offset] ^= 0x55;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }
}

impl State {
    fn find(&mut self, name: &str) -> io::Result<&mut Stored> {
        let found = self.files.iter_mut().find(|file| file.name == name);
        found.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }

    fn space(&self) -> io::Result<()> {
        if self.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn syncable(&self) -> io::Result<()> {
        if self.failing {
            return Err(io::Error::other("sync failed"));
        }
        Ok(())
    }
}

impl Files for MemoryFiles {
    fn names(&self) -> io::Result<Vec<String>> {
        let state = self.lock();
        Ok(state.files.iter().map(|file| file.name.clone()).collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.lock().find(name)?.content.clone())
    }

    fn create(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.lock();
        state.space()?;
        state.files.retain(|file| file.name != name);
        state.files.push(Stored {
            name: name.to_string(),
            content: bytes.to_vec(),
            synced: 0,
        });
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.lock();
        let space = state.space();
        let file = state.find(name)?;
        if space.is_err() {
            // A full disk takes part of a write.
            file.content.extend_from_slice(&bytes[..bytes.len() / 2]);
            return space;
        }
        file.content.extend_from_slice(bytes);
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: usize) -> io::Result<()> {
        let mut state = self.lock();
        let file = state.find(name)?;
        file.content.truncate(length);
        file.synced = file.synced.min(length);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        state.syncable()?;
        let file = state.find(name)?;
        file.synced = file.content.len();
        let synced = file.clone();
        if let Some(lasting) = state.lasting.iter_mut().find(|f| f.name == name) {
            *lasting = synced;
        }
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        let mut state = self.lock();
        state.syncable()?;
        let mut lasting = state.files.clone();
        for file in &mut lasting {
            file.content.truncate(file.synced);
        }
        state.lasting = lasting;
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.lock();
        state.find(from)?;
        state.files.retain(|file| file.name != to);
        state.find(from)?.name = to.to_string();
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.lock().files.retain(|file| file.name != name);
        Ok(())
    }
}
