//! Validation of an agent's answer: it must belong to the attempt and be complete.

use crate::attempt::Header;
use crate::frame::{Frame, FrameBody, RefusalReason};
use bytes::Bytes;
use derive_more::{Display, Error};
use dogwoodhill_core::prelude::*;

/// A validated part of an answer, which may be forwarded to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerPart {
    /// The attempt was not run.
    Refused(RefusalReason),
    /// Status and headers of the endpoint's response.
    Head {
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<Header>,
    },
    /// Part of the response body.
    Chunk(Bytes),
    /// The answer is complete.
    End {
        /// Tokens in the answer.
        tokens: u32,
    },
}

/// Why an answer can't become complete. The request may have run.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum AnswerError {
    /// A frame of another attempt arrived.
    #[display("a frame of another attempt arrived")]
    ForeignFrame,
    /// A frame is missing or arrived twice.
    #[display("a frame is missing or came twice")]
    Sequence,
    /// The byte count of the `End` frame differs from the bytes received.
    #[display("the end mark does not agree with the bytes received")]
    Truncated,
    /// The kind of the frame is not valid at this point of an answer.
    #[display("frames came in an impossible order")]
    Order,
    /// The agent reported that the endpoint's response broke off.
    #[display("the endpoint's answer broke off: {cause}")]
    Broken {
        /// The agent's description of the failure.
        cause: String,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Start,
    Body,
    Done,
}

/// Validates the frames of one attempt as they arrive.
///
/// After an [`AnswerError`], a refusal or the end, every further frame is an error, so
/// that a late frame can't lengthen a finished answer.
#[derive(Debug)]
pub struct AnswerValidator {
    attempt: AttemptId,
    stage: Stage,
    seq: u32,
    bytes: u64,
}

impl AnswerValidator {
    /// Creates a validator for the frames of `attempt`.
    pub fn new(attempt: AttemptId) -> Self {
        Self {
            attempt,
            stage: Stage::Start,
            seq: 0,
            bytes: 0,
        }
    }

    /// Returns whether the answer has ended: complete, refused or invalid.
    pub fn ended(&self) -> bool {
        self.stage == Stage::Done
    }

    /// Validates the next frame.
    ///
    /// # Errors
    ///
    /// Any [`AnswerError`]; the answer can no longer become complete.
    pub fn accept(&mut self, frame: Frame) -> Result<AnswerPart, AnswerError> {
        let part = self.check(frame);
        if part.is_err() {
            self.stage = Stage::Done;
        }
        part
    }

    fn check(&mut self, frame: Frame) -> Result<AnswerPart, AnswerError> {
        if frame.attempt != self.attempt {
            return Err(AnswerError::ForeignFrame);
        }
        if frame.seq != self.seq {
            return Err(AnswerError::Sequence);
        }
        self.seq += 1;
        match (self.stage, frame.body) {
            (Stage::Start, FrameBody::Refused(reason)) => {
                self.stage = Stage::Done;
                Ok(AnswerPart::Refused(reason))
            }
            (Stage::Start, FrameBody::Head { status, headers }) => {
                self.stage = Stage::Body;
                Ok(AnswerPart::Head { status, headers })
            }
            (Stage::Body, FrameBody::Chunk(bytes)) => {
                self.bytes += bytes.len() as u64;
                Ok(AnswerPart::Chunk(bytes))
            }
            (Stage::Body, FrameBody::End { bytes, tokens }) if bytes == self.bytes => {
                self.stage = Stage::Done;
                Ok(AnswerPart::End { tokens })
            }
            (Stage::Body, FrameBody::End { .. }) => Err(AnswerError::Truncated),
            (Stage::Start | Stage::Body, FrameBody::Broken(cause)) => {
                Err(AnswerError::Broken { cause })
            }
            _ => Err(AnswerError::Order),
        }
    }
}
