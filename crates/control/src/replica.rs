//! One instance's replica: the loop that owns log, disk and state.
//!
//! The loop takes everything that has arrived, steps the log, makes the
//! outcome durable in one sync and only then answers: while a sync runs, the
//! next batch gathers, so throughput grows with load (group commit).

mod handle;

pub use handle::{DutyView, Input, Replica, Standing};

use crate::command::{Action, Command, Reply};
use crate::peers::{Delivery, Peers};
use crate::sets::Sets;
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

/// Interval of the log's clock.
const TICK: Duration = Duration::from_millis(20);
/// Bytes in the log on disk after which it is compacted, whatever the number
/// of its entries: a route set of a few hundred routes takes over 100 KB, and
/// the smallest disk we run on holds 64 MB.
const COMPACT_BYTES: usize = 4 * 1024 * 1024;
/// Inputs taken into one batch.
const INPUTS: usize = 4096;

/// Why the replica stopped.
#[derive(Debug, Display, Error)]
pub enum Stopped {
    /// The disk failed.
    #[display("{source}")]
    Disk {
        /// How.
        source: StoreError,
    },
    /// The thread that writes ended.
    #[display("the writing thread ended; report this fault")]
    Writer,
}

/// The loop, before it runs.
#[derive(Debug)]
pub struct Driver {
    node: Node<SmallRng>,
    store: Option<Store>,
    state: State,
    peers: Peers,
    inputs: mpsc::Receiver<Input>,
    /// What became of large messages.
    reports: mpsc::UnboundedReceiver<Delivery>,
    documents: Arc<ArcSwap<Documents>>,
    routes: watch::Sender<Sets>,
    quarantined: watch::Sender<Vec<(Quarantined, Duration)>>,
    duties: watch::Sender<DutyView>,
    applied: watch::Sender<Index>,
    standing: watch::Sender<Standing>,
    waiters: VecDeque<Waiter>,
    reads: Vec<Reading>,
    next_read: ReadId,
    compact: u64,
    copies: usize,
    start: Instant,
    led: Option<Led>,
}

#[derive(Debug)]
struct Waiter {
    index: Index,
    term: Term,
    reply: oneshot::Sender<ControlReply<Reply>>,
}

#[derive(Debug)]
struct Reading {
    id: ReadId,
    reply: oneshot::Sender<ControlReply<Index>>,
}

/// Since when this instance leads, on both clocks.
#[derive(Clone, Copy, Debug)]
struct Led {
    term: Term,
    now: Duration,
    since: Instant,
}

/// What a replica keeps to.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Entries after which the log is compacted.
    pub compact: u64,
    /// Fewest voters with which a change is taken: with fewer, an acknowledged
    /// change would not survive the losses that the settings speak of.
    pub copies: usize,
}

/// A replica and the loop that drives it.
#[derive(Debug)]
pub struct Made {
    /// Handle.
    pub replica: Replica,
    /// Loop.
    pub driver: Driver,
}

/// Makes a replica of an opened data folder.
///
/// # Panics
///
/// Where the snapshot, whose checksum was right, does not decode, and where `peers`
/// belong to another replica already.
pub fn make(opened: Opened, mut peers: Peers, limits: Limits, seed: u64) -> Made {
    let (sender, inputs) = mpsc::channel(INPUTS);
    let reports = peers.reports().expect("peers belong to one replica");
    let snapshot = &opened.durable.snapshot;
    let state = decode(&snapshot.data);
    let applied = snapshot.index;
    let random = SmallRng::seed_from_u64(seed);
    let node = Node::new(
        opened.identity.node,
        Timing::default(),
        opened.durable,
        Moment::ZERO,
        random,
    );
    let documents = Arc::new(ArcSwap::from_pointee(state.documents.clone()));
    let mut sets = Sets::default();
    sets.take(state.routes.as_ref());
    let routes = watch::Sender::new(sets);
    let quarantined = watch::Sender::new(state.quarantined());
    let duties = watch::Sender::new(DutyView::of(&state));
    let applied = watch::Sender::new(applied);
    let standing = watch::Sender::new(Standing::default());
    let replica = Replica {
        inputs: sender,
        documents: Arc::clone(&documents),
        routes: routes.subscribe(),
        quarantined: quarantined.subscribe(),
        duties: duties.subscribe(),
        applied: applied.subscribe(),
        standing: standing.subscribe(),
    };
    let driver = Driver {
        node,
        store: Some(opened.store),
        state,
        peers,
        inputs,
        reports,
        documents,
        routes,
        quarantined,
        duties,
        applied,
        standing,
        waiters: VecDeque::new(),
        reads: Vec::new(),
        next_read: 0,
        compact: limits.compact,
        copies: limits.copies,
        start: Instant::now(),
        led: None,
    };
    Made { replica, driver }
}

