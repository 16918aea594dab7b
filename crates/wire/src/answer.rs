//! What makes an answer whole and one's own.

use crate::attempt::Header;
use crate::frame::{Body, Frame, RefusalReason};
use bytes::Bytes;
use derive_more::{Display, Error};
use dogwoodhill_core::prelude::*;

/// A part of the answer that may be passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerPart {
    /// The attempt was not run.
    Refused(RefusalReason),
    /// Status and headers.
    Head {
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<Header>,
    },
    /// Part of the body.
    Chunk(Bytes),
    /// The answer is whole.
    End {
        /// Tokens in the answer.
        tokens: u32,
    },
}

/// Why an answer can't be completed. The request may have run.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum AnswerError {
    /// A frame of another attempt.
    #[display("a frame of another attempt arrived")]
    ForeignFrame,
    /// A frame is missing or came twice.
    #[display("a frame is missing or came twice")]
    Sequence,
    /// The end mark does not agree with what arrived.
    #[display("the end mark does not agree with the bytes received")]
    Truncated,
    /// Frames in an order that no answer has.
    #[display("frames came in an impossible order")]
    Order,
    /// The agent says that the answer broke off.
    #[display("the endpoint's answer broke off: {cause}")]
    Broken {
        /// What the agent saw.
        cause: String,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Start,
    Body,
    Done,
}

/// Checks the frames of one attempt as they arrive.
///
/// After a [`AnswerError`] or the end nothing more is accepted, so that a late frame
/// can't lengthen a finished answer.
#[derive(Debug)]
pub struct Answer {
    attempt: AttemptId,
    stage: Stage,
    seq: u32,
    bytes: u64,
}

impl Answer {
    /// Expects the frames of `attempt`.
    pub fn new(attempt: AttemptId) -> Self {
        Self {
            attempt,
            stage: Stage::Start,
            seq: 0,
            bytes: 0,
        }
    }

    /// Tells whether the answer ended, whole or refused.
    pub fn ended(&self) -> bool {
        self.stage == Stage::Done
    }

    /// Checks the next frame.
    ///
    /// # Errors
    ///
    /// [`AnswerError`] where the answer can no longer become whole.
    pub fn accept(&mut self, frame: Frame) -> Result<AnswerPart, AnswerError> {
        let piece = self.check(frame);
        if piece.is_err() {
            self.stage = Stage::Done;
        }
        piece
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
            (Stage::Start, Body::Refused(reason)) => {
                self.stage = Stage::Done;
                Ok(AnswerPart::Refused(reason))
            }
            (Stage::Start, Body::Head { status, headers }) => {
                self.stage = Stage::Body;
                Ok(AnswerPart::Head { status, headers })
            }
            (Stage::Body, Body::Chunk(bytes)) => {
                self.bytes += bytes.len() as u64;
                Ok(AnswerPart::Chunk(bytes))
            }
            (Stage::Body, Body::End { bytes, tokens }) if bytes == self.bytes => {
                self.stage = Stage::Done;
                Ok(AnswerPart::End { tokens })
            }
            (Stage::Body, Body::End { .. }) => Err(AnswerError::Truncated),
            (Stage::Start | Stage::Body, Body::Broken(cause)) => {
                Err(AnswerError::Broken { cause })
            }
            _ => Err(AnswerError::Order),
        }
    }
}
