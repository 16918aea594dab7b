//! What the rest of the process holds of a replica.

use crate::command::{Action, Reply};
use crate::sets::Sets;
use crate::state::{Documents, HeldDuty, Quarantined, State};
use arc_swap::ArcSwap;
use dogwoodhill_consensus::members::{Member, Members};
use dogwoodhill_consensus::message::Message;
use dogwoodhill_consensus::{Index, NodeId, Term};
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::control::{ControlReply, ControlUnavailable};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};

/// What the loop is asked.
#[derive(Debug)]
pub enum Input {
    /// Messages from another instance.
    Messages(Vec<Message>),
    /// A command.
    Propose {
        /// The command.
        action: Action,
        /// Its answer.
        reply: oneshot::Sender<ControlReply<Reply>>,
    },
    /// A confirmed read: the position up to which state must be applied.
    Confirm(oneshot::Sender<ControlReply<Index>>),
    /// A new instance.
    Add {
        /// The instance.
        member: Member,
        /// Whether it is a member now.
        reply: oneshot::Sender<ControlReply<()>>,
    },
    /// This instance will stop.
    HandOver,
    /// This instance stops now, with everything taken so far on disk.
    Stop,
}

/// What the rest of the process sees of the replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// This instance.
    pub node: NodeId,
    /// Its term.
    pub term: Term,
    /// Whether it leads.
    pub leads: bool,
    /// Leader's internal address, where known.
    pub leader: Option<SocketAddr>,
    /// Whether it is in contact with a leader or, as leader, a majority.
    pub contact: bool,
    /// Members.
    pub members: Members,
    /// Bytes in the log on disk.
    pub size: usize,
    /// Claims kept.
    pub claims: usize,
}

/// Duties of one holder, as far as applied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DutyView {
    /// Who holds which, or held it last.
    pub held: Vec<HeldDuty>,
    /// The first window whose usage is not fixed; 0 where none is.
    pub next: Window,
    /// Windows that are fixed and not known to be reported.
    pub owed: usize,
    /// Windows that were owed for so long that they gave way.
    pub dropped: u64,
}

impl DutyView {
    /// The view of a state.
    pub(super) fn of(state: &State) -> Self {
        Self {
            held: state.duties.held(),
            next: state.reports.next(),
            owed: state.reports.owed().len(),
            dropped: state.reports.dropped(),
        }
    }
}

/// A handle on the loop. Clones share it.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(super) inputs: mpsc::Sender<Input>,
    /// Documents, as far as applied.
    pub documents: Arc<ArcSwap<Documents>>,
    /// Route sets, as far as applied.
    pub routes: watch::Receiver<Sets>,
    /// Requests that are quarantined, and how much longer, as far as applied.
    pub quarantined: watch::Receiver<Vec<(Quarantined, Duration)>>,
    /// Duties of one holder, as far as applied.
    pub duties: watch::Receiver<DutyView>,
    /// Applied position.
    pub applied: watch::Receiver<Index>,
    /// Standing.
    pub standing: watch::Receiver<Standing>,
}

impl Replica {
    /// Hands input to the loop; an instance that stops takes none.
    pub async fn input(&self, input: Input) {
        let _ = self.inputs.send(input).await;
    }

    /// Runs a command on this instance.
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

    /// Confirms on this instance that it still leads.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`].
    pub async fn confirm(&self) -> ControlReply<Index> {
        let (reply, answer) = oneshot::channel();
        self.input(Input::Confirm(reply)).await;
        answer.await.unwrap_or(Err(ControlUnavailable::NoMajority))
    }

    /// Adds an instance.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable`].
    pub async fn add(&self, member: Member) -> ControlReply<()> {
        let (reply, answer) = oneshot::channel();
        self.input(Input::Add { member, reply }).await;
        answer.await.unwrap_or(Err(ControlUnavailable::NoMajority))
    }
}
