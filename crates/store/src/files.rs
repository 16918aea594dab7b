//! The file operations that the store needs, as a trait.

use std::fmt::Debug;
use std::io;

/// Files in one folder. Content is durable only after [`Files::sync`], a file that was
/// created, renamed or removed only after [`Files::sync_folder`].
pub trait Files: Send + Debug {
    /// Names of all files.
    ///
    /// # Errors
    ///
    /// The error of the operating system; likewise in the other methods.
    fn names(&self) -> io::Result<Vec<String>>;

    /// Reads the content of a file.
    ///
    /// # Errors
    ///
    /// See [`Files::names`].
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates or truncates a file and writes `bytes` to it.
    ///
    /// # Errors
    ///
    /// See [`Files::names`].
    fn create(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Appends `bytes` to an existing file.
    ///
    /// # Errors
    ///
    /// See [`Files::names`].
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to `length` bytes.
    ///
    /// # Errors
    ///
    /// See [`Files::names`].
    fn truncate(&mut self, name: &str, length: usize) -> io::Result<()>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    ///
    /// See [`Files::names`].
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Makes the names of the files durable.
    ///
    /// # Errors
    ///
    /// See [`Files::names`].
    fn sync_folder(&mut self) -> io::Result<()>;

    /// Renames a file, replacing any file of the new name.
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
