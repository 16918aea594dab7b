//! A simulated cluster of nodes, with a network, disks and clocks that fail on command.

pub(crate) mod schedule;
mod steps;

pub(crate) use steps::{CrashPoint, Step, step};

use dogwoodhill_consensus::log::{Entry, Payload};
use dogwoodhill_consensus::members::Member;
use dogwoodhill_consensus::message::Message;
use dogwoodhill_consensus::node::{DurableState, Node, Timing};
use dogwoodhill_consensus::ready::Ready;
use dogwoodhill_consensus::{Index, Moment, NodeId, ReadId, Term};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::net::SocketAddr;

/// Bytes of a large command: it is sent alone, and not repeated while it is in flight.
const LARGE_COMMAND_BYTES: usize = 64 * 1024;
/// One of this many commands is large.
const LARGE_COMMAND_INTERVAL: usize = 5;

/// A simulated machine with a disk and a clock, which runs one instance at a time.
struct Host {
    id: NodeId,
    name: String,
    /// Whether it joins as a replacement, without a seat.
    is_replacement: bool,
    node: Option<Node<SmallRng>>,
    durable: DurableState,
    /// First byte of each command applied.
    state: Vec<u8>,
    applied: Index,
    /// Time by which this instance's clock is ahead.
    clock_offset: Moment,
    crash: CrashPoint,
    /// Reads in progress, each with the number of entries committed before it.
    reads: Vec<(ReadId, usize)>,
}

/// The hosts, the network between them, and what the invariants are checked against.
pub(crate) struct Cluster {
    hosts: Vec<Host>,
    network: Vec<Message>,
    /// Sender and receiver of links that drop all messages.
    blocked_links: Vec<(NodeId, NodeId)>,
    now: Moment,
    /// All entries committed so far.
    committed: Vec<Entry>,
    /// The leader of each term that had one, sorted by term.
    leaders: Vec<(Term, NodeId)>,
    /// Id of the next instance.
    next: u64,
    voter_count: usize,
    reads: u64,
    pub(crate) confirmed_reads: usize,
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

impl Cluster {
    /// A cluster of `count` instances, all voters, with a leader.
    pub(crate) fn new(count: usize) -> Self {
        let mut cluster = Self {
            hosts: Vec::new(),
            network: Vec::new(),
            blocked_links: Vec::new(),
            now: Moment::ZERO,
            committed: Vec::new(),
            leaders: Vec::new(),
            next: 1,
            voter_count: count,
            reads: 0,
            confirmed_reads: 0,
        };
        for i in 0..count {
            cluster.spawn(i);
        }
        let first = &mut cluster.hosts[0];
        let member = Member {
            id: first.id,
            name: first.name.clone(),
            address: address(),
            voter: true,
            seat: true,
        };
        first.node.as_mut().unwrap().bootstrap(member);
        // An instance claims a seat only the first time that it joins.
        first.is_replacement = true;
        cluster.recover();
        cluster
    }

    fn spawn(&mut self, i: usize) {
        let id = self.next;
        self.next += 1;
        let random = SmallRng::seed_from_u64(id);
        let node = Node::new(
            id,
            Timing::default(),
            DurableState::default(),
            self.now,
            random,
        )
        .with_min_seats(self.voter_count);
        let host = Host {
            id,
            name: format!("control-{i}"),
            is_replacement: false,
            node: Some(node),
            durable: DurableState::default(),
            state: Vec::new(),
            applied: 0,
            clock_offset: Moment::ZERO,
            crash: CrashPoint::Never,
            reads: Vec::new(),
        };
        if i < self.hosts.len() {
            self.hosts[i] = host;
        } else {
            self.hosts.push(host);
        }
    }

