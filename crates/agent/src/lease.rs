//! The agent's lease of its endpoint.
//!
//! Two agents of one endpoint, an old one back from a long pause and its
//! replacement, must not both start work. The lease decides between them:
//!
//! * before it was held once, and after it went to another agent, nothing is
//!   started;
//! * when it ran out because no control instance answers, idempotent requests
//!   are still started, so that losing control does not stop traffic, but no
//!   non-idempotent one is, nor any order passed on;
//! * its fencing number goes with what is sent to the endpoint, for endpoints
//!   that check it.
//!
//! The lease is counted from before the request for it was sent, on the
//! monotonic clock, so this agent never believes in it longer than the
//! control instances do.

use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::control::{Acquire, LEASE_PATH, LeaseReply};
use dogwoodhill_wire::control_client::ControlClient;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// Renewals in the length of a lease.
const RENEWALS: u32 = 3;
/// Pause before a lease is asked for again that no control instance answered
/// for.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Pause before a lease is asked for again that another agent holds. Short,
/// because a drained agent gives its lease back long before it would end.
const HELD_PAUSE: Duration = Duration::from_millis(500);

/// What the agent may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Right {
    /// Anything, under this fencing number.
    All(Fence),
    /// Idempotent requests only: the lease could not be renewed.
    Idempotent(Fence),
    /// Nothing: another agent holds the lease, or none was ever held here.
    Nothing,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// No control instances: nobody else can be given the endpoint.
    Alone,
    Never,
    Held {
        fence: Fence,
        until: Instant,
    },
    Lost,
}

/// The lease as the agent knows it. Clones share it.
#[derive(Clone, Debug)]
pub struct Holding {
    state: Arc<Mutex<State>>,
}

impl Holding {
    /// An agent without control instances.
    pub fn alone() -> Self {
        Self {
            state: Arc::new(Mutex::new(State::Alone)),
        }
    }

    /// An agent that still has to get its lease.
    pub fn wanted() -> Self {
        Self {
            state: Arc::new(Mutex::new(State::Never)),
        }
    }

    /// What may be started at `now`.
    pub fn right(&self, now: Instant) -> Right {
        match *self.lock() {
            State::Alone => Right::All(0),
            State::Held { fence, until } if now < until => Right::All(fence),
            State::Held { fence, .. } => Right::Idempotent(fence),
            State::Never | State::Lost => Right::Nothing,
        }
    }

    /// Takes in an answer to a request that was sent at `sent`.
    pub fn heed(&self, sent: Instant, lasting: Duration, lease: &LeaseReply) {
        let mut state = self.lock();
        *state = match lease {
            LeaseReply::Held(fence) => State::Held {
                fence: *fence,
                until: sent + lasting,
            },
            LeaseReply::Other(_) => match *state {
                State::Never => State::Never,
                _ => State::Lost,
            },
        };
    }

    /// An entry knows a higher fencing number: another agent has the lease.
    pub fn superseded(&self, fence: Fence) {
        let mut state = self.lock();
        if let State::Held { fence: own, .. } = *state
            && fence > own
        {
            *state = State::Lost;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // The state is a plain value, valid even if a holder panicked.
        self.state
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }
}

/// Keeps asking for the lease and renewing it.
pub async fn keep(holding: Holding, set: ControlClient, acquire: Acquire) {
    let lasting = acquire.duration;
    loop {
        let sent = Instant::now();
        let asked = set.call(LEASE_PATH, &acquire, lasting / RENEWALS).await;
        let pause = match &asked {
            Ok(lease) => {
                holding.heed(sent, lasting, lease);
                match lease {
                    LeaseReply::Held(_) => lasting / RENEWALS,
                    LeaseReply::Other(left) => (*left).clamp(MIN_PAUSE, HELD_PAUSE),
                }
            }
            Err(_) => MIN_PAUSE,
        };
        tokio::time::sleep(pause).await;
    }
}

/// Gives the lease back, so that a replacement need not wait it out.
pub async fn give_back(set: &ControlClient, acquire: &Acquire) {
    const WITHIN: Duration = Duration::from_secs(2);
    let ended = Acquire {
        duration: Duration::ZERO,
        ..acquire.clone()
    };
    let _ = set.call::<_, LeaseReply>(LEASE_PATH, &ended, WITHIN).await;
}
