//! How long prompts wait at each endpoint, as all entries together see it.
//!
//! The pattern: a hundred entries send a thousand prompts a second to 180 endpoints. Ten
//! prompts wait at an endpoint while each entry has sent it one in the last seventeen
//! seconds, so by itself an entry takes every queue for empty. It follows the beginning
//! of a prompt to an endpoint that is full, which rejects it, while others have room.
//! With a tenth of the entries before a tenth of the endpoints each of them sees ten
//! times as much, and is right more often: the larger the deployment, the worse it
//! decides alone.
//!
//! So entries tell one control instance what they see ([`Sight`]), and are told one byte
//! for each endpoint ([`encode`]), in the order of the list that both have. An entry that
//! is told nothing goes by what it sees itself, as before.
//!
//! Entries that hear the same thing at the same moment do not run to the same endpoint:
//! a prompt prefers the endpoints that its own beginning ranks first
//! ([`crate::affinity`]), and what an entry has sent since it was told counts on top.

use crate::wait::Waits;
use std::time::Duration;

/// How long what an entry told counts: three of the intervals at which entries tell.
const KEPT: Duration = Duration::from_millis(1_600);
/// Most entries that are held: five times the size that the design is made for.
const MOST: usize = 2_500;
/// Wait of the code 1; shorter ones are told as none. A tenth of the shortest objective.
const SHORTEST: f64 = 0.010;
/// Ratio of the waits of two codes that follow each other: the 255 codes reach from 10 ms
/// to 18 s, finer than any decision needs.
const RATIO: f64 = 1.03;

/// A place in the list of endpoints that teller and listener have.
pub type Place = u32;

/// What one entry sees of the queue at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sight {
    /// Time that reading its prompts takes that were sent there and are not read.
    pub work: Duration,
    /// For how long the oldest of them waits.
    pub oldest: Duration,
    /// Wait of the prompt that was read last, if any was since the entry told last.
    pub learned: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Teller {
    entry: String,
    at: Duration,
    sights: Vec<(Place, Sight)>,
}

/// What all entries see of the queues at the endpoints of one list.
#[derive(Clone, Debug, Default)]
pub struct Queues {
    /// By place in the list.
    waits: Vec<Waits>,
    /// Sorted by entry.
    tellers: Vec<Teller>,
}

impl Queues {
    /// The list has changed: `before` names for each endpoint on it the place that it had,
    /// if it had one. What was learned of those that stay is kept.
    pub fn relist(&mut self, before: impl Iterator<Item = Option<usize>>) {
        let old = std::mem::take(&mut self.waits);
        let stays = |place: Option<usize>| {
            let waits = place.and_then(|place| old.get(place));
            waits.cloned().unwrap_or_default()
        };
        self.waits = before.map(stays).collect();
        self.tellers.clear();
    }

    /// Takes in what `entry` sees, in place of what it told before.
    pub fn tell(&mut self, now: Duration, entry: &str, mut sights: Vec<(Place, Sight)>) {
        sights.retain(|(place, _)| (*place as usize) < self.waits.len());
        sights.truncate(self.waits.len());
        for (place, sight) in &sights {
            if let Some(wait) = sight.learned {
                self.waits[*place as usize].learn(now, wait);
            }
        }
        self.tellers
            .retain(|teller| now.saturating_sub(teller.at) < KEPT);
        let found = self
            .tellers
            .binary_search_by(|teller| teller.entry.as_str().cmp(entry));
        let new = Teller {
            entry: entry.to_string(),
            at: now,
            sights,
        };
        match found {
            Ok(at) => self.tellers[at] = new,
            Err(at) if self.tellers.len() < MOST => self.tellers.insert(at, new),
            Err(_) => {}
        }
    }

    /// The wait of a prompt that is sent now, by place: the reading that is ahead of it,
    /// or what prompts before it really waited, whichever is longer.
    pub fn waits(&self, now: Duration) -> Vec<Duration> {
        let mut work = vec![Duration::ZERO; self.waits.len()];
        let mut waits: Vec<Duration> = self
            .waits
            .iter()
            .map(|waits| waits.predicted(now))
            .collect();
        for teller in &self.tellers {
            let age = now.saturating_sub(teller.at);
            if age >= KEPT {
                continue;
            }
            for (place, sight) in &teller.sights {
                let place = *place as usize;
                work[place] = work[place].saturating_add(sight.work);
                waits[place] = waits[place].max(sight.oldest);
            }
        }
        let longer = |(wait, work): (Duration, Duration)| wait.max(work);
        waits.into_iter().zip(work).map(longer).collect()
    }
}

/// The byte that tells a wait; 0 for none.
pub fn encode(wait: Duration) -> u8 {
    let ratio = wait.as_secs_f64() / SHORTEST;
    if ratio < 1.0 {
        return 0;
    }
    let steps = ratio.ln() / RATIO.ln();
    (steps.round() as u64).min(254) as u8 + 1
}

/// The wait that a byte tells.
pub fn decode(code: u8) -> Duration {
    match code.checked_sub(1) {
        None => Duration::ZERO,
        Some(steps) => Duration::from_secs_f64(SHORTEST * RATIO.powi(steps.into())),
    }
}