    pub(crate) fn run(&mut self, step: &Step) {
        let count = self.hosts.len();
        match step {
            Step::Advance(ms) => self.advance(Moment::from_millis(u64::from(*ms))),
            Step::AdvanceOne(n, ms) => {
                let i = n % count;
                self.hosts[i].clock_offset += Moment::from_millis(u64::from(*ms));
                let now = self.clock(i);
                self.with_node(i, |node| node.tick(now));
            }
            Step::Isolate(n) => self.isolate(n % count),
            Step::Deliver(n) => self.deliver_one(*n, false),
            Step::DeliverAll => self.deliver_all(),
            Step::Drop(n) if !self.network.is_empty() => {
                let at = n % self.network.len();
                let lost = self.network.swap_remove(at);
                self.report_undelivered(&lost);
            }
            Step::Drop(_) => {}
            Step::Repeat(n) => self.deliver_one(*n, true),
            Step::Crash(n, CrashPoint::Never) => self.stop(n % count),
            Step::Crash(n, at) => self.hosts[n % count].crash = *at,
            Step::Restart(n) => self.restart(n % count),
            Step::LoseDisk(n) => self.lose_disk(n % count),
            Step::Replace(n) => self.replace(n % count),
            Step::Propose(n) => self.propose(n % count),
            Step::Read(n) => self.read(n % count),
            Step::Compact(n) => self.compact(n % count),
            Step::BlockLink(a, b) => {
                let link = (self.hosts[a % count].id, self.hosts[b % count].id);
                self.blocked_links.push(link);
            }
            Step::Heal => self.blocked_links.clear(),
            Step::TransferLeadership(n) => {
                let now = self.clock(n % count);
                self.with_node(n % count, |node| node.transfer_leadership(now));
            }
            Step::Remove(a, b) => self.remove(a % count, b % count),
        }
        self.check_leaders();
    }

    /// Ends all failures, and advances the time until a leader commits an entry.
    pub(crate) fn recover(&mut self) {
        self.blocked_links.clear();
        for i in 0..self.hosts.len() {
            self.hosts[i].crash = CrashPoint::Never;
            self.restart(i);
        }
        let before = self.committed.len();
        for round in 0..600 {
            self.advance(Moment::from_millis(50));
            self.deliver_all();
            self.check_leaders();
            self.add_missing_members();
            if round % 10 == 0 {
                (0..self.hosts.len()).for_each(|i| self.propose(i));
            }
            if self.committed.len() > before && self.has_recovered() {
                return;
            }
        }
        panic!("no leader with all voters within 30 s");
    }

    /// Whether all instances are the voters of a leader and have applied all entries.
    fn has_recovered(&self) -> bool {
        let nodes = || self.hosts.iter().filter_map(|host| host.node.as_ref());
        let has_leader = nodes().any(|node| {
            let voters: Vec<NodeId> = node.members().voters().collect();
            node.is_leader()
                && voters.len() == self.voter_count
                && self.hosts.iter().all(|host| voters.contains(&host.id))
        });
        let last = self.committed.len() as Index;
        has_leader && self.hosts.iter().all(|host| host.applied == last)
    }

    /// Adds instances that are not members, as if each had requested to join.
    fn add_missing_members(&mut self) {
        let missing: Vec<Member> = self
            .hosts
            .iter()
            .map(|host| Member {
                id: host.id,
                name: host.name.clone(),
                address: address(),
                voter: false,
                seat: !host.is_replacement,
            })
            .collect();
        for i in 0..self.hosts.len() {
            for member in &missing {
                let member = member.clone();
                let id = member.id;
                let now = self.clock(i);
                let mut added = false;
                self.with_node(i, |node| {
                    if node.is_leader() && node.members().get(id).is_none() {
                        added = node.add_learner(now, member).is_ok();
                    }
                });
                for host in self.hosts.iter_mut().filter(|host| host.id == id) {
                    host.is_replacement |= added;
                }
            }
        }
    }

    fn clock(&self, i: usize) -> Moment {
        self.now + self.hosts[i].clock_offset
    }

    fn with_node(&mut self, i: usize, act: impl FnOnce(&mut Node<SmallRng>)) {
        if let Some(node) = &mut self.hosts[i].node {
            act(node);
            self.process_ready(i);
        }
    }

    fn advance(&mut self, time: Moment) {
        self.now += time;
        for i in 0..self.hosts.len() {
            let now = self.clock(i);
            self.with_node(i, |node| node.tick(now));
        }
    }

    /// Reports to the sender of a large message that it was not delivered.
    fn report_undelivered(&mut self, lost: &Message) {
        if lost.is_large() {
            let from = self.hosts.iter().position(|host| host.id == lost.from);
            if let Some(i) = from {
                let now = self.clock(i);
                self.with_node(i, |node| node.report_delivery(now, lost.to, false));
            }
        }
    }

    fn deliver_one(&mut self, n: usize, duplicate: bool) {
        if self.network.is_empty() {
            return;
        }
        let at = n % self.network.len();
        let message = if duplicate {
            self.network[at].clone()
        } else {
            self.network.swap_remove(at)
        };
        self.deliver(message);
    }

