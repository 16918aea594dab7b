//! Internal protocol of the router's processes: messages, framing and client.
//!
//! Processes communicate over HTTP/2. The body of a request is one MessagePack message.
//! An agent answers an entry's attempt with a sequence of length-prefixed frames; all
//! other answers are one message. The crate gives both ends the same definition of a
//! complete answer. Its invariants:
//!
//! * every frame carries its attempt id and sequence number, so that a frame that is
//!   foreign, repeated or missing is detected;
//! * an answer is complete only if its `End` frame arrived with a byte count equal to the
//!   bytes received ([`answer::AnswerValidator`]);
//! * no frame is longer than [`codec::MAX_FRAME`].

pub mod answer;
pub mod attempt;
pub mod client;
pub mod codec;
pub mod compress;
pub mod contention;
pub mod control;
pub mod control_client;
pub mod demand;
pub mod document_watch;
pub mod frame;
pub mod lending;
pub mod limits;
pub mod list;
pub mod pace;
pub mod routes;
pub mod shares;
pub mod streams;
pub mod trials;
pub mod usage;

/// Re-exports of the names that most modules use.
pub mod prelude {
    pub use crate::answer::{AnswerError, AnswerPart, AnswerValidator};
    pub use crate::attempt::{Attempt, Header};
    pub use crate::codec::{FrameReader, encode};
    pub use crate::frame::{Frame, FrameBody, Load, RefusalReason};
}
