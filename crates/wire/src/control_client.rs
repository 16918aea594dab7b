//! Client for the control plane with failover between control instances.

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

/// Delay before the next round over all instances after none could answer.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time limit for the answer of one instance before the next one is tried.
const INSTANCE_TIMEOUT: Duration = Duration::from_millis(700);

/// No control instance answered in time.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("no control instance with a majority answered; check the control instances")]
pub struct NoAnswer;

/// Client that sends requests to the control instances known to a daemon. Clones share
/// the preferred instance: the one that answered last.
#[derive(Clone, Debug)]
pub struct ControlClient {
    client: PeerClient,
    addresses: Vec<SocketAddr>,
    preferred: Arc<AtomicUsize>,
}

impl ControlClient {
    /// Creates a client for the instances at `addresses`. `spread`, taken modulo their
    /// number, selects the instance to start with; random values distribute the daemons.
    pub fn new(client: PeerClient, addresses: Vec<SocketAddr>, spread: usize) -> Self {
        Self {
            client,
            addresses,
            preferred: Arc::new(AtomicUsize::new(spread)),
        }
    }

    /// Returns the preferred instance, or `None` if no instance is known.
    pub fn instance(&self) -> Option<SocketAddr> {
        if self.addresses.is_empty() {
            return None;
        }
        let at = self.preferred.load(Ordering::Relaxed) % self.addresses.len();
        Some(self.addresses[at])
    }

    /// Makes the next instance in the list the preferred one.
    pub fn advance(&self) {
        self.preferred.fetch_add(1, Ordering::Relaxed);
    }

    /// Sends an idempotent message to one instance after another until one answers or
    /// `within` has passed. Several instances may receive the message.
    ///
    /// # Errors
    ///
    /// [`NoAnswer`]; the message may have taken effect nevertheless.
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
                let until = end.min(Instant::now() + INSTANCE_TIMEOUT);
                let call = self
                    .client
                    .call::<M, ControlReply<A>>(address, path, message);
                match timeout_at(until, call).await {
                    Ok(Ok(Ok(answer))) => return Ok(answer),
                    _ => self.advance(),
                }
            }
            sleep(RETRY_DELAY).await;
        }
        Err(NoAnswer)
    }
}
