//! A folder in memory for tests of crashes: after a crash, writes that were not synced
//! are lost, kept in part, or damaged.

use crate::files::Files;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

#[derive(Clone, Debug)]
struct MemoryFile {
    name: String,
    content: Vec<u8>,
    /// Bytes of the content that are durable.
    synced: usize,
}

#[derive(Clone, Debug, Default)]
struct State {
    files: Vec<MemoryFile>,
    /// Durable names and contents, which remain after a crash.
    durable: Vec<MemoryFile>,
    syncs_fail: bool,
    disk_full: bool,
}

/// The folder. Clones share its files, so that a test can open it again after a crash.
#[derive(Clone, Debug, Default)]
pub struct MemoryFiles {
    state: Arc<Mutex<State>>,
}

/// Effect of a crash on bytes that were not synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TornWrite {
    /// Share of the unsynced bytes that remain, in 255ths.
    pub kept: u8,
    /// Whether one of the remaining bytes is changed.
    pub damaged: bool,
}

impl MemoryFiles {
    /// Simulates a crash: unsynced writes are lost, except for the part that `torn`
    /// keeps.
    pub fn crash(&self, torn: TornWrite) {
        let mut state = self.lock();
        let before = std::mem::take(&mut state.files);
        let mut after = state.durable.clone();
        for file in &mut after {
            let Some(written) = before.iter().find(|f| f.name == file.name) else {
                continue;
            };
            let unsynced = written.content.len().saturating_sub(written.synced);
            let kept = unsynced * usize::from(torn.kept) / usize::from(u8::MAX);
            let end = (written.synced + kept).min(written.content.len());
            file.content = written.content[..end].to_vec();
            if torn.damaged && kept > 0 {
                file.content[written.synced + kept / 2] ^= 0x55;
            }
            file.synced = file.content.len();
        }
        state.durable.clone_from(&after);
        state.files = after;
        state.syncs_fail = false;
        state.disk_full = false;
    }

    /// Makes each sync fail until the next crash.
    pub fn fail_syncs(&self) {
        self.lock().syncs_fail = true;
    }

    /// Makes writes fail for lack of space until the next crash.
    pub fn fill_disk(&self) {
        self.lock().disk_full = true;
    }

    /// Changes one byte of a file.
    pub fn corrupt(&self, name: &str, offset: usize) {
        let mut state = self.lock();
        let found = state.files.iter_mut().find(|file| file.name == name);
        if let Some(file) = found {
            file.content[offset] ^= 0x55;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl State {
    fn find(&mut self, name: &str) -> io::Result<&mut MemoryFile> {
        let found = self.files.iter_mut().find(|file| file.name == name);
        found.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }

    fn check_space(&self) -> io::Result<()> {
        if self.disk_full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn check_sync(&self) -> io::Result<()> {
        if self.syncs_fail {
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
        state.check_space()?;
        state.files.retain(|file| file.name != name);
        state.files.push(MemoryFile {
            name: name.to_string(),
            content: bytes.to_vec(),
            synced: 0,
        });
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.lock();
        let space = state.check_space();
        let file = state.find(name)?;
        if space.is_err() {
            // A full disk stores part of a write.
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
        state.check_sync()?;
        let file = state.find(name)?;
        file.synced = file.content.len();
        let synced = file.clone();
        if let Some(durable) = state.durable.iter_mut().find(|f| f.name == name) {
            *durable = synced;
        }
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.lock();
        state.check_sync()?;
        let mut durable = state.files.clone();
        for file in &mut durable {
            file.content.truncate(file.synced);
        }
        state.durable = durable;
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
