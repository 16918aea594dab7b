//! A monotonic clock that advances while the machine is suspended.
//!
//! `CLOCK_MONOTONIC`, the clock of [`Instant`], stops during a suspension. With it, a
//! process that was suspended for ten seconds would compute ages ten seconds too short,
//! and report stale data to other processes as fresh.

use nix::time::{ClockId, clock_gettime};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// Time since boot, including suspensions (`CLOCK_BOOTTIME`).
pub fn uptime() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or_else(|_| monotonic(), Duration::from)
}

/// Fallback where the system has no `CLOCK_BOOTTIME`: time since the first call, without
/// suspensions.
fn monotonic() -> Duration {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed()
}
