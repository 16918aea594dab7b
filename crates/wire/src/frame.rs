//! Frames of an agent's answer to an attempt.

use crate::attempt::Header;
use bytes::Bytes;
use derive_more::Display;
pub use dogwoodhill_core::load::Load;
use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Why an agent refused an attempt. All except [`RefusalReason::Repeated`] guarantee that
/// no byte reached the endpoint.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// No free slot for this tier.
    #[display("full")]
    Full,
    /// The endpoint is being drained.
    #[display("leaving")]
    Leaving,
    /// The agent can't connect to the endpoint.
    #[display("unreachable")]
    Unreachable,
    /// The attempt was delivered before. This delivery started nothing, but the earlier
    /// one may have run.
    #[display("repeated")]
    Repeated,
    /// The attempt names another endpoint, service or fencing token.
    #[display("misdirected")]
    Misdirected,
    /// Too little time was left until the deadline to start the request.
    #[display("late")]
    Late,
}

/// Content of a frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameBody {
    /// The agent will not run the attempt.
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
        /// Total size of all chunks, in bytes.
        bytes: u64,
        /// Tokens in the answer; 0 for plain services.
        tokens: u32,
    },
    /// The endpoint's response broke off, for this reason; the request may have run.
    Broken(String),
}

/// One frame of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Attempt that the frame belongs to.
    pub attempt: AttemptId,
    /// Sequence number in the answer, starting at 0.
    pub seq: u32,
    /// Load of the endpoint; sent with the first and the last frame.
    pub load: Option<Load>,
    /// Content of the frame.
    pub body: FrameBody,
}
