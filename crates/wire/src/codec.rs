//! Length-prefixed `rmp-serde` frames.

use crate::frame::Frame;
use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error};
use std::collections::VecDeque;

/// Largest encoded frame. A chunk is what one read from the endpoint's
/// connection gave, which hyper bounds well below this.
pub const MAX_FRAME: usize = 16 * 1024 * 1024;
/// Bytes of the length prefix.
const PREFIX: usize = 4;

/// What makes a byte sequence no frame.
#[derive(Debug, Display, Error, PartialEq, Eq)]
pub enum CodecError {
    /// The length prefix is out of bounds.
    #[display("frame of {length} bytes is out of bounds; run one version on both ends")]
    Length {
        /// Length that was announced.
        length: usize,
    },
    /// The content is not a frame.
    #[display("frame content is malformed; run one version on both ends")]
    Content,
}

/// Encodes a frame with its length prefix.
///
/// # Panics
///
/// Never: writing to memory can't fail, and a frame holds nothing that
/// `rmp-serde` can't encode.
pub fn encode(frame: &Frame) -> Bytes {
    let mut out = vec![0; PREFIX];
    rmp_serde::encode::write(&mut out, frame).expect("frames encode");
    let length = (out.len() - PREFIX) as u32;
    out[..PREFIX].copy_from_slice(&length.to_be_bytes());
    out.into()
}

/// Decodes frames from bytes that arrive in pieces of any size.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: BytesMut,
    frames: VecDeque<Frame>,
}

impl FrameReader {
    /// Takes in bytes and decodes the frames they complete.
    ///
    /// # Errors
    ///
    /// [`CodecError`] where the bytes are no frames; the connection can't be
    /// used further.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), CodecError> {
        self.buffer.extend_from_slice(bytes);
        while let Some(length) = self.announced()? {
            if self.buffer.len() < PREFIX + length {
                break;
            }
            self.buffer.advance(PREFIX);
            let content = self.buffer.split_to(length);
            let frame = rmp_serde::from_slice(&content);
            self.frames
                .push_back(frame.map_err(|_| CodecError::Content)?);
        }
        Ok(())
    }

    /// Removes and returns the next decoded frame.
    pub fn pop(&mut self) -> Option<Frame> {
        self.frames.pop_front()
    }

    fn announced(&self) -> Result<Option<usize>, CodecError> {
        let Some(prefix) = self.buffer.first_chunk::<PREFIX>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length == 0 || length > MAX_FRAME {
            return Err(CodecError::Length { length });
        }
        Ok(Some(length))
    }
}

/// Reads one message that stands alone in a body.
///
/// # Errors
///
/// [`CodecError::Content`] where the bytes are no such message.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(bytes).map_err(|_| CodecError::Content)
}
