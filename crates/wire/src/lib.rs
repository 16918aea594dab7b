//! Messages between the router's own processes, and the client that sends
//! them.
//!
//! Entry and agent talk over HTTP/2 with one `rmp-serde` message in the body
//! of the request and a sequence of length-prefixed frames in the body of the
//! answer. The crate exists so that both ends share one definition of what a
//! complete answer is. Its invariants:
//!
//! * every frame carries the attempt id it belongs to and its position, so
//!   that a frame of another attempt, a repeated one or a lost one is seen;
//! * an answer is complete only when its `End` frame arrived and the byte
//!   count in it agrees with what was received ([`answer::Answer`]);
//! * no message is longer than [`codec::MAX_FRAME`].

pub mod answer;
pub mod attempt;
pub mod client;
pub mod codec;
pub mod compress;
pub mod control;
pub mod control_client;
pub mod demand;
pub mod document_watch;
pub mod frame;
pub mod limits;
pub mod list;
pub mod routes;
pub mod usage;

/// The names most modules need, for one import line.
pub mod prelude {
    pub use crate::answer::{Answer, AnswerError, AnswerPart};
    pub use crate::attempt::{Attempt, Header};
    pub use crate::codec::{FrameReader, encode};
    pub use crate::frame::{Body, Frame, Load, RefusalReason};
}
