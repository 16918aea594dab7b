//! The list of endpoints as an entry knows it, from its own reads and from those
//! of other entries.

use crate::dialect::Listed;
use crate::directory::Directory;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity::{hash, mix};
use dogwoodhill_policy::reads::Reads;
use dogwoodhill_wire::demand::Totals;
use dogwoodhill_wire::list::ListRead;
use std::sync::{Mutex, MutexGuard, PoisonError};
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
            state.mark = mark;
            directory.update(endpoints.clone());
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
        let read = asked.duration_since(self.start).checked_sub(list.age);
        // A read from before this entry's start is no news: it reads by itself.
        let Some(read) = read else { return };
        if state.mark == list.mark {
            state.reads.take(read);
            return;
        }
        let Some(endpoints) = list.endpoints else {
            return;
        };
        if state.reads.take(read) {
            state.mark = list.mark;
            directory.update(endpoints);
        }
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