    fn deliver_all(&mut self) {
        for _ in 0..40 {
            let messages = std::mem::take(&mut self.network);
            if messages.is_empty() {
                return;
            }
            messages
                .into_iter()
                .for_each(|message| self.deliver(message));
        }
    }

    fn deliver(&mut self, message: Message) {
        if self.blocked_links.contains(&(message.from, message.to)) {
            return;
        }
        let found = self.hosts.iter().position(|host| host.id == message.to);
        if let Some(i) = found {
            let now = self.clock(i);
            self.with_node(i, |node| node.receive(now, message));
        }
    }

    fn stop(&mut self, i: usize) {
        self.hosts[i].node = None;
        self.hosts[i].reads.clear();
    }

    fn restart(&mut self, i: usize) {
        let now = self.clock(i);
        let host = &mut self.hosts[i];
        if host.node.is_some() {
            return;
        }
        host.state = host.durable.snapshot.data.clone();
        host.applied = host.durable.snapshot.index;
        let random = SmallRng::seed_from_u64(host.id + now.as_millis() as u64);
        let durable = host.durable.clone();
        let node = Node::new(host.id, Timing::default(), durable, now, random);
        host.node = Some(node.with_min_seats(self.voter_count));
    }

    /// An instance that lost its disk returns under a new id. Only if all instances are
    /// up: with three voters a second loss would lose data, which the cluster need not
    /// survive. A single instance can't recover from a lost disk at all.
    fn lose_disk(&mut self, i: usize) {
        if self.voter_count > 1
            && self.has_recovered()
            && self.hosts.iter().all(|host| host.node.is_some())
        {
            self.spawn(i);
            self.hosts[i].is_replacement = true;
            self.add_missing_members();
        }
    }

    /// A new instance replaces one that never returns. Only if all are up, as above.
    fn replace(&mut self, i: usize) {
        if self.voter_count > 1
            && self.has_recovered()
            && self.hosts.iter().all(|host| host.node.is_some())
        {
            self.spawn(i);
            let host = &mut self.hosts[i];
            host.name = format!("replacement-{}", host.id);
            host.is_replacement = true;
            self.add_missing_members();
        }
    }

    fn propose(&mut self, i: usize) {
        let large = self.committed.len().is_multiple_of(LARGE_COMMAND_INTERVAL);
        let command =
            vec![self.committed.len() as u8; if large { LARGE_COMMAND_BYTES } else { 1 }];
        self.with_node(i, |node| {
            let _ = node.propose(command);
        });
    }

    fn read(&mut self, i: usize) {
        self.reads += 1;
        let id = self.reads;
        let seen = self.committed.len();
        if let Some(node) = &mut self.hosts[i].node
            && node.read(id).is_ok()
        {
            self.hosts[i].reads.push((id, seen));
            self.process_ready(i);
        }
    }

    fn remove(&mut self, a: usize, b: usize) {
        let now = self.clock(a);
        let id = self.hosts[b].id;
        if self.has_recovered() && a != b {
            self.with_node(a, |node| {
                let _ = node.remove(now, id);
            });
        }
    }

    fn compact(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        let Some(node) = &mut host.node else { return };
        if let Some(snapshot) = node.compact(host.applied, host.state.clone()) {
            let index = snapshot.index;
            host.durable.snapshot = snapshot;
            host.durable.entries.retain(|entry| entry.index > index);
        }
    }

    /// Processes all pending work of a node, as its owner would.
    fn process_ready(&mut self, i: usize) {
        loop {
            let Some(node) = &mut self.hosts[i].node else {
                return;
            };
            let ready = node.take_ready();
            if ready.is_empty() {
                return;
            }
            if !self.handle(i, ready) {
                return;
            }
        }
    }

    fn handle(&mut self, i: usize, ready: Ready) -> bool {
        self.network.extend(ready.immediate.iter().cloned());
        if self.hosts[i].crash == CrashPoint::BeforeSync && ready.must_sync() {
            self.hosts[i].crash = CrashPoint::Never;
            self.stop(i);
            return false;
        }
        self.persist(i, &ready);
        if self.hosts[i].crash == CrashPoint::AfterSync && ready.must_sync() {
            self.hosts[i].crash = CrashPoint::Never;
            self.stop(i);
            return false;
        }
        let node = self.hosts[i].node.as_mut().unwrap();
        node.synced(ready.durable_index);
        self.network.extend(ready.after_sync);
        for entry in ready.committed {
            self.apply(i, entry);
        }
        self.finish_reads(i, &ready.reads);
        let failed = ready.failed_reads;
        self.hosts[i].reads.retain(|(id, _)| !failed.contains(id));
        true
    }

