//! The newest read of the list of endpoints, passed on from the entries that read
//! it to all others, and what entries met at its endpoints.
//!
//! Times are those of a clock that goes on while the machine is suspended
//! ([`dogwoodhill_daemon::clock`]).
//!
//! Nothing here is durable, and nobody waits for it: an entry that hears of no
//! fresh read reads by itself. Two entries are asked to read for all, those first by
//! name among the ones that lately could; so a reader that dies, freezes or is cut
//! off from the list is replaced as soon as another one had to read by itself.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity::hash;
use dogwoodhill_policy::shared_health::{
    EndpointIndex, HealthReport, ListSlot, SharedHealth,
};
use dogwoodhill_wire::demand::{DemandReport, Echo, EndpointVerdict, Stamp};
use dogwoodhill_wire::list::{EndpointRecord, ListHistory, ListRead, Mark};
use std::sync::{Arc, Mutex, PoisonError};

/// Entries that are asked to read. One may be lost at any moment.
const READERS: usize = 2;
/// How long an entry counts that tells nothing more: four of its intervals.
const KEPT: Duration = Duration::from_secs(2);
/// How long an entry counts as one that can read: three intervals of a reader.
const READS: Duration = Duration::from_secs(3);
/// How long verdicts are told to all that ask before they are worked out anew: a tenth of
/// the interval at which an entry asks.
const FRESH: Duration = Duration::from_millis(50);
/// Time under way from which what an entry met counts for nothing: the interval at which
/// entries tell, so that what is missed is told anew as soon as it is met again.
const LATE: Duration = Duration::from_millis(500);
/// Bytes of whole lists that are told in a second. A control instance has a
/// link of 100 Mbit/s; hundreds of entries that start together and were all told at once
/// would share it, so that none of them has its list before it gives up and asks again.
/// One after the other, each has it within some 100 ms of its turn.
const WHOLE_BYTES: f64 = 10_000_000.0;
/// Bytes of whole lists that are told at the same moment: what the link carries within the
/// interval at which entries without a list ask.
const WHOLE_BURST: f64 = 1_000_000.0;
/// Most entries that are held: five times the size that the design is made for.
const MOST: usize = 2_500;
/// Most endpoints of a list that is passed on: eight times that size.
const MOST_ENDPOINTS: usize = 10_000;

/// An entry that told lately.
#[derive(Debug)]
struct Teller {
    entry: String,
    told: Duration,
    /// When it asked for the read that it told last.
    read: Option<Duration>,
}

/// Bytes of whole lists that may be told.
#[derive(Clone, Copy, Debug, Default)]
struct Allowance {
    /// Bytes told lately that count still; they fade by [`WHOLE_BYTES`] a second.
    told: f64,
    at: Duration,
}

impl Allowance {
    /// Whether `bytes` may be told at `now`; one list always may, however large it is.
    fn take(&mut self, now: Duration, bytes: usize) -> bool {
        let faded = now.saturating_sub(self.at).as_secs_f64() * WHOLE_BYTES;
        self.told = (self.told - faded).max(0.0);
        self.at = now;
        let allowed = self.told < WHOLE_BURST;
        if allowed {
            self.told += bytes as f64;
        }
        allowed
    }
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by entry.
    tellers: Vec<Teller>,
    /// When any entry told last.
    told: Duration,
    /// The newest list that was read, and earlier ones.
    contents: ListHistory,
    /// When it was read, and how long that took.
    read: Option<(Duration, Duration)>,
    whole: Allowance,
    sightings: SharedHealth,
    /// What is told of them, and when it was worked out.
    verdicts: Option<(Duration, Vec<EndpointVerdict>)>,
}

/// What entries told one instance of the list. Clones share it.
#[derive(Clone, Debug)]
pub struct Lists {
    /// Names this run of the instance.
    run: u64,
    state: Arc<Mutex<State>>,
}

impl Default for Lists {
    fn default() -> Self {
        Self {
            run: rand::random::<u64>().max(1),
            state: Arc::default(),
        }
    }
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
    /// The time of an answer.
    pub fn stamp(&self, now: Duration) -> Stamp {
        Stamp {
            run: self.run,
            at: now,
        }
    }

