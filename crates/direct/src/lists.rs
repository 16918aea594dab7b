//! The list of endpoints as an entry knows it, from its own reads and from those
//! of other entries.

use crate::dialect::Listed;
use crate::directory::{Directory, Endpoint};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity::{hash, mix};
use dogwoodhill_policy::reads::{Reads, STALE};
use dogwoodhill_policy::sightings::Verdict;
use dogwoodhill_wire::demand::{EndpointSight, EndpointVerdict, Totals, VerdictWord};
use dogwoodhill_wire::list::ListRead;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::Notify;

/// The reads an entry knows of.
#[derive(Debug)]
pub struct Lists {
    /// From which the times of reads are measured: [`STALE`] before the entry's start.
    base: Instant,
    state: Mutex<State>,
    /// Told when this entry has read something new.
    pub news: Notify,
    /// Told when this entry has lost an endpoint.
    pub met: Notify,
    /// Told when this entry begins to read for the others.
    pub appointed: Notify,
}

#[derive(Debug, Default)]
struct State {
    reads: Reads,
    /// Mark of the content in use.
    mark: u64,
    /// Its endpoints, sorted by name and start; `None` for those that are not used.
    places: Vec<Option<Arc<Endpoint>>>,
    /// This entry's own newest read.
    own: Option<Own>,
    /// Mark of the content that control has.
    control: Option<u64>,
}

/// An own read.
#[derive(Debug)]
struct Own {
    asked: Instant,
    mark: u64,
    endpoints: Vec<Listed>,
}

impl Default for Lists {
    fn default() -> Self {
        Self {
            base: Instant::now()
                .checked_sub(STALE)
                .unwrap_or_else(Instant::now),
            state: Mutex::default(),
            appointed: Notify::new(),
            news: Notify::new(),
            met: Notify::new(),
        }
    }
}

impl Lists {
    /// This entry read the list, which it asked for at `asked`.
    pub fn read(&self, directory: &Directory, asked: Instant, endpoints: Vec<Listed>) {
        let mut state = self.state();
        let mark = mark(&endpoints);
        if state.reads.take(asked.duration_since(self.base)) {
            state.put(directory, mark, endpoints.clone());
        }
        state.own = Some(Own {
            asked,
            mark,
            endpoints,
        });
        drop(state);
        self.news.notify_one();
    }

    /// Control answered a question that was sent at `asked`.
    pub fn heard(&self, directory: &Directory, asked: Instant, totals: &mut Totals) {
        let mut state = self.state();
        if totals.reader && !state.reads.reader() {
            self.appointed.notify_one();
        }
        state.reads.appoint(totals.reader);
        let Some(list) = totals.list.take() else {
            state.control = None;
            return;
        };
        state.control = Some(list.mark);
        let read = asked.duration_since(self.base).checked_sub(list.age);
        // One that was stale when this entry started is of no use to it.
        let Some(read) = read else { return };
        if state.mark == list.mark {
            state.reads.take(read);
            state.hear(&totals.verdicts);
            return;
        }
        let Some(endpoints) = list.endpoints else {
            return;
        };
        if state.reads.take(read) {
            state.put(directory, list.mark, endpoints);
            state.hear(&totals.verdicts);
        }
    }

    /// What this entry met at endpoints since it was asked last: news by place in the
    /// list that it has, and the places that it heard from lately, a bit each.
    pub fn sights(&self) -> (Vec<EndpointSight>, Vec<u8>) {
        let state = self.state();
        let mut sights = Vec::new();
        let mut heard = vec![0; state.places.len().div_ceil(8)];
        for (place, endpoint) in state.places.iter().enumerate() {
            let Some(sight) = endpoint.as_ref().and_then(|endpoint| endpoint.sight())
            else {
                continue;
            };
            if sight.heard {
                heard[place / 8] |= 1 << (place % 8);
            }
            if sight.replaced || sight.unreached || sight.answered > 0 {
                sights.push(EndpointSight {
                    place: place as u32,
                    replaced: sight.replaced,
                    unreached: sight.unreached,
                    answered: sight.answered,
                    failed: sight.failed,
                });
            }
        }
        (sights, heard)
    }

    /// What this entry tells control: the mark of the content that it has, and its
    /// own newest read, without the content that control has.
    pub fn told(&self) -> (u64, Option<ListRead>) {
        let state = self.state();
        let read = state.own.as_ref().map(|own| ListRead {
            mark: own.mark,
            age: own.asked.elapsed(),
            endpoints: (state.control != Some(own.mark)).then(|| own.endpoints.clone()),
        });
        (state.mark, read)
    }

    /// How long until this entry reads by itself, if nothing is heard until then.
    pub fn due(&self, interval: Duration, spread: f64) -> Duration {
        let now = self.base.elapsed();
        self.state().reads.due(now, interval, spread)
    }

    /// Whether any read of the list is known.
    pub fn known(&self) -> bool {
        self.state().reads.known()
    }

    /// Whether this entry reads for the others.
    pub fn reader(&self) -> bool {
        self.state().reads.reader()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Puts a list in use.
    fn put(&mut self, directory: &Directory, mark: u64, endpoints: Vec<Listed>) {
        let runs = endpoints.iter().map(|listed| listed.run.clone());
        let mut runs: Vec<Incarnation> = runs.collect();
        runs.sort_unstable();
        self.mark = mark;
        directory.update(endpoints);
        self.places = runs.iter().map(|run| directory.running(run)).collect();
    }

    /// Takes in what all entries see, by place; of the others nothing of note holds.
    fn hear(&self, verdicts: &[EndpointVerdict]) {
        let mut told = vec![None; self.places.len()];
        for verdict in verdicts {
            if let Some(place) = told.get_mut(verdict.place as usize) {
                *place = Some(match verdict.verdict {
                    VerdictWord::Failing => Verdict::Failing,
                    VerdictWord::Silent => Verdict::Silent,
                    VerdictWord::Replaced => Verdict::Replaced,
                });
            }
        }
        for (endpoint, verdict) in self.places.iter().zip(told) {
            if let Some(endpoint) = endpoint {
                endpoint.told(verdict);
            }
        }
    }
}

/// The same for the same endpoints in any order; never 0.
fn mark(endpoints: &[Listed]) -> u64 {
    let one = |listed: &Listed| {
        let Listed {
            run,
            service,
            address,
            domain,
            slots,
            leaving,
        } = listed;
        let text = format!("{run} {service} {address} {domain} {slots} {leaving}");
        mix(hash(text.as_bytes()))
    };
    let sum = endpoints.iter().map(one).fold(0, u64::wrapping_add);
    sum.max(1)
}
