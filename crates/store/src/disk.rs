//! A folder of the operating system.

use crate::error::StoreError;
use crate::files::Files;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// File whose lock keeps a second process out.
const LOCK: &str = "lock";

/// A folder this process alone has open. The lock ends with the value.
#[derive(Debug)]
pub struct DiskFiles {
    folder: PathBuf,
    open: Option<Open>,
    _lock: File,
}

/// The file that was appended to last.
#[derive(Debug)]
struct Open {
    name: String,
    file: File,
}

impl DiskFiles {
    /// Opens a folder, and makes it where it is missing.
    ///
    /// # Errors
    ///
    /// [`StoreError::Locked`] where another process has it open, or what the
    /// operating system refuses.
    pub fn open(folder: &Path) -> Result<Self, StoreError> {
        let fault = |source| StoreError::of(&folder.display().to_string(), source);
        std::fs::create_dir_all(folder).map_err(fault)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join(LOCK))
            .map_err(fault)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StoreError::Locked),
            Err(TryLockError::Error(source)) => return Err(fault(source)),
        }
        Ok(Self {
            folder: folder.to_path_buf(),
            open: None,
            _lock: lock,
        })
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// The file `name`, open for appending.
    fn writable(&mut self, name: &str) -> io::Result<&mut File> {
        let same = self.open.as_ref().is_some_and(|open| open.name == name);
        if !same {
            let file = OpenOptions::new().append(true).open(self.path(name))?;
            let name = name.to_string();
            self.open = Some(Open { name, file });
        }
        let open = self.open.as_mut().expect("opened above");
        Ok(&mut open.file)
    }
}

impl Files for DiskFiles {
    fn names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.folder)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.path(name))
    }

    fn create(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open = None;
        let mut file = File::create(self.path(name))?;
        file.write_all(bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.writable(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: usize) -> io::Result<()> {
        self.writable(name)?.set_len(length as u64)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.writable(name)?.sync_data()
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        std::fs::rename(self.path(from), self.path(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        std::fs::remove_file(self.path(name))
    }
}