    /// How long a message was under way at least that has this echo and arrived at `now`.
    /// Without an echo of this run nothing is known, and nothing is assumed.
    pub fn under_way(&self, now: Duration, echo: Option<Echo>) -> Duration {
        let own = echo.filter(|echo| echo.stamp.run == self.run);
        let passed = own.map(|echo| {
            let since = self.stamp(now).at.saturating_sub(echo.stamp.at);
            since.saturating_sub(echo.since)
        });
        passed.unwrap_or_default()
    }

    /// The read that an entry tells, with the time that it was under way added to its age.
    /// A message that lay before an instance which stood still would look as fresh
    /// otherwise as when it was written, and put an old list in place of a newer one.
    pub fn dated(
        &self,
        now: Duration,
        echo: Option<Echo>,
        list: Option<ListRead>,
    ) -> Option<ListRead> {
        let under_way = self.under_way(now, echo);
        list.map(|list| ListRead {
            age: list.age.saturating_add(under_way),
            ..list
        })
    }

    /// Takes in what `entry` read, if it did; `held` is the mark of the content that
    /// it has.
    pub fn tell(
        &self,
        now: Duration,
        entry: &str,
        held: Mark,
        list: Option<ListRead>,
    ) -> ListNews {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.forget_tellers(now);
        let read = list.as_ref().and_then(|list| now.checked_sub(list.age));
        state.note(now, entry, read);
        if let (Some(list), Some(read)) = (list, read) {
            state.take(&list, read, entry);
        }
        let reader = state.reads(now, entry);
        let newest = state.newest(now, held);
        ListNews { reader, newest }
    }

    /// Takes in what an entry met at the endpoints of the list that it has, lately: what was
    /// told long ago, and lay before an instance that stood still, says nothing of now.
    pub fn sighted(&self, now: Duration, tell: &DemandReport) {
        if self.under_way(now, tell.echo) > LATE {
            return;
        }
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.read.is_none() || state.contents.newest().mark != tell.list_mark {
            // Its places are those of another list; it will tell again.
            return;
        }
        let met = tell.observations.iter().map(|met| {
            let sight = HealthReport {
                replaced: met.replaced,
                unreached: met.unreached,
                alive: false,
                answered: met.answered,
                failed: met.failed,
            };
            (met.list_index, sight)
        });
        let heard = HealthReport {
            alive: true,
            ..HealthReport::default()
        };
        let heard = bits(&tell.responding).map(|place| (place, heard));
        let entry = hash(tell.entry.as_bytes());
        state.sightings.record(now, entry, met.chain(heard));
    }

    /// Of some endpoints' runs, those that an entry heard from lately. None where its places
    /// are those of another list, or its message lay for long.
    pub fn heard_of(
        &self,
        now: Duration,
        tell: &DemandReport,
        runs: &[Incarnation],
    ) -> Vec<Incarnation> {
        if runs.is_empty() || self.under_way(now, tell.echo) > LATE {
            return Vec::new();
        }
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let newest = state.contents.newest();
        if newest.mark != tell.list_mark {
            return Vec::new();
        }
        let heard = |run: &&Incarnation| {
            let found = newest
                .endpoints
                .binary_search_by(|known| known.run.cmp(run));
            found.is_ok_and(|place| {
                let byte = tell.responding.get(place / 8);
                byte.is_some_and(|byte| byte & (1 << (place % 8)) != 0)
            })
        };
        runs.iter().filter(heard).cloned().collect()
    }

