//! Reading a body into one buffer.
//!
//! A list of the received frames would cost dozens of bytes for each of them, and a frame
//! keeps the whole read buffer that it was cut from. Frames are therefore copied, and the
//! buffer's capacity is reserved before it grows.

use crate::buffer::Buffer;
use crate::memory::{BodyMemory, BodySpace};
use bytes::Bytes;
use derive_more::{Display, Error};
use dogwoodhill_core::prelude::*;
use http_body::Body;
use http_body_util::BodyExt;
use std::pin::pin;
use tokio::time::{Instant, timeout, timeout_at};

/// Capacity with which the buffer of a body of unknown length begins, in bytes.
const FIRST_CAPACITY: usize = 8 * 1024;
/// Received bytes after which the account is updated.
const ADVANCE_BYTES: usize = 16 * 1024;
/// Most bytes of a refused body that are read and dropped.
const MAX_DISCARDED: usize = 16 * 1024 * 1024;
/// Time in which they are read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// What a client may send, and in which time.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Largest body, in bytes; no more than the account admits.
    pub bytes: usize,
    /// When the body must be complete; `None` for any time.
    pub end: Option<Instant>,
    /// Longest time without a byte.
    pub idle: Duration,
}

/// Why a body is not read to its end.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than allowed, or announces to be.
    #[display("the body is too large")]
    TooLarge,
    /// It did not arrive in time.
    #[display("the body did not arrive in time")]
    Slow,
    /// It broke off or is malformed.
    #[display("the body broke off")]
    Broken,
    /// There is no memory for it at present.
    #[display("there is no memory for the body at present")]
    NoMemory,
}

/// A body that has arrived completely, with its memory.
#[derive(Debug)]
pub struct WholeBody {
    /// Content.
    pub bytes: Bytes,
    /// Memory of the content; `None` for one that no account covers.
    pub space: Option<BodySpace>,
}

impl From<Bytes> for WholeBody {
    /// A body that no account covers.
    fn from(bytes: Bytes) -> Self {
        Self { bytes, space: None }
    }
}

/// Reads `body` to its end. A body of known length is admitted or refused before any of it
/// is read.
///
/// # Errors
///
/// [`BodyError`]; what is left of the body should be passed to [`discard`].
pub async fn read<B>(
    body: &mut B,
    limits: &BodyLimits,
    memory: &BodyMemory,
) -> Result<WholeBody, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.is_end_stream() {
        return Ok(Bytes::new().into());
    }
    let limit = limits.bytes.min(memory.largest());
    let hint = body.size_hint();
    if hint.lower() > limit as u64 {
        return Err(BodyError::TooLarge);
    }
    // A body of known length is not longer than that.
    let limit = hint.exact().map_or(limit, |length| length as usize);
    let mut buffer = AccountedBuffer::new(memory.open(), limit);
    if let Some(length) = hint.exact() {
        buffer.grow(length as usize)?;
    }
    let yielded = buffer.space.yielded();
    tokio::select! {
        biased;
        () = yielded.cancelled() => Err(BodyError::NoMemory),
        filled = buffer.fill(body, limits) => {
            filled?;
            buffer.finish()
        }
    }
}

/// A buffer whose capacity is reserved.
struct AccountedBuffer {
    bytes: Buffer,
    space: BodySpace,
    limit: usize,
    /// Received bytes that the account doesn't know of yet.
    pending: usize,
}

impl AccountedBuffer {
    fn new(space: BodySpace, limit: usize) -> Self {
        Self {
            bytes: Buffer::new(limit),
            space,
            limit,
            pending: 0,
        }
    }

    async fn fill<B>(
        &mut self,
        body: &mut B,
        limits: &BodyLimits,
    ) -> Result<(), BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        loop {
            let next = timeout(limits.idle, body.frame());
            let next = match limits.end {
                Some(end) => timeout_at(end, next).await.and_then(|next| next),
                None => next.await,
            };
            let Some(frame) = next.map_err(|_| BodyError::Slow)? else {
                return Ok(());
            };
            let frame = frame.map_err(|_| BodyError::Broken)?;
            if let Some(data) = frame.data_ref() {
                self.push(data)?;
            }
        }
    }

    fn push(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let length = self.bytes.len() + data.len();
        if length > self.limit {
            return Err(BodyError::TooLarge);
        }
        if length > self.bytes.capacity() {
            let doubled = self.bytes.next_capacity(length.max(FIRST_CAPACITY));
            // Where the memory is short, the next bytes alone may still fit.
            self.grow(doubled.min(self.limit))
                .or_else(|_| self.grow(length))?;
        }
        self.bytes.extend(data);
        self.pending += data.len();
        if self.pending >= ADVANCE_BYTES {
            self.space.advance(std::mem::take(&mut self.pending));
        }
        Ok(())
    }

    fn grow(&mut self, capacity: usize) -> Result<(), BodyError> {
        let reserved = self.space.reserve(capacity);
        reserved.map_err(|_| BodyError::NoMemory)?;
        self.bytes.grow(capacity).map_err(|_| BodyError::NoMemory)
    }

    fn finish(self) -> Result<WholeBody, BodyError> {
        let complete = self.space.complete();
        complete.map_err(|_| BodyError::NoMemory)?;
        Ok(WholeBody {
            bytes: self.bytes.freeze(),
            space: Some(self.space),
        })
    }
}

/// Reads and drops what is left of a refused body, within bounds. If the connection were
/// closed while the client sends, it would be reset, and the response lost.
pub fn discard<B>(mut body: B)
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Send,
{
    if body.is_end_stream() {
        return;
    }
    tokio::spawn(async move {
        let read = async {
            let mut discarded = 0;
            while let Some(Ok(frame)) = body.frame().await {
                discarded += frame.data_ref().map_or(0, Bytes::len);
                if discarded > MAX_DISCARDED {
                    break;
                }
            }
        };
        // The connection is closed after the timeout, as after the last byte.
        let _ = timeout(DISCARD_TIMEOUT, pin!(read)).await;
    });
}
