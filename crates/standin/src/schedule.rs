//! Which requests a stand-in engine runs: a fixed number at once, waiting
//! ones by priority and then by arrival.
//!
//! A slot is handed over inside the message that wakes the next request, so
//! it is given back also where that request goes away before it reads it.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::oneshot;

#[derive(Debug)]
struct Waiting {
    order: Reverse<Order>,
    wake: oneshot::Sender<Running>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Order {
    priority: u8,
    seq: u64,
}

impl PartialEq for Waiting {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Waiting {}

impl PartialOrd for Waiting {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiting {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.order.cmp(&other.order)
    }
}

#[derive(Debug, Default)]
struct State {
    running: u32,
    seq: u64,
    waiting: BinaryHeap<Waiting>,
}

/// Scheduler of one engine. Clones share it.
#[derive(Clone, Debug)]
pub struct Schedule {
    slots: u32,
    state: Arc<Mutex<State>>,
}

impl Schedule {
    /// Lets `slots` requests run at once.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            state: Arc::default(),
        }
    }

    /// Requests running.
    pub fn running(&self) -> u32 {
        self.lock().running
    }

    /// Requests waiting.
    pub fn waiting(&self) -> u32 {
        self.lock().waiting.len() as u32
    }

    /// Waits for a slot; priority 0 goes first.
    pub async fn enter(&self, priority: u8) -> Running {
        let woken = {
            let mut state = self.lock();
            if state.running < self.slots {
                state.running += 1;
                return self.slot();
            }
            let (wake, woken) = oneshot::channel();
            state.seq += 1;
            let seq = state.seq;
            let order = Reverse(Order { priority, seq });
            state.waiting.push(Waiting { order, wake });
            woken
        };
        woken
            .await
            .expect("a waiting request is woken before the schedule ends")
    }

    fn slot(&self) -> Running {
        Running {
            schedule: self.clone(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }
}

/// A running request's slot; its drop passes it on.
#[derive(Debug)]
pub struct Running {
    schedule: Schedule,
}

impl Drop for Running {
    fn drop(&mut self) {
        loop {
            let next = {
                let mut state = self.schedule.lock();
                let next = state.waiting.pop();
                if next.is_none() {
                    state.running -= 1;
                    return;
                }
                next
            };
            let sent = next.map(|next| next.wake.send(self.schedule.slot()));
            match sent {
                // The one woken is gone: its slot goes to the next instead.
                Some(Err(unused)) => std::mem::forget(unused),
                _ => return,
            }
        }
    }
}