    /// What entries together see of the endpoints of the newest read.
    pub fn verdicts(&self, now: Duration) -> Vec<EndpointVerdict> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((at, told)) = &state.verdicts
            && now.saturating_sub(*at) < FRESH
        {
            return told.clone();
        }
        let verdicts = state.sightings.verdicts(now);
        let told = verdicts
            .into_iter()
            .map(|(list_index, verdict)| EndpointVerdict {
                list_index,
                verdict: verdict.into(),
            });
        let told: Vec<EndpointVerdict> = told.collect();
        let before = state.verdicts.replace((now, told.clone()));
        let before = before.map_or_else(Vec::new, |(_, before)| before);
        let endpoints = &state.contents.newest().endpoints;
        for new in told.iter().filter(|new| !before.contains(new)) {
            log_verdict(endpoints, new.list_index, &format!("{:?}", new.verdict));
        }
        let place = |verdict: &EndpointVerdict| verdict.list_index;
        for old in before {
            if told.binary_search_by_key(&old.list_index, place).is_err() {
                log_verdict(endpoints, old.list_index, "sound");
            }
        }
        told
    }
}

/// Logs what entries together see of an endpoint, where that has changed.
fn log_verdict(endpoints: &[EndpointRecord], place: EndpointIndex, verdict: &str) {
    let Some(listed) = endpoints.get(place as usize) else {
        return;
    };
    Event::new("endpoint-verdict")
        .field("endpoint", &listed.run)
        .field("service", &listed.service)
        .field("verdict", verdict.to_lowercase())
        .info();
}

/// Places of the bits that are set.
fn bits(bytes: &[u8]) -> impl Iterator<Item = EndpointIndex> {
    (0..).zip(bytes).flat_map(|(at, byte)| {
        let set = (0..8).filter(move |bit| byte & (1 << bit) != 0);
        set.map(move |bit| at * 8 + bit)
    })
}

impl State {
    /// The newest read for an entry that has the list of `held`; `None` also where it has to
    /// wait for its turn.
    fn newest(&mut self, now: Duration, held: Mark) -> Option<ListRead> {
        let (read, took) = self.read?;
        let news = self.contents.read_for(held, now.saturating_sub(read), took);
        let bytes = news.whole.as_ref().map_or(0, |whole| whole.size());
        (bytes == 0 || self.whole.take(now, bytes)).then_some(news)
    }

    /// Forgets entries that tell nothing more. Where nobody at all was heard for so long that
    /// all would be forgotten, it is this instance that stood still or was cut off; with all
    /// forgotten, each entry that tells would be asked to read until two before it by name
    /// do.
    fn forget_tellers(&mut self, now: Duration) {
        let silent = now.saturating_sub(self.told);
        if silent >= KEPT {
            self.tellers.iter_mut().for_each(|t| t.told += silent);
        }
        self.tellers.retain(|t| now.saturating_sub(t.told) < KEPT);
        self.told = now;
    }

    fn note(&mut self, now: Duration, entry: &str, read: Option<Duration>) {
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
    fn take(&mut self, list: &ListRead, read: Duration, entry: &str) {
        if self.read.is_some_and(|(held, _)| held >= read) {
            return;
        }
        let read = Some((read, list.took));
        if self.read.is_some() && self.contents.newest().mark == list.mark {
            self.read = read;
            return;
        }
        let Some(content) = self.contents.resolve(list) else {
            return;
        };
        if content.endpoints.len() > MOST_ENDPOINTS {
            return;
        }
        Event::new("list-told")
            .field("mark", format!("{:016x}", list.mark))
            .field("entry", entry)
            .field("endpoints", content.endpoints.len())
            .field("age_ms", list.age.as_millis())
            .field("took_ms", list.took.as_millis())
            .info();
        let old = &self.contents.newest().endpoints;
        let kept = content.endpoints.iter().map(|listed| {
            let found = old.binary_search_by(|known| known.run.cmp(&listed.run));
            ListSlot {
                previous: found.ok(),
                service: hash(listed.service.as_bytes()),
            }
        });
        self.sightings.update_list(kept);
        self.verdicts = None;
        self.contents.put(content);
        self.read = read;
    }

    /// Whether `entry` is among those that read.
    fn reads(&self, now: Duration, entry: &str) -> bool {
        let can = |teller: &&Teller| {
            let read = teller.read.map(|read| now.saturating_sub(read));
            read.is_some_and(|age| age < READS)
        };
        let able = self.tellers.iter().filter(can);
        let others = self.tellers.iter().filter(|teller| !can(teller));
        let mut readers = able.chain(others).take(READERS);
        readers.any(|teller| teller.entry == entry)
    }
}
