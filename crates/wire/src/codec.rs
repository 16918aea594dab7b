//! Encoding and decoding of length-prefixed MessagePack frames.

use crate::frame::Frame;
use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error};
use std::collections::VecDeque;

/// Largest encoded frame, in bytes. A chunk holds one read from the endpoint's
/// connection, which hyper bounds well below this.
pub const MAX_FRAME: usize = 16 * 1024 * 1024;
/// Size of the length prefix, in bytes: a big-endian `u32`.
const PREFIX: usize = 4;

/// Why bytes can't be decoded.
#[derive(Debug, Display, Error, PartialEq, Eq)]
pub enum CodecError {
    /// The length prefix is zero or exceeds [`MAX_FRAME`].
    #[display("frame of {length} bytes is out of bounds; run one version on both ends")]
    Length {
        /// Value of the length prefix, in bytes.
        length: usize,
    },
    /// The content is not the expected MessagePack value.
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

/// Incremental decoder for frames that arrive in chunks of any size.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: BytesMut,
    frames: VecDeque<Frame>,
}

impl FrameReader {
    /// Appends bytes and decodes the frames that they complete.
    ///
    /// # Errors
    ///
    /// [`CodecError`] if the bytes are not valid frames; the stream can't be decoded
    /// further.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), CodecError> {
        self.buffer.extend_from_slice(bytes);
        while let Some(length) = self.frame_length()? {
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

    fn frame_length(&self) -> Result<Option<usize>, CodecError> {
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

/// Decodes a body that consists of one message without length prefix.
///
/// # Errors
///
/// [`CodecError::Content`] if the bytes are not such a message.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(bytes).map_err(|_| CodecError::Content)
}
