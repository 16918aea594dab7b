//! The agent's lease of its endpoint.
//!
//! Two agents of one endpoint, for example an old one that resumes after a long pause and
//! its replacement, must not both start requests. The lease decides which one may:
//!
//! * Before the lease was first held, and after another agent has acquired it, nothing is
//!   started.
//! * When it expires because no control instance answers, idempotent requests are still
//!   started, so that an outage of the control instances does not stop traffic.
//!   Non-idempotent requests are not started.
//! * Its fencing token is sent with each request, for endpoints that check it.
//!
//! The lease runs from the time before its request was sent, on the monotonic clock, so
//! it ends at the agent no later than at the control instances.

use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::control::{Acquire, LEASE_PATH, LeaseReply};
use dogwoodhill_wire::control_client::ControlClient;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// Renewals within the duration of one lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// Delay after a failed request, and shortest delay while another agent holds the lease.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay before the next request while another agent holds the lease. Short,
/// because a drained agent releases its lease long before it expires.
const MAX_HELD_DELAY: Duration = Duration::from_millis(500);

/// Which requests the agent may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// All requests, under this fencing token.
    All(Fence),
    /// Only idempotent requests: the lease with this fencing token expired without
    /// renewal.
    Idempotent(Fence),
    /// None: another agent holds the lease, or this agent has never held it.
    Nothing,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// No control instances are configured: there is no lease, and nothing prevents
    /// another agent of the endpoint from starting requests.
    Unmanaged,
    NeverHeld,
    Held {
        fence: Fence,
        expires: Instant,
    },
    Lost,
}

/// The agent's view of its lease. Clones share the same state.
#[derive(Clone, Debug)]
pub struct EndpointLease {
    state: Arc<Mutex<State>>,
}

impl EndpointLease {
    /// For an agent without control instances: everything is permitted, under fencing
    /// token 0.
    pub fn unmanaged() -> Self {
        Self {
            state: Arc::new(Mutex::new(State::Unmanaged)),
        }
    }

    /// For an agent that has not acquired its lease yet.
    pub fn unacquired() -> Self {
        Self {
            state: Arc::new(Mutex::new(State::NeverHeld)),
        }
    }

    /// Returns which requests may start at `now`.
    pub fn permission(&self, now: Instant) -> Permission {
        match *self.lock() {
            State::Unmanaged => Permission::All(0),
            State::Held { fence, expires } if now < expires => Permission::All(fence),
            State::Held { fence, .. } => Permission::Idempotent(fence),
            State::NeverHeld | State::Lost => Permission::Nothing,
        }
    }

    /// Applies the reply to a lease request that was sent at `sent`.
    pub fn apply_reply(&self, sent: Instant, duration: Duration, reply: &LeaseReply) {
        let mut state = self.lock();
        *state = match reply {
            LeaseReply::Held(fence) => State::Held {
                fence: *fence,
                expires: sent + duration,
            },
            LeaseReply::Other(_) => match *state {
                State::NeverHeld => State::NeverHeld,
                _ => State::Lost,
            },
        };
    }

    /// Applies a fencing token that an entry sent: a higher one than its own shows that
    /// another agent has acquired the lease.
    pub fn observe_fence(&self, fence: Fence) {
        let mut state = self.lock();
        if let State::Held { fence: current, .. } = *state
            && fence > current
        {
            *state = State::Lost;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // The state is a plain value and stays valid if a thread panicked while holding
        // the lock.
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Acquires the lease and renews it until the task is aborted.
pub async fn maintain(lease: EndpointLease, client: ControlClient, acquire: Acquire) {
    let duration = acquire.duration;
    loop {
        let sent = Instant::now();
        let result = client
            .call(LEASE_PATH, &acquire, duration / RENEWALS_PER_LEASE)
            .await;
        let delay = match &result {
            Ok(reply) => {
                lease.apply_reply(sent, duration, reply);
                match reply {
                    LeaseReply::Held(_) => duration / RENEWALS_PER_LEASE,
                    LeaseReply::Other(remaining) => {
                        (*remaining).clamp(MIN_RETRY_DELAY, MAX_HELD_DELAY)
                    }
                }
            }
            Err(_) => MIN_RETRY_DELAY,
        };
        tokio::time::sleep(delay).await;
    }
}

/// Releases the lease, so that a replacement need not wait for it to expire.
pub async fn release(client: &ControlClient, acquire: &Acquire) {
    const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
    let request = Acquire {
        duration: Duration::ZERO,
        ..acquire.clone()
    };
    let _ = client
        .call::<_, LeaseReply>(LEASE_PATH, &request, RELEASE_TIMEOUT)
        .await;
}
