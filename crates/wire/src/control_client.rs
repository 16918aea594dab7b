//! Asking whichever control instance can answer.

use crate::client::PeerClient;
use crate::control::ControlReply;
use derive_more::{Display, Error};
use dogwoodhill_core::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::time::{Instant, sleep, timeout_at};

/// Pause before the instances are asked again after none could answer.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for one instance while others are left to ask.
const PER_INSTANCE: Duration = Duration::from_millis(700);

/// No control instance answered in time.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("no control instance with a majority answered; check the control instances")]
pub struct NoAnswer;

/// The control instances a daemon knows. Clones share the choice of the one
/// that answered last.
#[derive(Clone, Debug)]
pub struct ControlClient {
    client: PeerClient,
    addresses: Vec<SocketAddr>,
    preferred: Arc<AtomicUsize>,
}

impl ControlClient {
    /// Instances at `addresses`; `spread` picks the one to start with, so
    /// that daemons are spread over them.
    pub fn new(client: PeerClient, addresses: Vec<SocketAddr>, spread: usize) -> Self {
        Self {
            client,
            addresses,
            preferred: Arc::new(AtomicUsize::new(spread)),
        }
    }

    /// The instance to ask now; `None` where none is known.
    pub fn instance(&self) -> Option<SocketAddr> {
        if self.addresses.is_empty() {
            return None;
        }
        let at = self.preferred.load(Ordering::Relaxed) % self.addresses.len();
        Some(self.addresses[at])
    }

    /// Moves on to the next instance.
    pub fn advance(&self) {
        self.preferred.fetch_add(1, Ordering::Relaxed);
    }

    /// Sends a message that may be delivered twice without harm, to one
    /// instance after the other until one answers or `within` has passed.
    ///
    /// # Errors
    ///
    /// [`NoAnswer`]; the message may have been acted on all the same.
    pub async fn call<M, A>(
        &self,
        path: &str,
        message: &M,
        within: Duration,
    ) -> Result<A, NoAnswer>
    where
        M: Serialize + Sync,
        A: DeserializeOwned,
    {
        let end = Instant::now() + within;
        while Instant::now() < end {
            for _ in 0..self.addresses.len() {
                let address = self.instance().ok_or(NoAnswer)?;
                let until = end.min(Instant::now() + PER_INSTANCE);
                let call = self
                    .client
                    .call::<M, ControlReply<A>>(address, path, message);
                match timeout_at(until, call).await {
                    Ok(Ok(Ok(answer))) => return Ok(answer),
                    _ => self.advance(),
                }
            }
            sleep(PAUSE).await;
        }
        Err(NoAnswer)
    }
}
