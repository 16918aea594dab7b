//! Access to the cluster from any instance: requests are forwarded to the leader where
//! needed.

use crate::command::{Action, Reply};
use crate::replica::Replica;
use dogwoodhill_consensus::Index;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::client::PeerClient;
use dogwoodhill_wire::control::{ControlReply, ControlUnavailable};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep, timeout_at};

/// Path on which the leader accepts an [`Action`].
pub const SUBMIT_PATH: &str = "/internal/submit";
/// Path on which the leader confirms a read.
pub const CONFIRM_PATH: &str = "/internal/confirm";
/// Longest time for which a request is retried.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between attempts while there is no leader.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// The cluster as seen from one instance. Clones share the replica and the connections.
#[derive(Clone, Debug)]
pub struct Service {
    replica: Replica,
    client: PeerClient,
}

impl Service {
    /// A service that submits commands through `replica` or, if another instance leads,
    /// through `client`.
    pub fn new(replica: Replica, client: PeerClient) -> Self {
        Self { replica, client }
    }

    /// The replica of this instance.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Submits a command to the cluster. It is resent while there is no leader, which is
    /// safe since commands are idempotent.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable::NoMajority`] after [`REQUEST_TIMEOUT`]; the command may have
    /// taken effect.
    pub async fn submit(&self, action: &Action) -> ControlReply<Reply> {
        let end = Instant::now() + REQUEST_TIMEOUT;
        loop {
            match timeout_at(end, self.submit_once(action)).await {
                Err(_) => return Err(ControlUnavailable::NoMajority),
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(_)) => sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Waits until the state of this instance contains everything that was committed when
    /// the call began.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable::NoMajority`] after [`REQUEST_TIMEOUT`].
    pub async fn confirm(&self) -> ControlReply<Index> {
        let end = Instant::now() + REQUEST_TIMEOUT;
        loop {
            match timeout_at(end, self.confirm_once()).await {
                Err(_) => return Err(ControlUnavailable::NoMajority),
                Ok(Ok(index)) => return Ok(index),
                Ok(Err(_)) => sleep(RETRY_DELAY).await,
            }
        }
    }

    async fn submit_once(&self, action: &Action) -> ControlReply<Reply> {
        if self.replica.status.borrow().leads {
            return self.replica.propose(action.clone()).await;
        }
        self.forward(SUBMIT_PATH, action).await
    }

    async fn confirm_once(&self) -> ControlReply<Index> {
        let leads = self.replica.status.borrow().leads;
        let index = if leads {
            self.replica.confirm().await?
        } else {
            self.forward(CONFIRM_PATH, &()).await?
        };
        let mut applied = self.replica.applied.clone();
        let reached = applied.wait_for(|applied| *applied >= index).await;
        reached
            .map(|_| index)
            .map_err(|_| ControlUnavailable::NoMajority)
    }

    /// Forwards a message to the leader.
    pub(crate) async fn forward<M, A>(&self, path: &str, message: &M) -> ControlReply<A>
    where
        M: Serialize + Sync,
        A: DeserializeOwned,
    {
        let leader = self.replica.status.borrow().leader;
        let address = leader.ok_or(ControlUnavailable::NoMajority)?;
        let call = self
            .client
            .call::<M, ControlReply<A>>(address, path, message);
        call.await.unwrap_or(Err(ControlUnavailable::NoMajority))
    }
}
