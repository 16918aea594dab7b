//! The list of endpoints as an entry knows it, from its own reads and from those
//! of other entries.

use crate::dialect::Listed;
use crate::directory::{Directory, Endpoint};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity::{hash, mix};
use dogwoodhill_policy::queues;
use dogwoodhill_policy::reads::Reads;
use dogwoodhill_wire::demand::{QueueSight, Totals};
use dogwoodhill_wire::list::ListRead;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::Notify;

/// The reads an entry knows of.
#[derive(Debug)]
pub struct Lists {
    start: Instant,
    state: Mutex<State>,
    /// Told when this entry has read something new.
    pub news: Notify,
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
            start: Instant::now(),
            state: Mutex::default(),
            news: Notify::new(),
        }
    }
}

impl Lists {
    /// This entry read the list, which it asked for at `asked`.
    pub fn read(&self, directory: &Directory, asked: Instant, endpoints: Vec<Listed>) {
        let mut state = self.state();
        let mark = mark(&endpoints);
        if state.reads.take(asked.duration_since(self.start)) {
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
        state.reads.appoint(totals.reader);
        let Some(list) = totals.list.take() else {
            state.control = None;
            return;
        };
        state.control = Some(list.mark);
        let waits = std::mem::take(&mut totals.waits);
        let read = asked.duration_since(self.start).checked_sub(list.age);
        // A read from before this entry's start is no news: it reads by itself.
        let Some(read) = read else { return };
        if state.mark == list.mark {
            state.reads.take(read);
            state.hear(&waits);
            return;
        }
        let Some(endpoints) = list.endpoints else {
            return;
        };
        if state.reads.take(read) {
            state.put(directory, list.mark, endpoints);
            state.hear(&waits);
        }
    }

    /// The queues that this entry sees, by place in the list that it has.
    pub fn queues(&self) -> Vec<QueueSight> {
        let state = self.state();
        let places = (0..).zip(&state.places);
        let seen = places.filter_map(|(place, endpoint)| {
            let sight = endpoint.as_ref()?.sight()?;
            Some(QueueSight {
                place,
                work: millis(sight.work),
                oldest: millis(sight.oldest),
                learned: sight.learned.map(millis),
            })
        });
        seen.collect()
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
        let now = self.start.elapsed();
        self.state().reads.due(now, interval, spread)
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
        let mut runs: Vec<Incarnation> =
            endpoints.iter().map(|listed| listed.run.clone()).collect();
        runs.sort_unstable();
        self.mark = mark;
        directory.update(endpoints);
        self.places = runs.iter().map(|run| directory.running(run)).collect();
    }

    /// Takes in how long prompts wait, by place; nothing waits where nothing is told.
    fn hear(&self, waits: &[u8]) {
        let waits = waits.iter().copied().chain(std::iter::repeat(0));
        for (endpoint, code) in self.places.iter().zip(waits) {
            if let Some(endpoint) = endpoint {
                endpoint.queue_told(queues::decode(code));
            }
        }
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
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
