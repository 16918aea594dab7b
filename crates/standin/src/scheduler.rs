//! Admission of requests to the slots of a simulated engine.
//!
//! A fixed number of requests run at once. The others queue by priority (0 is served
//! first), then by arrival.
//!
//! A freed slot is passed on as a [`SlotGuard`] inside the message that wakes the next
//! request. A request that is cancelled before it reads that message drops the guard,
//! so the slot is released in that case too.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::oneshot;

#[derive(Debug)]
struct QueuedRequest {
    key: Reverse<QueueKey>,
    sender: oneshot::Sender<SlotGuard>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    priority: u8,
    sequence: u64,
}

impl PartialEq for QueuedRequest {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl Eq for QueuedRequest {}

impl PartialOrd for QueuedRequest {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedRequest {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key.cmp(&other.key)
    }
}

#[derive(Debug, Default)]
struct State {
    running: u32,
    sequence: u64,
    waiting: BinaryHeap<QueuedRequest>,
}

/// Slots and queue of one engine. Clones share the same state.
#[derive(Clone, Debug)]
pub struct Scheduler {
    slots: u32,
    state: Arc<Mutex<State>>,
}

impl Scheduler {
    /// Creates a scheduler with `slots` concurrent slots, all free.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            state: Arc::default(),
        }
    }

    /// Number of slots in use.
    pub fn running(&self) -> u32 {
        self.lock().running
    }

    /// Length of the queue.
    pub fn waiting(&self) -> u32 {
        self.lock().waiting.len() as u32
    }

    /// Waits for a free slot. Requests with a lower `priority` value are served first.
    pub async fn acquire(&self, priority: u8) -> SlotGuard {
        let receiver = {
            let mut state = self.lock();
            if state.running < self.slots {
                state.running += 1;
                return self.guard();
            }
            let (sender, receiver) = oneshot::channel();
            state.sequence += 1;
            let sequence = state.sequence;
            let key = Reverse(QueueKey { priority, sequence });
            state.waiting.push(QueuedRequest { key, sender });
            receiver
        };
        receiver
            .await
            .expect("a queued request is woken before the scheduler is dropped")
    }

    fn guard(&self) -> SlotGuard {
        SlotGuard {
            scheduler: self.clone(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// The slot of a running request. Dropping it passes the slot to the next queued request.
#[derive(Debug)]
pub struct SlotGuard {
    scheduler: Scheduler,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        loop {
            let next = {
                let mut state = self.scheduler.lock();
                let next = state.waiting.pop();
                if next.is_none() {
                    state.running -= 1;
                    return;
                }
                next
            };
            let passed = next.map(|next| next.sender.send(self.scheduler.guard()));
            match passed {
                // The queued request was cancelled. `forget` keeps the returned guard
                // from releasing the slot again; the loop passes it to the next request.
                Some(Err(guard)) => std::mem::forget(guard),
                _ => return,
            }
        }
    }
}
