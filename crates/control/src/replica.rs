//! A replica of the cluster state: the event loop that owns the consensus node, the store
//! and the state machine.
//!
//! The loop takes all pending inputs, steps the consensus node, makes the result durable
//! with a single sync and only then replies. Inputs that arrive during a sync form the
//! next batch (group commit), so throughput grows with load.

mod handle;

pub use handle::{DutyView, Input, Replica, ReplicaStatus};

use crate::command::{Action, Command, Reply};
use crate::peers::{Delivery, Peers};
use crate::route_sets::RouteSets;
use crate::senders::Senders;
use crate::state::{Documents, Quarantined, State};
use arc_swap::ArcSwap;
use derive_more::{Display, Error};
use dogwoodhill_consensus::log::{Entry, Payload};
use dogwoodhill_consensus::members::Member;
use dogwoodhill_consensus::message::Message;
use dogwoodhill_consensus::node::{Node, RequestError, Timing};
use dogwoodhill_consensus::ready::Ready;
use dogwoodhill_consensus::{Index, Moment, ReadId, Term};
use dogwoodhill_core::prelude::*;
use dogwoodhill_store::{Batch, Opened, Store, StoreError};
use dogwoodhill_wire::control::{ControlReply, ControlUnavailable};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot, watch};

/// Interval between ticks of the consensus node.
const TICK: Duration = Duration::from_millis(20);
/// Log size on disk that triggers compaction regardless of the number of entries. A route
/// set of a few hundred routes takes over 100 KB, and the smallest supported disk holds
/// 64 MB.
const COMPACT_BYTES: usize = 4 * 1024 * 1024;
/// Capacity of the input queue, and the most inputs in one batch.
const MAX_BATCH: usize = 4096;

/// Why the event loop ended.
#[derive(Debug, Display, Error)]
pub enum DriverError {
    /// A read or write of the data folder failed.
    #[display("{source}")]
    Disk {
        /// Error of the store.
        source: StoreError,
    },
    /// The blocking task that writes to the store panicked or was cancelled.
    #[display("the task that writes to the store panicked; this is a bug")]
    Writer,
}

/// The event loop of a replica, before it runs.
#[derive(Debug)]
pub struct Driver {
    node: Node<SmallRng>,
    store: Option<Store>,
    state: State,
    peers: Peers,
    senders: Senders,
    inputs: mpsc::Receiver<Input>,
    /// Outcomes of large messages.
    deliveries: mpsc::UnboundedReceiver<Delivery>,
    documents: Arc<ArcSwap<Documents>>,
    routes: watch::Sender<RouteSets>,
    quarantined: watch::Sender<Vec<(Quarantined, Duration)>>,
    duties: watch::Sender<DutyView>,
    applied: watch::Sender<Index>,
    status: watch::Sender<ReplicaStatus>,
    proposals: VecDeque<Proposal>,
    reads: Vec<PendingRead>,
    next_read: ReadId,
    compact_after: u64,
    min_voters: usize,
    start: Instant,
    leadership: Option<Leadership>,
}

#[derive(Debug)]
struct Proposal {
    index: Index,
    term: Term,
    reply: oneshot::Sender<ControlReply<Reply>>,
}

#[derive(Debug)]
struct PendingRead {
    id: ReadId,
    reply: oneshot::Sender<ControlReply<Index>>,
}

/// Start of this instance's current leadership, on both clocks.
#[derive(Clone, Copy, Debug)]
struct Leadership {
    term: Term,
    start_time: Duration,
    started: Instant,
}

/// Configuration of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaConfig {
    /// Entries after which the log is compacted.
    pub compact_after: u64,
    /// Fewest voters with which a change is accepted. With fewer, an acknowledged change
    /// would not survive the number of losses that the settings promise.
    pub min_voters: usize,
}

/// A replica and its event loop.
#[derive(Debug)]
pub struct ReplicaParts {
    /// Handle for the rest of the process.
    pub replica: Replica,
    /// Event loop; the replica does nothing until it runs.
    pub driver: Driver,
}

