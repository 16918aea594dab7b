//! What an instance has, and the parts of it that clients may take.

use super::ledger::BodyBudget;

/// Memory of a connection, in bytes: its buffers, the largest usual head, and its tasks.
const CONNECTION_BYTES: usize = 36 * 1024;
/// Memory of a request without its head and its body, in bytes: its tasks, and what is
/// kept of it while it is queued.
const REQUEST_BYTES: usize = 4 * 1024;
/// Memory of a field of a head besides its name and its value, in bytes.
const FIELD_BYTES: usize = 128;
/// Default memory: that of the smallest instances, in bytes.
const DEFAULT_MEMORY: usize = 110_000_000;
/// Default number of descriptors.
const DEFAULT_DESCRIPTORS: usize = 1_024;

/// Memory and descriptors of an instance. The parts add up to less than the whole; the
/// rest is for the program itself and for what its allocator doesn't return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resources {
    /// Memory in bytes.
    pub memory: usize,
    /// Number of open descriptors.
    pub descriptors: usize,
}

impl Default for Resources {
    fn default() -> Self {
        Self {
            memory: DEFAULT_MEMORY,
            descriptors: DEFAULT_DESCRIPTORS,
        }
    }
}

impl Resources {
    /// Memory of the bodies of requests.
    pub fn bodies(&self) -> BodyBudget {
        BodyBudget {
            total: self.memory * 3 / 10,
            large: self.memory / 5,
        }
    }

    /// Memory of buffered responses, in bytes.
    pub fn responses(&self) -> usize {
        self.memory * 3 / 20
    }

    /// Callers.
    pub fn callers(&self) -> ConnectionLimits {
        self.limits(5, 2, self.memory * 3 / 20)
    }

    /// Other processes of the router.
    pub fn peers(&self) -> ConnectionLimits {
        self.limits(4, 2, self.memory * 3 / 20)
    }

    /// Operators.
    pub fn operators(&self) -> ConnectionLimits {
        self.limits(16, 8, self.memory / 20)
    }

    /// Those that ask for readiness and metrics.
    pub fn status(&self) -> ConnectionLimits {
        self.limits(32, 16, self.memory / 40)
    }

    /// As many connections as take at most these parts of the memory and the descriptors.
    fn limits(
        &self,
        memory_part: usize,
        descriptor_part: usize,
        requests: usize,
    ) -> ConnectionLimits {
        let by_memory = self.memory / memory_part / CONNECTION_BYTES;
        let by_descriptors = self.descriptors / descriptor_part;
        ConnectionLimits {
            connections: by_memory.min(by_descriptors).max(1),
            requests,
        }
    }
}

/// What the clients of a listener may take together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections.
    pub connections: usize,
    /// Memory of requests in progress without their bodies, in bytes.
    pub requests: usize,
}

/// Memory of a request in progress without its body, in bytes, where its head has this
/// number of fields, and bytes in their names and values.
pub fn request_bytes(fields: usize, bytes: usize) -> usize {
    REQUEST_BYTES + fields * FIELD_BYTES + bytes
}
