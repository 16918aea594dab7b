//! A folder in the operating system's file system.

use crate::error::StoreError;
use crate::files::Files;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// File that a process locks while it uses the folder.
const LOCK_FILE: &str = "lock";

/// A folder locked for exclusive use by this process. Dropping the value releases the
/// lock.
#[derive(Debug)]
pub struct DiskFiles {
    folder: PathBuf,
    open_file: Option<OpenFile>,
    _lock: File,
}

/// The last file that was written to, kept open for the next write.
#[derive(Debug)]
struct OpenFile {
    name: String,
    file: File,
}

impl DiskFiles {
    /// Opens a folder, creating it if it is missing.
    ///
    /// # Errors
    ///
    /// [`StoreError::Locked`] if another process has the folder open, or the error of
    /// the operating system.
    pub fn open(folder: &Path) -> Result<Self, StoreError> {
        let error = |source| StoreError::from_io(&folder.display().to_string(), source);
        if !folder.exists() {
            std::fs::create_dir_all(folder).map_err(error)?;
            if let Some(parent) = folder.parent().filter(|p| !p.as_os_str().is_empty()) {
                // Otherwise the whole folder may be gone after a loss of power.
                File::open(parent)
                    .and_then(|parent| parent.sync_all())
                    .map_err(error)?;
            }
        }
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join(LOCK_FILE))
            .map_err(error)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StoreError::Locked),
            Err(TryLockError::Error(source)) => return Err(error(source)),
        }
        Ok(Self {
            folder: folder.to_path_buf(),
            open_file: None,
            _lock: lock,
        })
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// The existing file `name`, opened for appending.
    fn writable(&mut self, name: &str) -> io::Result<&mut File> {
        let same = self
            .open_file
            .as_ref()
            .is_some_and(|open| open.name == name);
        if !same {
            let file = OpenOptions::new().append(true).open(self.path(name))?;
            let name = name.to_string();
            self.open_file = Some(OpenFile { name, file });
        }
        let open = self.open_file.as_mut().expect("opened above");
        Ok(&mut open.file)
    }
}

impl Files for DiskFiles {
    fn names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.folder)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE {
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
        self.open_file = None;
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

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open_file = None;
        std::fs::rename(self.path(from), self.path(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_file = None;
        std::fs::remove_file(self.path(name))
    }
}
