//! A clock that goes on while the machine is suspended.
//!
//! The usual monotonic clock stands still then. A process that was suspended for ten
//! seconds would take what it learned before for as fresh as then, and tell it to others
//! as such.

use nix::time::{ClockId, clock_gettime};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// Time since the machine started, suspensions included.
pub fn uptime() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or_else(|_| running(), Duration::from)
}

/// The same without suspensions, since the first call, where the system has no such clock.
fn running() -> Duration {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed()
}
