//! What requests see of the cluster: any instance takes them.

use crate::command::{Action, Reply};
use crate::replica::Replica;
use dogwoodhill_consensus::Index;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::client::PeerClient;
use dogwoodhill_wire::control::{ControlReply, ControlUnavailable};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep, timeout_at};

/// Path of an [`Action`] for the leader.
pub const SUBMIT_PATH: &str = "/internal/submit";
/// Path of a read's confirmation by the leader.
pub const CONFIRM_PATH: &str = "/internal/confirm";
/// Longest time a request is tried before it is answered with no majority.
pub const PATIENCE: Duration = Duration::from_secs(2);
/// Pause between tries while there is no leader.
const PAUSE: Duration = Duration::from_millis(40);

/// The cluster as one instance offers it. Clones share it.
#[derive(Clone, Debug)]
pub struct Service {
    replica: Replica,
    caller: PeerClient,
}

impl Service {
    /// Offers the cluster through `replica`.
    pub fn new(replica: Replica, caller: PeerClient) -> Self {
        Self { replica, caller }
    }

    /// The instance's own replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Runs a command on the cluster. It is sent again while there is no
    /// leader, which is safe since commands may be applied twice.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable::NoMajority`] after [`PATIENCE`]; the command may be in force.
    pub async fn submit(&self, action: &Action) -> ControlReply<Reply> {
        let end = Instant::now() + PATIENCE;
        loop {
            match timeout_at(end, self.submit_once(action)).await {
                Err(_) => return Err(ControlUnavailable::NoMajority),
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(_)) => sleep(PAUSE).await,
            }
        }
    }

    /// Waits until this instance's state contains everything that was
    /// committed when the call began.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable::NoMajority`] after [`PATIENCE`].
    pub async fn confirm(&self) -> ControlReply<Index> {
        let end = Instant::now() + PATIENCE;
        loop {
            match timeout_at(end, self.confirm_once()).await {
                Err(_) => return Err(ControlUnavailable::NoMajority),
                Ok(Ok(index)) => return Ok(index),
                Ok(Err(_)) => sleep(PAUSE).await,
            }
        }
    }

    async fn submit_once(&self, action: &Action) -> ControlReply<Reply> {
        if self.replica.standing.borrow().leads {
            return self.replica.propose(action.clone()).await;
        }
        self.pass_on(SUBMIT_PATH, action).await
    }

    async fn confirm_once(&self) -> ControlReply<Index> {
        let leads = self.replica.standing.borrow().leads;
        let index = if leads {
            self.replica.confirm().await?
        } else {
            self.pass_on(CONFIRM_PATH, &()).await?
        };
        let mut applied = self.replica.applied.clone();
        let reached = applied.wait_for(|applied| *applied >= index).await;
        reached
            .map(|_| index)
            .map_err(|_| ControlUnavailable::NoMajority)
    }

    /// Passes a message on to the leader.
    pub(crate) async fn pass_on<M, A>(&self, path: &str, message: &M) -> ControlReply<A>
    where
        M: Serialize + Sync,
        A: DeserializeOwned,
    {
        let leader = self.replica.standing.borrow().leader;
        let address = leader.ok_or(ControlUnavailable::NoMajority)?;
        let call = self
            .caller
            .call::<M, ControlReply<A>>(address, path, message);
        call.await.unwrap_or(Err(ControlUnavailable::NoMajority))
    }
}
