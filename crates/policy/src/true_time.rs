//! True time, as the middle of many wall clocks held against one steady clock.
//!
//! A single wall clock may be off, or be stepped. The middle of several moves only where
//! most of them do; and once it is settled it follows slowly, since true time and a steady
//! clock hardly drift apart, so that even a step of most clocks moves it little.

use crate::Moment;
use dogwoodhill_core::prelude::*;

/// Names whose wall clock was told: a hash of an instance's run.
pub type ClockId = u64;

/// How long a told clock counts: some intervals at which entries tell.
const KEPT: Duration = Duration::from_secs(3);
/// Most clocks that count, enough for a steady middle.
const MOST: usize = 512;
/// Time after the first told clock in which the middle is taken as it is: instances that
/// start together have all told by then.
const SETTLES: Duration = Duration::from_secs(5);
/// How far the offset may follow the middle in a second once it is settled. A wrong start
/// heals in minutes, and a step that lasts for seconds moves it by some hundredths.
const SLEW: f64 = 0.01;

#[derive(Clone, Copy, Debug)]
struct Told {
    teller: ClockId,
    at: Moment,
    offset: Duration,
}

/// What a steady clock has to be moved by to show true time.
#[derive(Clone, Debug, Default)]
pub struct TrueClock {
    /// Sorted by teller.
    told: Vec<Told>,
    first: Option<Moment>,
    offset: Option<Duration>,
    moved: Moment,
}

impl TrueClock {
    /// A teller's wall clock showed `wall` at `now` on the steady clock.
    pub fn record(&mut self, now: Moment, teller: ClockId, wall: TrueTime) {
        self.first.get_or_insert(now);
        self.told
            .retain(|told| now.saturating_sub(told.at) < KEPT || told.teller == teller);
        let new = Told {
            teller,
            at: now,
            offset: wall.saturating_sub(now),
        };
        match self.told.binary_search_by_key(&teller, |told| told.teller) {
            Ok(at) => self.told[at] = new,
            Err(at) if self.told.len() < MOST => self.told.insert(at, new),
            Err(_) => {}
        }
        self.follow(now);
    }

    /// True time at `now`; `None` before any clock was told.
    pub fn now(&self, now: Moment) -> Option<TrueTime> {
        self.offset.map(|offset| offset + now)
    }

    fn follow(&mut self, now: Moment) {
        let Some(middle) = self.middle() else { return };
        let settling = self
            .first
            .is_none_or(|first| now.saturating_sub(first) < SETTLES);
        let passed = now.saturating_sub(self.moved);
        self.moved = now;
        self.offset = match self.offset {
            Some(held) if !settling => {
                let most = passed.mul_f64(SLEW);
                Some(middle.clamp(held.saturating_sub(most), held + most))
            }
            _ => Some(middle),
        };
    }

    fn middle(&self) -> Option<Duration> {
        let mut offsets: Vec<Duration> =
            self.told.iter().map(|told| told.offset).collect();
        offsets.sort_unstable();
        offsets.get(offsets.len().checked_sub(1)? / 2).copied()
    }
}
