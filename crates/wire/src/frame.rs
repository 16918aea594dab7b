//! Frames of an agent's answer.

use crate::attempt::Header;
use bytes::Bytes;
use derive_more::Display;
pub use dogwoodhill_core::load::Load;
use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Why an agent refused an attempt. All but [`RefusalReason::Repeated`] say that no
/// byte reached the endpoint.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// No free slot for this tier.
    #[display("full")]
    Full,
    /// The endpoint is being taken out of use.
    #[display("leaving")]
    Leaving,
    /// The endpoint accepts no connection.
    #[display("unreachable")]
    Unreachable,
    /// The attempt was delivered before. This delivery started nothing, but
    /// the earlier one may have.
    #[display("repeated")]
    Repeated,
    /// The attempt names another endpoint, service or fencing number.
    #[display("misdirected")]
    Misdirected,
    /// Too little time was left to start.
    #[display("late")]
    Late,
}

/// What one frame says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The attempt was not run and never will be.
    Refused(RefusalReason),
    /// The endpoint's status and headers.
    Head {
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<Header>,
    },
    /// Part of the endpoint's body.
    Chunk(Bytes),
    /// The answer is complete.
    End {
        /// Bytes in all chunks together.
        bytes: u64,
        /// Tokens in the answer; 0 for plain services.
        tokens: u32,
    },
    /// The answer broke off; the request may have run.
    Broken(String),
}

/// One frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Attempt the frame belongs to.
    pub attempt: AttemptId,
    /// Position in the answer, from 0.
    pub seq: u32,
    /// The agent's load, on the first and the last frame.
    pub load: Option<Load>,
    /// Content.
    pub body: Body,
}
