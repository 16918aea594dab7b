//! The handle through which the rest of the process uses a replica.

use crate::command::{Action, Reply};
use crate::route_sets::RouteSets;
use crate::state::{Documents, DutyAssignment, Quarantined, State};
use arc_swap::ArcSwap;
use dogwoodhill_consensus::members::{Member, Members};
use dogwoodhill_consensus::message::Message;
use dogwoodhill_consensus::{Index, NodeId, Term};
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::control::{ControlReply, ControlUnavailable};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};

/// Input to the event loop.
#[derive(Debug)]
pub enum Input {
    /// Consensus messages from another instance.
    Messages {
        /// Its address, if it sent it.
        sender: Option<SocketAddr>,
        /// The messages, in order.
        messages: Vec<Message>,
    },
    /// A command to append to the log.
    Propose {
        /// What the command does.
        action: Action,
        /// Receives the reply of the state machine.
        reply: oneshot::Sender<ControlReply<Reply>>,
    },
    /// Requests a linearizable read: the reply is the index up to which the state must be
    /// applied before it is read.
    Confirm(oneshot::Sender<ControlReply<Index>>),
    /// Adds an instance to the cluster.
    Add {
        /// The instance.
        member: Member,
        /// Receives the outcome.
        reply: oneshot::Sender<ControlReply<()>>,
    },
    /// Passes the seat of an instance that is about to stop to a replacement.
    ReleaseSeat {
        /// The instance.
        id: NodeId,
        /// Receives whether a replacement will take over its seat.
        reply: oneshot::Sender<ControlReply<bool>>,
    },
    /// Transfers leadership to another instance, since this one is about to stop.
    TransferLeadership,
    /// Stops the event loop once all inputs received so far are on disk.
    Stop,
}

/// Status of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Id of this instance.
    pub node: NodeId,
    /// Current term of this instance.
    pub term: Term,
    /// Whether this instance is the leader.
    pub leads: bool,
    /// Internal address of the leader, if known.
    pub leader: Option<SocketAddr>,
    /// Whether the instance is in contact with a leader or, as leader, with a majority.
    pub contact: bool,
    /// Members of the cluster.
    pub members: Members,
    /// Bytes in the log on disk.
    pub log_bytes: usize,
    /// Number of retained claims.
    pub claims: usize,
}

/// Duties and usage reports in the applied state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DutyView {
    /// Duties with their current or last holders.
    pub assignments: Vec<DutyAssignment>,
    /// The first window whose usage is not committed; 0 before any window is.
    pub next_window: Window,
    /// Number of committed windows that are not known to be reported.
    pub pending: usize,
    /// Windows that were discarded unreported to bound the backlog.
    pub discarded: u64,
}

impl DutyView {
    /// Extracts the view from a state.
    pub(super) fn of(state: &State) -> Self {
        Self {
            assignments: state.duties.assignments(),
            next_window: state.usage.next_window(),
            pending: state.usage.pending().len(),
            discarded: state.usage.discarded(),
        }
    }
}

/// Handle of a replica. Clones share it.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(super) inputs: mpsc::Sender<Input>,
    /// Documents in the applied state.
    pub documents: Arc<ArcSwap<Documents>>,
    /// Route sets in the applied state.
    pub routes: watch::Receiver<RouteSets>,
    /// Quarantined requests in the applied state, with the remaining time of each.
    pub quarantined: watch::Receiver<Vec<(Quarantined, Duration)>>,
    /// Duties in the applied state.
    pub duties: watch::Receiver<DutyView>,
    /// Index of the last applied entry.
    pub applied: watch::Receiver<Index>,
    /// Updated after every batch of inputs.
    pub status: watch::Receiver<ReplicaStatus>,
}

impl Replica {
    /// Queues an input for the event loop; ignored once the loop has ended.
    pub async fn input(&self, input: Input) {
        let _ = self.inputs.send(input).await;
    }

    /// Submits a command on this instance, which must be the leader.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`]; with [`ControlUnavailable::NoMajority`] the command may be
    /// in force.
    pub async fn propose(&self, action: Action) -> ControlReply<Reply> {
        let (reply, answer) = oneshot::channel();
        self.input(Input::Propose { action, reply }).await;
        answer.await.unwrap_or(Err(ControlUnavailable::NoMajority))
    }

    /// Confirms with a majority that this instance is still the leader, and returns the
    /// index that a read must wait for.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`].
    pub async fn confirm(&self) -> ControlReply<Index> {
        let (reply, answer) = oneshot::channel();
        self.input(Input::Confirm(reply)).await;
        answer.await.unwrap_or(Err(ControlUnavailable::NoMajority))
    }

    /// Adds an instance to the cluster.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`].
    pub async fn add(&self, member: Member) -> ControlReply<()> {
        let (reply, answer) = oneshot::channel();
        self.input(Input::Add { member, reply }).await;
        answer.await.unwrap_or(Err(ControlUnavailable::NoMajority))
    }

    /// Passes the seat of an instance that is about to stop to a replacement. Returns
    /// whether it still has a seat that a replacement will take over.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`].
    pub async fn release_seat(&self, id: NodeId) -> ControlReply<bool> {
        let (reply, answer) = oneshot::channel();
        self.input(Input::ReleaseSeat { id, reply }).await;
        answer.await.unwrap_or(Err(ControlUnavailable::NoMajority))
    }
}