fn decode(data: &[u8]) -> State {
    if data.is_empty() {
        return State::default();
    }
    rmp_serde::from_slice(data).expect("a snapshot with a right checksum decodes")
}

impl Driver {
    /// Makes this instance the first of a new cluster.
    pub fn bootstrap(&mut self, member: Member) {
        self.node.bootstrap(member);
    }

    /// Runs until every handle is dropped, or the disk fails.
    ///
    /// # Errors
    ///
    /// [`Stopped`]. State on disk is as the last sync left it.
    pub async fn run(mut self) -> Result<(), Stopped> {
        let mut ticks = tokio::time::interval(TICK);
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                count = self.inputs.recv_many(&mut batch, INPUTS) => {
                    if count == 0 {
                        return Ok(());
                    }
                }
                Some(report) = self.reports.recv() => self.delivery(report),
                _ = ticks.tick() => {}
            }
            let mut stop = false;
            for input in batch.drain(..) {
                stop |= matches!(input, Input::Stop);
                self.take(input);
            }
            self.node.tick(self.start.elapsed());
            self.settle().await?;
            self.publish();
            if stop {
                return Ok(());
            }
        }
    }

    fn delivery(&mut self, report: Delivery) {
        let now = self.start.elapsed();
        self.node
            .report_delivery(now, report.peer, report.delivered);
    }

    fn take(&mut self, input: Input) {
        let now = self.start.elapsed();
        match input {
            Input::Messages(messages) => {
                for message in messages {
                    self.node.receive(now, message);
                }
            }
            Input::Propose { action, reply } => self.propose(action, reply),
            Input::Confirm(reply) => self.confirm(reply),
            Input::Add { member, reply } => {
                let added = self.node.add_learner(now, member);
                let _ = reply.send(added.map_err(|refused| self.unable(refused)));
            }
            Input::HandOver => self.node.transfer_leadership(now),
            Input::Stop => {}
        }
    }

    fn propose(&mut self, action: Action, reply: oneshot::Sender<ControlReply<Reply>>) {
        if self.node.members().voters().count() < self.copies {
            Event::new("change-refused")
                .field("reason", "too-few-voters")
                .field("voters", self.node.members().voters().count())
                .field("needed", self.copies)
                .warn();
            let _ = reply.send(Err(ControlUnavailable::NoMajority));
            return;
        }
        let command = Command {
            now: self.cluster_time(),
            wall: wall(),
            action,
        };
        let bytes = rmp_serde::to_vec(&command).expect("commands encode");
        match self.node.propose(bytes) {
            Ok(index) => {
                let term = self.node.term();
                self.waiters.push_back(Waiter { index, term, reply });
            }
            Err(refused) => {
                let _ = reply.send(Err(self.unable(refused)));
            }
        }
    }

    fn confirm(&mut self, reply: oneshot::Sender<ControlReply<Index>>) {
        self.next_read += 1;
        let id = self.next_read;
        match self.node.read(id) {
            Ok(()) => self.reads.push(Reading { id, reply }),
            Err(refused) => {
                let _ = reply.send(Err(self.unable(refused)));
            }
        }
    }

    /// The cluster's time: what it was when this instance began to lead, and
    /// what its monotonic clock measured since.
    fn cluster_time(&mut self) -> Duration {
        let term = self.node.term();
        let led = self.led.filter(|led| led.term == term);
        let led = led.unwrap_or(Led {
            term,
            now: self.state.now,
            since: Instant::now(),
        });
        self.led = Some(led);
        led.now + led.since.elapsed()
    }

    fn unable(&self, refused: RequestError) -> ControlUnavailable {
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

    /// Does what the log wants done, until it wants nothing more.
    async fn settle(&mut self) -> Result<(), Stopped> {
        loop {
            let ready = self.node.take_ready();
            if ready.is_empty() {
                return Ok(());
            }
            self.handle(ready).await?;
        }
    }

    async fn handle(&mut self, mut ready: Ready) -> Result<(), Stopped> {
        self.send(std::mem::take(&mut ready.immediate));
        if ready.must_sync() {
            ready = self.persist(ready).await?;
        }
        self.node.synced(ready.durable_index);
        self.send(std::mem::take(&mut ready.after_sync));
        if let Some(snapshot) = &ready.snapshot {
            self.state = decode(&snapshot.data);
            self.documents.store(Arc::new(self.state.documents.clone()));
            self.publish_routes();
            self.quarantined.send_replace(self.state.quarantined());
            self.duties.send_replace(DutyView::of(&self.state));
            self.applied.send_replace(snapshot.index);
            self.fail_waiters(snapshot.index);
        }
        self.apply(&ready.committed);
        self.finish_reads(&ready);
        self.compact().await
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            let member = self.node.members().get(message.to);
            if let Some(address) = member.map(|member| member.address) {
                self.peers.send(address, message);
            }
        }
    }

    /// Writes on a thread of its own, so that a slow sync stalls no other
    /// task of the process.
    async fn persist(&mut self, ready: Ready) -> Result<Ready, Stopped> {
        let mut store = self.store.take().ok_or(Stopped::Writer)?;
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
        let written = written.map_err(|_| Stopped::Writer)?;
        let written = written.map_err(|source| Stopped::Disk { source })?;
        self.store = Some(written.store);
        Ok(written.ready)
    }

    fn apply(&mut self, entries: &[Entry]) {
        let before = self.state.documents.revision;
        for entry in entries {
            let reply = match &entry.payload {
                Payload::Command(bytes) => self.command(entry.index, bytes),
                Payload::Empty | Payload::Members(_) => None,
            };
            self.answer(entry, reply);
        }
        if self.state.documents.revision != before {
            self.documents.store(Arc::new(self.state.documents.clone()));
        }
        self.publish_routes();
        if let Some(last) = entries.last() {
            self.applied.send_replace(last.index);
        }
    }

    /// Tells followers of a newer route set.
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

    fn command(&mut self, index: Index, bytes: &[u8]) -> Option<Reply> {
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
                // Every instance of this version skips it alike.
                Event::new("command-unreadable")
                    .field("index", index)
                    .error();
                None
            }
        }
    }

    /// Answers those who waited for an entry, or for one that another leader
    /// put something else in the place of.
    fn answer(&mut self, entry: &Entry, mut reply: Option<Reply>) {
        while self
            .waiters
            .front()
            .is_some_and(|waiter| waiter.index <= entry.index)
        {
            let Some(waiter) = self.waiters.pop_front() else {
                return;
            };
            let own = waiter.index == entry.index && waiter.term == entry.term;
            let answer = reply
                .take()
                .filter(|_| own)
                .ok_or(ControlUnavailable::NoMajority);
            let _ = waiter.reply.send(answer);
        }
    }

    fn fail_waiters(&mut self, index: Index) {
        while self
            .waiters
            .front()
            .is_some_and(|waiter| waiter.index <= index)
        {
            if let Some(waiter) = self.waiters.pop_front() {
                let _ = waiter.reply.send(Err(ControlUnavailable::NoMajority));
            }
        }
    }

    fn finish_reads(&mut self, ready: &Ready) {
        let index = *self.applied.borrow();
        let leader = self.leader();
        for reading in std::mem::take(&mut self.reads) {
            if ready.reads.contains(&reading.id) {
                let _ = reading.reply.send(Ok(index));
            } else if ready.failed_reads.contains(&reading.id) {
                let _ = reading
                    .reply
                    .send(Err(ControlUnavailable::NotLeader { leader }));
            } else {
                self.reads.push(reading);
            }
        }
    }

    async fn compact(&mut self) -> Result<(), Stopped> {
        let applied = *self.applied.borrow();
        let base = self.node.log().snapshot().index;
        let size = self.store.as_ref().map_or(0, Store::size);
        let large = size >= COMPACT_BYTES && applied > base;
        if applied - base < self.compact && !large {
            return Ok(());
        }
        let data = rmp_serde::to_vec(&self.state).expect("state encodes");
        let Some(snapshot) = self.node.compact(applied, data) else {
            return Ok(());
        };
        let hard = self.node.hard_state();
        let rest = self.node.log().slice(applied + 1, usize::MAX / 2).to_vec();
        let mut store = self.store.take().ok_or(Stopped::Writer)?;
        let work = move || store.replace(hard, &snapshot, &rest).map(|()| store);
        let replaced = tokio::task::spawn_blocking(work).await;
        let replaced = replaced.map_err(|_| Stopped::Writer)?;
        self.store = Some(replaced.map_err(|source| Stopped::Disk { source })?);
        Event::new("log-compacted").field("index", applied).info();
        Ok(())
    }

    fn publish(&self) {
        let standing = Standing {
            node: self.node.id(),
            term: self.node.term(),
            leads: self.node.is_leader(),
            leader: self.leader(),
            contact: self.node.in_contact(self.start.elapsed()),
            members: self.node.members().clone(),
            size: self.store.as_ref().map_or(0, Store::size),
            claims: self.state.claims(),
        };
        self.standing.send_if_modified(|old| {
            let changed = *old != standing;
            if old.leader.is_some() && standing.leader.is_none() {
                Event::new("leader-lost")
                    .field(
                        "address",
                        old.leader
                            .map_or("-".to_string(), |address| address.to_string()),
                    )
                    .field("term", standing.term)
                    .warn();
            }
            if old.leads != standing.leads {
                Event::new("leadership-changed")
                    .field("leads", standing.leads)
                    .field("term", standing.term)
                    .info();
            }
            *old = standing;
            changed
        });
    }
}

/// A finished write.
struct Written {
    store: Store,
    ready: Ready,
}

fn wall() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