    fn persist(&mut self, i: usize, ready: &Ready) {
        let host = &mut self.hosts[i];
        let durable = &mut host.durable;
        if let Some(hard) = ready.hard_state {
            assert!(hard.term >= durable.hard_state.term, "terms never fall");
            durable.hard_state = hard;
        }
        if let Some(snapshot) = &ready.snapshot {
            let log = host.node.as_ref().unwrap().log();
            durable.entries = log.slice(snapshot.index + 1, usize::MAX >> 1).to_vec();
            durable.snapshot = snapshot.clone();
            host.state = snapshot.data.clone();
            host.applied = snapshot.index;
            self.check_snapshot(snapshot.index, i);
            return;
        }
        if let Some(from) = ready.truncate {
            durable.entries.retain(|entry| entry.index < from);
        }
        durable.entries.extend(ready.append.iter().cloned());
        let base = durable.snapshot.index;
        for (at, entry) in durable.entries.iter().enumerate() {
            assert_eq!(entry.index, base + 1 + at as Index, "no gap on disk");
        }
    }

    /// Checks that a snapshot equals the state after the committed entries.
    fn check_snapshot(&self, index: Index, i: usize) {
        let state: Vec<u8> = self.committed[..index as usize]
            .iter()
            .filter_map(command)
            .collect();
        assert_eq!(self.hosts[i].state, state, "equals the applied entries");
    }

    fn apply(&mut self, i: usize, entry: Entry) {
        let host = &mut self.hosts[i];
        assert_eq!(entry.index, host.applied + 1, "applied in order");
        host.applied = entry.index;
        host.state.extend(command(&entry));
        let at = entry.index as usize - 1;
        match self.committed.get(at) {
            Some(known) => assert_eq!(*known, entry, "committed entries never change"),
            None => {
                assert_eq!(at, self.committed.len());
                self.committed.push(entry);
            }
        }
    }

    fn finish_reads(&mut self, i: usize, done: &[ReadId]) {
        let host = &mut self.hosts[i];
        let applied = host.applied;
        let mut confirmed_reads = 0;
        host.reads.retain(|(id, seen)| {
            let ends = done.contains(id);
            if ends {
                assert!(applied >= *seen as Index, "a read sees earlier entries");
                confirmed_reads += 1;
            }
            !ends
        });
        self.confirmed_reads += confirmed_reads;
    }

    fn check_leaders(&mut self) {
        for host in &self.hosts {
            let Some(node) = &host.node else { continue };
            if !node.is_leader() {
                continue;
            }
            let term = node.term();
            let at = self.leaders.binary_search_by_key(&term, |known| known.0);
            match at {
                Ok(at) => assert_eq!(self.leaders[at].1, host.id, "one leader a term"),
                Err(at) => self.leaders.insert(at, (term, host.id)),
            }
        }
    }

    // State that single tests inspect.

    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |host: &Host| host.node.as_ref().is_some_and(Node::is_leader);
        self.hosts.iter().position(leads)
    }

    pub(crate) fn is_leader(&self, i: usize) -> bool {
        self.hosts[i].node.as_ref().is_some_and(Node::is_leader)
    }

    pub(crate) fn committed(&self) -> usize {
        self.committed.len()
    }

    pub(crate) fn isolate(&mut self, i: usize) {
        let id = self.hosts[i].id;
        for other in 0..self.hosts.len() {
            let other = self.hosts[other].id;
            self.blocked_links.push((id, other));
            self.blocked_links.push((other, id));
        }
    }

    pub(crate) fn seats(&self) -> usize {
        let leader = self.leader().expect("a leader");
        let node = self.hosts[leader].node.as_ref().unwrap();
        node.members().iter().filter(|member| member.seat).count()
    }

    pub(crate) fn term(&self, i: usize) -> Term {
        self.hosts[i].node.as_ref().map_or(0, Node::term)
    }
}

fn command(entry: &Entry) -> Option<u8> {
    match &entry.payload {
        Payload::Command(bytes) => bytes.first().copied(),
        _ => None,
    }
}
