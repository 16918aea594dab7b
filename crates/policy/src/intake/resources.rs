//! What an instance has, and the parts of it that clients may take.

use super::ledger::BodyBudget;

/// Memory of a connection, in bytes: its buffers, the largest usual head, and its tasks.
const CONNECTION_BYTES: usize = 36 * 1024;
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

    /// Connections of callers.
    pub fn caller_connections(&self) -> usize {
        self.connections(5, 2)
    }

    /// Connections of other processes of the router.
    pub fn peer_connections(&self) -> usize {
        self.connections(4, 2)
    }

    /// Connections of operators.
    pub fn operator_connections(&self) -> usize {
        self.connections(16, 8)
    }

    /// Connections for readiness and metrics.
    pub fn status_connections(&self) -> usize {
        self.connections(32, 16)
    }

    /// Connections that take at most these parts of the memory and the descriptors.
    fn connections(&self, memory_part: usize, descriptor_part: usize) -> usize {
        let by_memory = self.memory / memory_part / CONNECTION_BYTES;
        by_memory.min(self.descriptors / descriptor_part).max(1)
    }
}