/// Builds a replica from an opened data folder.
///
/// # Panics
///
/// If the snapshot does not decode although its checksum is valid, or if `peers` already
/// belongs to another replica.
pub fn build_replica(
    opened: Opened,
    mut peers: Peers,
    config: ReplicaConfig,
    seed: u64,
) -> ReplicaParts {
    let (sender, inputs) = mpsc::channel(MAX_BATCH);
    let deliveries = peers.deliveries().expect("peers belong to one replica");
    let snapshot = &opened.durable.snapshot;
    let state = decode_state(&snapshot.data);
    let applied = snapshot.index;
    let random = SmallRng::seed_from_u64(seed);
    let node = Node::new(
        opened.identity.node,
        Timing::default(),
        opened.durable,
        Moment::ZERO,
        random,
    )
    .with_min_seats(config.min_voters);
    let documents = Arc::new(ArcSwap::from_pointee(state.documents.clone()));
    let mut sets = RouteSets::default();
    sets.take(state.routes.as_ref());
    let routes = watch::Sender::new(sets);
    let quarantined = watch::Sender::new(state.quarantined());
    let duties = watch::Sender::new(DutyView::of(&state));
    let applied = watch::Sender::new(applied);
    let status = watch::Sender::new(ReplicaStatus::default());
    let replica = Replica {
        inputs: sender,
        documents: Arc::clone(&documents),
        routes: routes.subscribe(),
        quarantined: quarantined.subscribe(),
        duties: duties.subscribe(),
        applied: applied.subscribe(),
        status: status.subscribe(),
    };
    let driver = Driver {
        node,
        store: Some(opened.store),
        state,
        peers,
        senders: Senders::default(),
        inputs,
        deliveries,
        documents,
        routes,
        quarantined,
        duties,
        applied,
        status,
        proposals: VecDeque::new(),
        reads: Vec::new(),
        next_read: 0,
        compact_after: config.compact_after,
        min_voters: config.min_voters,
        start: Instant::now(),
        leadership: None,
    };
    ReplicaParts { replica, driver }
}

fn decode_state(data: &[u8]) -> State {
    if data.is_empty() {
        return State::default();
    }
    rmp_serde::from_slice(data).expect("a snapshot with a valid checksum decodes")
}

impl Driver {
    /// Creates a new cluster with `member` as its only member.
    pub fn bootstrap(&mut self, member: Member) {
        self.node.bootstrap(member);
    }

