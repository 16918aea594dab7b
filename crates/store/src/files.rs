//! The folder as the store sees it, behind a trait.

use std::fmt::Debug;
use std::io;

/// Files in one folder. What was written lasts only once [`Files::sync`]
/// returned, a new or changed name only once [`Files::sync_names`] did.
pub trait Files: Send + Debug {
    /// Names of all files.
    ///
    /// # Errors
    ///
    /// As the operating system reports them; so for all that follow.
    fn names(&self) -> io::Result<Vec<String>>;

    /// Content of a file.
    ///
    /// # Errors
    ///
    /// See [`Files::names`].
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Makes a new file, or empties one, and writes `bytes` to it.
    ///
    /// # Errors
    ///
    /// See [`Files::names`].
    fn create(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Adds bytes to the end of a file.
    ///
    /// # Errors
    ///
    /// See [`Files::names`].
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Cuts a file to `length` bytes.
    ///
    /// # Errors
    ///
    /// See [`Files::names`].
    fn truncate(&mut self, name: &str, length: usize) -> io::Result<()>;

    /// Makes a file's content last.
    ///
    /// # Errors
    ///
    /// See [`Files::names`].
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Makes the folder's names last.
    ///
    /// # Errors
    ///
    /// See [`Files::names`].
    fn sync_names(&mut self) -> io::Result<()>;

    /// Gives a file another name, replacing what had it.
    ///
    /// # Errors
    ///
    /// See [`Files::names`].
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// See [`Files::names`].
    fn remove(&mut self, name: &str) -> io::Result<()>;
}
