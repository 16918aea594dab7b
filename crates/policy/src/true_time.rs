//! True time, estimated as the median of many wall clocks relative to one steady clock.
//!
//! A single wall clock may be wrong, or may be stepped. The median of several moves only
//! if most of them do. Once settled, the estimate follows the median slowly, since true
//! time and a steady clock hardly drift apart, so that even a step of most clocks moves
//! it little.

use crate::Moment;
use dogwoodhill_core::prelude::*;

/// Identifies a wall clock: a hash of the run of the process that reports it.
pub type ClockId = u64;

/// How long a reading counts: several of the intervals at which entries report.
const READING_VALIDITY: Duration = Duration::from_secs(3);
/// Maximum number of clocks that are used, enough for a stable median.
const MAX_CLOCKS: usize = 512;
/// Time after the first reading in which the estimate equals the median: instances that
/// start together have all reported by its end.
const SETTLING_PERIOD: Duration = Duration::from_secs(5);
/// Maximum change of the settled offset, in seconds per second. A wrong initial offset is
/// corrected within minutes, and a step of the median that lasts for seconds moves it by
/// some hundredths of a second.
const MAX_SLEW: f64 = 0.01;

#[derive(Clone, Copy, Debug)]
struct Reading {
    clock: ClockId,
    /// When it was received, on the steady clock.
    at: Moment,
    /// Wall clock minus steady clock.
    offset: Duration,
}

/// The estimated offset of true time from a steady clock.
#[derive(Clone, Debug, Default)]
pub struct TrueClock {
    /// The newest reading of each clock, sorted by clock.
    readings: Vec<Reading>,
    /// When the first reading was received.
    first: Option<Moment>,
    offset: Option<Duration>,
    /// When the offset was last updated.
    updated: Moment,
}

impl TrueClock {
    /// Records that a wall clock showed `wall` at `now` on the steady clock.
    pub fn record(&mut self, now: Moment, clock: ClockId, wall: TrueTime) {
        self.first.get_or_insert(now);
        self.readings.retain(|reading| {
            now.saturating_sub(reading.at) < READING_VALIDITY || reading.clock == clock
        });
        let new = Reading {
            clock,
            at: now,
            offset: wall.saturating_sub(now),
        };
        match self
            .readings
            .binary_search_by_key(&clock, |reading| reading.clock)
        {
            Ok(at) => self.readings[at] = new,
            Err(at) if self.readings.len() < MAX_CLOCKS => self.readings.insert(at, new),
            Err(_) => {}
        }
        self.update_offset(now);
    }

    /// True time at `now`; `None` before the first reading.
    pub fn now(&self, now: Moment) -> Option<TrueTime> {
        self.offset.map(|offset| offset + now)
    }

    fn update_offset(&mut self, now: Moment) {
        let Some(median) = self.median() else { return };
        let settling = self
            .first
            .is_none_or(|first| now.saturating_sub(first) < SETTLING_PERIOD);
        let passed = now.saturating_sub(self.updated);
        self.updated = now;
        self.offset = match self.offset {
            Some(current) if !settling => {
                let limit = passed.mul_f64(MAX_SLEW);
                Some(median.clamp(current.saturating_sub(limit), current + limit))
            }
            _ => Some(median),
        };
    }

    fn median(&self) -> Option<Duration> {
        let mut offsets: Vec<Duration> =
            self.readings.iter().map(|reading| reading.offset).collect();
        offsets.sort_unstable();
        offsets.get(offsets.len().checked_sub(1)? / 2).copied()
    }
}