    /// Runs until all handles are dropped, the replica is stopped or the disk fails.
    ///
    /// # Errors
    ///
    /// [`DriverError`]. The state on disk is that of the last completed sync.
    pub async fn run(mut self) -> Result<(), DriverError> {
        let mut ticks = tokio::time::interval(TICK);
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                count = self.inputs.recv_many(&mut batch, MAX_BATCH) => {
                    if count == 0 {
                        return Ok(());
                    }
                }
                Some(outcome) = self.deliveries.recv() => self.on_delivery(outcome),
                _ = ticks.tick() => {}
            }
            let mut stop = false;
            for input in batch.drain(..) {
                stop |= matches!(input, Input::Stop);
                self.take(input);
            }
            self.node.tick(self.start.elapsed());
            self.process_ready().await?;
            self.publish_status();
            if stop {
                return Ok(());
            }
        }
    }

    fn on_delivery(&mut self, outcome: Delivery) {
        let now = self.start.elapsed();
        self.node
            .report_delivery(now, outcome.peer, outcome.delivered);
    }

    fn take(&mut self, input: Input) {
        let now = self.start.elapsed();
        match input {
            Input::Messages { sender, messages } => {
                for message in messages {
                    if let Some(sender) = sender {
                        self.senders.record(message.from, sender);
                    }
                    self.node.receive(now, message);
                }
            }
            Input::Propose { action, reply } => self.propose(action, reply),
            Input::Confirm(reply) => self.confirm(reply),
            Input::Add { member, reply } => {
                let added = self.node.add_learner(now, member);
                let _ = reply.send(added.map_err(|refused| self.to_unavailable(refused)));
            }
            Input::ReleaseSeat { id, reply } => {
                let released = self.node.release_seat(now, id);
                let _ =
                    reply.send(released.map_err(|refused| self.to_unavailable(refused)));
            }
            Input::TransferLeadership => self.node.transfer_leadership(now),
            Input::Stop => {}
        }
    }

    fn propose(&mut self, action: Action, reply: oneshot::Sender<ControlReply<Reply>>) {
        if self.node.members().voters().count() < self.min_voters {
            Event::new("change-refused")
                .field("reason", "too-few-voters")
                .field("voters", self.node.members().voters().count())
                .field("needed", self.min_voters)
                .warn();
            let _ = reply.send(Err(ControlUnavailable::NoMajority));
            return;
        }
        let command = Command {
            now: self.cluster_time(),
            wall_ms: wall_clock_ms(),
            action,
        };
        let bytes = rmp_serde::to_vec(&command).expect("commands encode");
        match self.node.propose(bytes) {
            Ok(index) => {
                let term = self.node.term();
                self.proposals.push_back(Proposal { index, term, reply });
            }
            Err(refused) => {
                let _ = reply.send(Err(self.to_unavailable(refused)));
            }
        }
    }

    fn confirm(&mut self, reply: oneshot::Sender<ControlReply<Index>>) {
        self.next_read += 1;
        let id = self.next_read;
        match self.node.read(id) {
            Ok(()) => self.reads.push(PendingRead { id, reply }),
            Err(refused) => {
                let _ = reply.send(Err(self.to_unavailable(refused)));
            }
        }
    }

    /// The cluster time: its value when this instance became leader plus the time elapsed
    /// since on the local monotonic clock.
    fn cluster_time(&mut self) -> Duration {
        let term = self.node.term();
        let leadership = self.leadership.filter(|leadership| leadership.term == term);
        let leadership = leadership.unwrap_or(Leadership {
            term,
            start_time: self.state.now,
            started: Instant::now(),
        });
        self.leadership = Some(leadership);
        leadership.start_time + leadership.started.elapsed()
    }

    fn to_unavailable(&self, refused: RequestError) -> ControlUnavailable {
        match refused {
            RequestError::NotLeader | RequestError::TransferInProgress => {
                ControlUnavailable::NotLeader {
                    leader: self.leader(),
                }
            }
            _ => ControlUnavailable::NoMajority,
        }
    }

    fn leader(&self) -> Option<SocketAddr> {
        let id = self.node.leader()?;
        self.node.members().get(id).map(|member| member.address)
    }

    /// Processes output of the consensus node until there is none.
    async fn process_ready(&mut self) -> Result<(), DriverError> {
        loop {
            let ready = self.node.take_ready();
            if ready.is_empty() {
                return Ok(());
            }
            self.handle_ready(ready).await?;
        }
    }

    async fn handle_ready(&mut self, mut ready: Ready) -> Result<(), DriverError> {
        self.send(std::mem::take(&mut ready.immediate));
        if ready.must_sync() {
            ready = self.persist(ready).await?;
        }
        self.node.synced(ready.durable_index);
        self.send(std::mem::take(&mut ready.after_sync));
        if let Some(snapshot) = &ready.snapshot {
            self.state = decode_state(&snapshot.data);
            self.documents.store(Arc::new(self.state.documents.clone()));
            self.publish_routes();
            self.quarantined.send_replace(self.state.quarantined());
            self.duties.send_replace(DutyView::of(&self.state));
            self.applied.send_replace(snapshot.index);
            self.fail_proposals(snapshot.index);
        }
        self.apply(&ready.committed);
        self.complete_reads(&ready);
        self.compact().await
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            let member = self.node.members().get(message.to);
            let address = member.map(|member| member.address);
            if let Some(address) = address.or_else(|| self.senders.get(message.to)) {
                self.peers.send(address, message);
            }
        }
    }

    /// Writes on a blocking thread so that a slow sync does not stall other tasks.
    async fn persist(&mut self, ready: Ready) -> Result<Ready, DriverError> {
        let mut store = self.store.take().ok_or(DriverError::Writer)?;
        let rest = ready.snapshot.as_ref().map(|snapshot| {
            let log = self.node.log();
            log.slice(snapshot.index + 1, usize::MAX / 2).to_vec()
        });
        let hard = self.node.hard_state();
        let work = move || {
            let done = match (&ready.snapshot, rest) {
                (Some(snapshot), Some(rest)) => store.replace(hard, snapshot, &rest),
                _ => store.write(&Batch {
                    hard_state: ready.hard_state,
                    truncate: ready.truncate,
                    append: &ready.append,
                }),
            };
            done.map(|()| Written { store, ready })
        };
        let written = tokio::task::spawn_blocking(work).await;
        let written = written.map_err(|_| DriverError::Writer)?;
        let written = written.map_err(|source| DriverError::Disk { source })?;
        self.store = Some(written.store);
        Ok(written.ready)
    }

    fn apply(&mut self, entries: &[Entry]) {
        let before = self.state.documents.revision;
        for entry in entries {
            let reply = match &entry.payload {
                Payload::Command(bytes) => self.apply_command(entry.index, bytes),
                Payload::Empty | Payload::Members(_) => None,
            };
            self.complete_proposals(entry, reply);
        }
        if self.state.documents.revision != before {
            self.documents.store(Arc::new(self.state.documents.clone()));
        }
        self.publish_routes();
        if let Some(last) = entries.last() {
            self.applied.send_replace(last.index);
        }
    }

    /// Publishes the current route set if it is newer than the published ones.
    fn publish_routes(&self) {
        self.routes.send_if_modified(|sets| {
            let newer = sets.take(self.state.routes.as_ref());
            if newer {
                Event::new("routes-in-force")
                    .field("version", sets.version().unwrap_or_default())
                    .field("index", *self.applied.borrow())
                    .info();
            }
            newer
        });
    }

    fn apply_command(&mut self, index: Index, bytes: &[u8]) -> Option<Reply> {
        match rmp_serde::from_slice::<Command>(bytes) {
            Ok(command) => {
                let reply = self.state.apply(index, &command);
                match reply {
                    Reply::Quarantined => {
                        self.quarantined.send_replace(self.state.quarantined());
                    }
                    Reply::Holds(_) | Reply::GivenUp | Reply::Usage(_) => {
                        self.duties.send_replace(DutyView::of(&self.state));
                    }
                    _ => {}
                }
                Some(reply)
            }
            Err(_) => {
                // All instances of this version skip the entry, so their states stay
                // identical.
                Event::new("command-unreadable")
                    .field("index", index)
                    .error();
                None
            }
        }
    }

    /// Replies to proposals up to `entry`. A proposal whose entry another leader
    /// overwrote fails.
    fn complete_proposals(&mut self, entry: &Entry, mut reply: Option<Reply>) {
        while self
            .proposals
            .front()
            .is_some_and(|proposal| proposal.index <= entry.index)
        {
            let Some(proposal) = self.proposals.pop_front() else {
                return;
            };
            let own = proposal.index == entry.index && proposal.term == entry.term;
            let result = reply
                .take()
                .filter(|_| own)
                .ok_or(ControlUnavailable::NoMajority);
            let _ = proposal.reply.send(result);
        }
    }

    fn fail_proposals(&mut self, index: Index) {
        while self
            .proposals
            .front()
            .is_some_and(|proposal| proposal.index <= index)
        {
            if let Some(proposal) = self.proposals.pop_front() {
                let _ = proposal.reply.send(Err(ControlUnavailable::NoMajority));
            }
        }
    }

    fn complete_reads(&mut self, ready: &Ready) {
        let index = *self.applied.borrow();
        let leader = self.leader();
        for read in std::mem::take(&mut self.reads) {
            if ready.reads.contains(&read.id) {
                let _ = read.reply.send(Ok(index));
            } else if ready.failed_reads.contains(&read.id) {
                let _ = read
                    .reply
                    .send(Err(ControlUnavailable::NotLeader { leader }));
            } else {
                self.reads.push(read);
            }
        }
    }

    async fn compact(&mut self) -> Result<(), DriverError> {
        let applied = *self.applied.borrow();
        let base = self.node.log().snapshot().index;
        let size = self.store.as_ref().map_or(0, Store::size);
        let large = size >= COMPACT_BYTES && applied > base;
        if applied - base < self.compact_after && !large {
            return Ok(());
        }
        let data = rmp_serde::to_vec(&self.state).expect("state encodes");
        let Some(snapshot) = self.node.compact(applied, data) else {
            return Ok(());
        };
        let hard = self.node.hard_state();
        let rest = self.node.log().slice(applied + 1, usize::MAX / 2).to_vec();
        let mut store = self.store.take().ok_or(DriverError::Writer)?;
        let work = move || store.replace(hard, &snapshot, &rest).map(|()| store);
        let replaced = tokio::task::spawn_blocking(work).await;
        let replaced = replaced.map_err(|_| DriverError::Writer)?;
        self.store = Some(replaced.map_err(|source| DriverError::Disk { source })?);
        Event::new("log-compacted").field("index", applied).info();
        Ok(())
    }

    fn publish_status(&self) {
        let status = ReplicaStatus {
            node: self.node.id(),
            term: self.node.term(),
            leads: self.node.is_leader(),
            leader: self.leader(),
            contact: self.node.in_contact(self.start.elapsed()),
            members: self.node.members().clone(),
            log_bytes: self.store.as_ref().map_or(0, Store::size),
            claims: self.state.claims(),
        };
        self.status.send_if_modified(|old| {
            let changed = *old != status;
            if old.members != status.members {
                log_members(&status);
            }
            if old.leader.is_some() && status.leader.is_none() {
                Event::new("leader-lost")
                    .field(
                        "address",
                        old.leader
                            .map_or("-".to_string(), |address| address.to_string()),
                    )
                    .field("term", status.term)
                    .warn();
            }
            if old.leads != status.leads {
                Event::new("leadership-changed")
                    .field("leads", status.leads)
                    .field("term", status.term)
                    .info();
            }
            *old = status;
            changed
        });
    }
}

/// Logs the members in force, committed or not.
fn log_members(status: &ReplicaStatus) {
    let role = |member: &Member| match (member.voter, member.seat) {
        (true, true) => "voter",
        (true, false) => "extra-voter",
        (false, true) => "learner",
        (false, false) => "extra-learner",
    };
    let texts: Vec<String> = status
        .members
        .iter()
        .map(|member| format!("{}:{:016x}:{}", member.name, member.id, role(member)))
        .collect();
    Event::new("members-changed")
        .field("leads", status.leads)
        .field("term", status.term)
        .field("members", texts.join(","))
        .info();
}

/// Result of a write on the blocking thread.
struct Written {
    store: Store,
    ready: Ready,
}

fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
