//! The newest read of the list of endpoints, passed on from the entries that read
//! it to all others, and the queues that entries see at its endpoints.
//!
//! Nothing here is durable, and nobody waits for it: an entry that hears of no
//! fresh read reads by itself. Two entries are asked to read for all, those first by
//! name among the ones that lately could; so a reader that dies, freezes or is cut
//! off from the list is replaced as soon as another one had to read by itself.

use dogwoodhill_policy::queues::{Queues, Sight, encode};
use dogwoodhill_wire::demand::QueueSight;
use dogwoodhill_wire::list::{ListRead, Listed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Entries that are asked to read. One may be lost at any moment.
const READERS: usize = 2;
/// How long an entry counts that tells nothing more: four of its intervals.
const KEPT: Duration = Duration::from_secs(2);
/// How long an entry counts as one that can read: three intervals of a reader.
const READS: Duration = Duration::from_secs(3);
/// How long worked-out waits are told to all that ask: a tenth of the interval at which
/// an entry asks.
const FRESH: Duration = Duration::from_millis(50);
/// Most entries that are held: five times the size that the design is made for.
const MOST: usize = 2_500;
/// Most endpoints of a list that is passed on: eight times that size.
const MOST_ENDPOINTS: usize = 10_000;

/// An entry that told lately.
#[derive(Debug)]
struct Teller {
    entry: String,
    told: Instant,
    /// When it asked for the read that it told last.
    read: Option<Instant>,
}

/// The newest read.
#[derive(Debug)]
struct Held {
    mark: u64,
    read: Instant,
    /// Sorted by name and start.
    endpoints: Vec<Listed>,
}

/// Waits as they are told, and when they were worked out.
#[derive(Debug)]
struct Waits {
    at: Duration,
    codes: Vec<u8>,
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by entry.
    tellers: Vec<Teller>,
    held: Option<Held>,
    queues: Queues,
    waits: Option<Waits>,
    /// From which the times of the queues are measured.
    start: Option<Instant>,
}

/// What entries told one instance of the list. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Lists {
    state: Arc<Mutex<State>>,
}

/// What an entry is told of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListNews {
    /// Whether it reads for the others.
    pub reader: bool,
    /// The newest read, if one is known.
    pub newest: Option<ListRead>,
}

impl Lists {
    /// Takes in what `entry` read, if it did; `held` is the mark of the content that
    /// it has.
    pub fn tell(
        &self,
        now: Instant,
        entry: &str,
        held: u64,
        list: Option<ListRead>,
    ) -> ListNews {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.tellers.retain(|t| now.duration_since(t.told) < KEPT);
        let read = list.as_ref().and_then(|list| now.checked_sub(list.age));
        state.note(now, entry, read);
        if let (Some(list), Some(read)) = (list, read) {
            state.take(list, read);
        }
        ListNews {
            reader: state.reads(now, entry),
            newest: state.held.as_ref().map(|newest| ListRead {
                mark: newest.mark,
                age: now.duration_since(newest.read),
                endpoints: (newest.mark != held).then(|| newest.endpoints.clone()),
            }),
        }
    }
}

impl Lists {
    /// Takes in the queues that `entry` sees, whose list is the one with the mark `held`.
    /// Returns the waits at the endpoints of the newest read, as all entries together see
    /// them: a code for each, or none where nothing waits anywhere.
    pub fn queues(
        &self,
        now: Instant,
        entry: &str,
        held: u64,
        seen: &[QueueSight],
    ) -> Vec<u8> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let start = *state.start.get_or_insert(now);
        let now = now.saturating_duration_since(start);
        if state
            .held
            .as_ref()
            .is_some_and(|newest| newest.mark == held)
        {
            let sights = seen.iter().map(|seen| (seen.place, sight(seen)));
            state.queues.tell(now, entry, sights.collect());
        }
        state.waits(now)
    }
}

fn sight(seen: &QueueSight) -> Sight {
    let time = |millis: u32| Duration::from_millis(millis.into());
    Sight {
        work: time(seen.work),
        oldest: time(seen.oldest),
        learned: seen.learned.map(time),
    }
}

impl State {
    /// Waits as they are told; worked out once for all entries that ask within a moment.
    fn waits(&mut self, now: Duration) -> Vec<u8> {
        let fresh = |waits: &&Waits| now.saturating_sub(waits.at) < FRESH;
        if let Some(waits) = self.waits.as_ref().filter(fresh) {
            return waits.codes.clone();
        }
        let mut codes: Vec<u8> = self.queues.waits(now).into_iter().map(encode).collect();
        let told = codes.iter().rposition(|code| *code > 0);
        codes.truncate(told.map_or(0, |last| last + 1));
        let waits = Waits { at: now, codes };
        self.waits.insert(waits).codes.clone()
    }

    fn note(&mut self, now: Instant, entry: &str, read: Option<Instant>) {
        match self
            .tellers
            .binary_search_by(|teller| teller.entry.as_str().cmp(entry))
        {
            Ok(at) => {
                let teller = &mut self.tellers[at];
                teller.told = now;
                teller.read = teller.read.max(read);
            }
            Err(at) if self.tellers.len() < MOST => {
                let entry = entry.to_string();
                let teller = Teller {
                    entry,
                    told: now,
                    read,
                };
                self.tellers.insert(at, teller);
            }
            Err(_) => {}
        }
    }

    /// Takes a read that is newer than the one held. One without content counts
    /// where the content is the one held.
    fn take(&mut self, list: ListRead, read: Instant) {
        if self.held.as_ref().is_some_and(|held| held.read >= read) {
            return;
        }
        match (list.endpoints, &mut self.held) {
            (_, Some(held)) if held.mark == list.mark => held.read = read,
            (Some(mut endpoints), held) if endpoints.len() <= MOST_ENDPOINTS => {
                endpoints.sort_by(|a, b| a.run.cmp(&b.run));
                let old = held.as_ref().map_or(&[][..], |held| &held.endpoints);
                let before = endpoints.iter().map(|listed| {
                    let found = old.binary_search_by(|known| known.run.cmp(&listed.run));
                    found.ok()
                });
                self.queues.relist(before);
                self.waits = None;
                *held = Some(Held {
                    mark: list.mark,
                    read,
                    endpoints,
                });
            }
            _ => {}
        }
    }

    /// Whether `entry` is among those that read.
    fn reads(&self, now: Instant, entry: &str) -> bool {
        let can = |teller: &&Teller| {
            let read = teller.read.map(|read| now.duration_since(read));
            read.is_some_and(|age| age < READS)
        };
        let able = self.tellers.iter().filter(can);
        let others = self.tellers.iter().filter(|teller| !can(teller));
        let mut readers = able.chain(others).take(READERS);
        readers.any(|teller| teller.entry == entry)
    }
}
