//! A growing buffer that returns its memory to the system.
//!
//! Long buffers of many lengths fragment the heap, and every thread's part of it keeps
//! what was freed. A buffer from [`LARGE_BODY`] on is therefore a mapping of its own. Its
//! pages take memory once they are written, so it grows in place.

use bytes::Bytes;
use dogwoodhill_policy::intake::LARGE_BODY;
use memmap2::MmapMut;
use std::io;

#[derive(Debug)]
enum Content {
    Heap(Vec<u8>),
    Mapped { map: MmapMut, length: usize },
}

/// Bytes of a body or a response that is still arriving.
#[derive(Debug)]
pub struct Buffer {
    content: Content,
    capacity: usize,
    limit: usize,
}

impl Buffer {
    /// An empty buffer of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            content: Content::Heap(Vec::new()),
            capacity: 0,
            limit,
        }
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        match &self.content {
            Content::Heap(bytes) => bytes.len(),
            Content::Mapped { length, .. } => *length,
        }
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes that fit without growing.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// The capacity to grow to for `size` bytes: twice the present one within the limit.
    pub fn next_capacity(&self, size: usize) -> usize {
        (2 * self.capacity).min(self.limit).max(size)
    }

    /// Grows to a capacity of `capacity` bytes.
    ///
    /// # Errors
    ///
    /// The system's error if there is no address space for a mapping.
    pub fn grow(&mut self, capacity: usize) -> io::Result<()> {
        match &mut self.content {
            Content::Heap(bytes) if capacity >= LARGE_BODY => {
                let mut map = MmapMut::map_anon(self.limit.max(capacity))?;
                map[..bytes.len()].copy_from_slice(bytes);
                let length = bytes.len();
                self.content = Content::Mapped { map, length };
            }
            Content::Heap(bytes) => {
                bytes.reserve_exact(capacity.saturating_sub(bytes.len()));
            }
            Content::Mapped { .. } => {}
        }
        self.capacity = capacity;
        Ok(())
    }

    /// Appends bytes.
    ///
    /// # Panics
    ///
    /// If the buffer is a mapping and they exceed its limit.
    pub fn extend(&mut self, bytes: &[u8]) {
        match &mut self.content {
            Content::Heap(content) => content.extend_from_slice(bytes),
            Content::Mapped { map, length } => {
                let end = *length + bytes.len();
                map[*length..end].copy_from_slice(bytes);
                *length = end;
            }
        }
    }

    /// The bytes; the memory is released with the last reference to them.
    pub fn freeze(self) -> Bytes {
        match self.content {
            Content::Heap(bytes) => bytes.into(),
            Content::Mapped { map, length } => Bytes::from_owner(map).slice(..length),
        }
    }
}
