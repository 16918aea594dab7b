//! Bounded reading of what clients send.
//!
//! Clients are not under the operator's control: they may send more than they announce or
//! stop in the middle, many at once. What they can make an instance hold is therefore
//! bounded, whatever they do:
//!
//! * [`body`]: a body is copied into one buffer, so it costs what was received and not
//!   what its chunks cost;
//! * [`buffer`]: long buffers are returned to the system, not to the heap;
//! * [`memory`]: the buffers of all bodies are reserved from one account;
//! * [`connections`]: a full listener closes the connection that makes least progress;
//! * [`progress`]: what each connection waits for.
//!
//! The decisions are in `dogwoodhill_policy::intake`.

pub mod body;
pub mod buffer;
pub mod connections;
pub mod memory;
pub mod progress;
pub mod resources;

/// Common imports.
pub mod prelude {
    pub use crate::body::{BodyError, BodyLimits, WholeBody};
    pub use crate::buffer::Buffer;
    pub use crate::connections::{ConnectionGuard, Connections, RequestSpace};
    pub use crate::memory::{BodyMemory, BodySpace};
    pub use crate::progress::{
        ConnectionProgress, ObservedBody, ObservedStream, RequestGuard,
    };
    pub use dogwoodhill_policy::intake::{ConnectionLimits, Resources, request_bytes};
}
