//! A small group of nodes with a network and disks that fail on command.

use dogwoodhill_consensus::log::{Entry, Payload};
use dogwoodhill_consensus::members::Member;
use dogwoodhill_consensus::message::Message;
use dogwoodhill_consensus::node::{DurableState, Node, Timing};
use dogwoodhill_consensus::ready::Ready;
use dogwoodhill_consensus::{Index, Moment, NodeId, ReadId, Term};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::net::SocketAddr;

/// Bytes of a command that is sent alone, and not again while it is under way.
const LARGE: usize = 64 * 1024;
/// One in so many commands is large.
const LARGE_EVERY: usize = 5;

/// Where in the handling of a [`Ready`] an instance crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashPoint {
    Never,
    BeforeSync,
    AfterSync,
}

/// One thing that happens. Numbers are taken modulo what there is.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Pass(u16),
    /// Time passes for one instance only, as under a frozen process or a
    /// clock that runs ahead.
    PassOne(usize, u16),
    Isolate(usize),
    Deliver(usize),
    DeliverAll,
    Drop(usize),
    Repeat(usize),
    Crash(usize, CrashPoint),
    Restart(usize),
    LoseDisk(usize),
    /// An instance is gone for good; an empty one with another name comes.
    Replace(usize),
    Propose(usize),
    Read(usize),
    Compact(usize),
    Cut(usize, usize),
    Heal,
    HandOver(usize),
    Remove(usize, usize),
}

pub(crate) fn step() -> impl Strategy<Value = Step> {
    let crash = prop_oneof![
        Just(CrashPoint::Never),
        Just(CrashPoint::BeforeSync),
        Just(CrashPoint::AfterSync)
    ];
    prop_oneof![
        4 => (20u16..300).prop_map(Step::Pass),
        12 => (any::<usize>(), 100u16..1500).prop_map(|(n, ms)| Step::PassOne(n, ms)),
        40 => any::<usize>().prop_map(Step::Deliver),
        3 => Just(Step::DeliverAll),
        6 => any::<usize>().prop_map(Step::Drop),
        4 => any::<usize>().prop_map(Step::Repeat),
        4 => (any::<usize>(), crash).prop_map(|(n, at)| Step::Crash(n, at)),
        6 => any::<usize>().prop_map(Step::Restart),
        1 => any::<usize>().prop_map(Step::Isolate),
        1 => any::<usize>().prop_map(Step::LoseDisk),
        1 => any::<usize>().prop_map(Step::Replace),
        10 => any::<usize>().prop_map(Step::Propose),
        2 => any::<usize>().prop_map(Step::Read),
        1 => any::<usize>().prop_map(Step::Compact),
        1 => any::<(usize, usize)>().prop_map(|(a, b)| Step::Cut(a, b)),
        2 => Just(Step::Heal),
        1 => any::<usize>().prop_map(Step::HandOver),
        1 => any::<(usize, usize)>().prop_map(|(a, b)| Step::Remove(a, b)),
    ]
}

struct Place {
    id: NodeId,
    name: String,
    /// Whether it asks to join as a replacement.
    replaces: bool,
    node: Option<Node<SmallRng>>,
    durable: DurableState,
    /// Commands applied, as the owner's state.
    state: Vec<u8>,
    applied: Index,
    /// How far this instance's clock is ahead.
    ahead: Moment,
    crash: CrashPoint,
    reads: Vec<(ReadId, usize)>,
}

pub(crate) struct Group {
    places: Vec<Place>,
    net: Vec<Message>,
    cuts: Vec<(NodeId, NodeId)>,
    now: Moment,
    chosen: Vec<Entry>,
    leaders: Vec<(Term, NodeId)>,
    next: u64,
    voters: usize,
    reads: u64,
    pub(crate) confirmed: usize,
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

impl Group {
    /// `count` instances, all voters, with a leader.
    pub(crate) fn new(count: usize) -> Self {
        let mut group = Self {
            places: Vec::new(),
            net: Vec::new(),
            cuts: Vec::new(),
            now: Moment::ZERO,
            chosen: Vec::new(),
            leaders: Vec::new(),
            next: 1,
            voters: count,
            reads: 0,
            confirmed: 0,
        };
        for i in 0..count {
            group.spawn(i);
        }
        let first = &mut group.places[0];
        let member = Member {
            id: first.id,
            name: first.name.clone(),
            address: address(),
            voter: true,
            seat: true,
        };
        first.node.as_mut().unwrap().bootstrap(member);
        group.settle();
        group
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
        );
        let place = Place {
            id,
            name: format!("control-{i}"),
            replaces: false,
            node: Some(node),
            durable: DurableState::default(),
            state: Vec::new(),
            applied: 0,
            ahead: Moment::ZERO,
            crash: CrashPoint::Never,
            reads: Vec::new(),
        };
        if i < self.places.len() {
            self.places[i] = place;
        } else {
            self.places.push(place);
        }
    }

    pub(crate) fn run(&mut self, step: &Step) {
        let count = self.places.len();
        match step {
            Step::Pass(ms) => self.pass(Moment::from_millis(u64::from(*ms))),
            Step::PassOne(n, ms) => {
                let i = n % count;
                self.places[i].ahead += Moment::from_millis(u64::from(*ms));
                let now = self.clock(i);
                self.with(i, |node| node.tick(now));
            }
            Step::Isolate(n) => self.isolate(n % count),
            Step::Deliver(n) => self.deliver_one(*n, false),
            Step::DeliverAll => self.deliver_all(),
            Step::Drop(n) if !self.net.is_empty() => {
                let at = n % self.net.len();
                let lost = self.net.swap_remove(at);
                self.report(&lost);
            }
            Step::Drop(_) => {}
            Step::Repeat(n) => self.deliver_one(*n, true),
            Step::Crash(n, CrashPoint::Never) => self.stop(n % count),
            Step::Crash(n, at) => self.places[n % count].crash = *at,
            Step::Restart(n) => self.restart(n % count),
            Step::LoseDisk(n) => self.lose_disk(n % count),
            Step::Replace(n) => self.replace(n % count),
            Step::Propose(n) => self.propose(n % count),
            Step::Read(n) => self.read(n % count),
            Step::Compact(n) => self.compact(n % count),
            Step::Cut(a, b) => {
                let cut = (self.places[a % count].id, self.places[b % count].id);
                self.cuts.push(cut);
            }
            Step::Heal => self.cuts.clear(),
            Step::HandOver(n) => {
                let now = self.clock(n % count);
                self.with(n % count, |node| node.transfer_leadership(now));
            }
            Step::Remove(a, b) => self.remove(a % count, b % count),
        }
        self.check_leaders();
    }

    /// Heals everything, and lets time pass until a leader commits.
    pub(crate) fn settle(&mut self) {
        self.cuts.clear();
        for i in 0..self.places.len() {
            self.places[i].crash = CrashPoint::Never;
            self.restart(i);
        }
        let before = self.chosen.len();
        for round in 0..600 {
            self.pass(Moment::from_millis(50));
            self.deliver_all();
            self.check_leaders();
            self.join_missing();
            if round % 10 == 0 {
                (0..self.places.len()).for_each(|i| self.propose(i));
            }
            if self.chosen.len() > before && self.whole() {
                return;
            }
        }
        panic!("no leader with all voters within 30 s");
    }

    /// Whether some leader has as many voters as there are instances, each
    /// running, and everyone applied everything.
    fn whole(&self) -> bool {
        let nodes = || self.places.iter().filter_map(|place| place.node.as_ref());
        let led = nodes().any(|node| {
            let voters: Vec<NodeId> = node.members().voters().collect();
            node.is_leader()
                && voters.len() == self.voters
                && self.places.iter().all(|place| voters.contains(&place.id))
        });
        let last = self.chosen.len() as Index;
        led && self.places.iter().all(|place| place.applied == last)
    }

    /// What an instance does that is no member: asks the leader to add it.
    fn join_missing(&mut self) {
        let missing: Vec<Member> = self
            .places
            .iter()
            .map(|place| Member {
                id: place.id,
                name: place.name.clone(),
                address: address(),
                voter: false,
                seat: !place.replaces,
            })
            .collect();
        for i in 0..self.places.len() {
            for member in &missing {
                let member = member.clone();
                let now = self.clock(i);
                self.with(i, |node| {
                    if node.is_leader() && node.members().get(member.id).is_none() {
                        let _ = node.add_learner(now, member);
                    }
                });
            }
        }
    }

    fn clock(&self, i: usize) -> Moment {
        self.now + self.places[i].ahead
    }

    fn with(&mut self, i: usize, act: impl FnOnce(&mut Node<SmallRng>)) {
        if let Some(node) = &mut self.places[i].node {
            act(node);
            self.pump(i);
        }
    }

    fn pass(&mut self, time: Moment) {
        self.now += time;
        for i in 0..self.places.len() {
            let now = self.clock(i);
            self.with(i, |node| node.tick(now));
        }
    }

    /// Whoever sends a large message learns that it was not delivered.
    fn report(&mut self, lost: &Message) {
        if lost.is_large() {
            let from = self.places.iter().position(|place| place.id == lost.from);
            if let Some(i) = from {
                let now = self.clock(i);
                self.with(i, |node| node.report_delivery(now, lost.to, false));
            }
        }
    }

    fn deliver_one(&mut self, n: usize, keep: bool) {
        if self.net.is_empty() {
            return;
        }
        let at = n % self.net.len();
        let message = if keep {
            self.net[at].clone()
        } else {
            self.net.swap_remove(at)
        };
        self.deliver(message);
    }

    fn deliver_all(&mut self) {
        for _ in 0..40 {
            let messages = std::mem::take(&mut self.net);
            if messages.is_empty() {
                return;
            }
            messages
                .into_iter()
                .for_each(|message| self.deliver(message));
        }
    }

    fn deliver(&mut self, message: Message) {
        if self.cuts.contains(&(message.from, message.to)) {
            return;
        }
        let found = self.places.iter().position(|place| place.id == message.to);
        if let Some(i) = found {
            let now = self.clock(i);
            self.with(i, |node| node.receive(now, message));
        }
    }

    fn stop(&mut self, i: usize) {
        self.places[i].node = None;
        self.places[i].reads.clear();
    }

    fn restart(&mut self, i: usize) {
        let now = self.clock(i);
        let place = &mut self.places[i];
        if place.node.is_some() {
            return;
        }
        place.state = place.durable.snapshot.data.clone();
        place.applied = place.durable.snapshot.index;
        let random = SmallRng::seed_from_u64(place.id + now.as_millis() as u64);
        let durable = place.durable.clone();
        place.node = Some(Node::new(place.id, Timing::default(), durable, now, random));
    }

    /// An instance without its disk returns under a new id. Only where every
    /// other one is up: with three voters a second loss would lose data, and
    /// that is no failure to be survived. A single instance has nothing to
    /// come back from.
    fn lose_disk(&mut self, i: usize) {
        if self.voters > 1
            && self.whole()
            && self.places.iter().all(|place| place.node.is_some())
        {
            self.spawn(i);
            self.join_missing();
        }
    }

    /// Another instance takes the place of one that never returns. As with a
    /// lost disk, only where every other one is up.
    fn replace(&mut self, i: usize) {
        if self.voters > 1
            && self.whole()
            && self.places.iter().all(|place| place.node.is_some())
        {
            self.spawn(i);
            let place = &mut self.places[i];
            place.name = format!("replacement-{}", place.id);
            place.replaces = true;
            self.join_missing();
        }
    }

    fn propose(&mut self, i: usize) {
        let large = self.chosen.len().is_multiple_of(LARGE_EVERY);
        let command = vec![self.chosen.len() as u8; if large { LARGE } else { 1 }];
        self.with(i, |node| {
            let _ = node.propose(command);
        });
    }

    fn read(&mut self, i: usize) {
        self.reads += 1;
        let id = self.reads;
        let seen = self.chosen.len();
        if let Some(node) = &mut self.places[i].node
            && node.read(id).is_ok()
        {
            self.places[i].reads.push((id, seen));
            self.pump(i);
        }
    }

    fn remove(&mut self, a: usize, b: usize) {
        let now = self.clock(a);
        let id = self.places[b].id;
        if self.whole() && a != b {
            self.with(a, |node| {
                let _ = node.remove(now, id);
            });
        }
    }

    fn compact(&mut self, i: usize) {
        let place = &mut self.places[i];
        let Some(node) = &mut place.node else { return };
        if let Some(snapshot) = node.compact(place.applied, place.state.clone()) {
            let index = snapshot.index;
            place.durable.snapshot = snapshot;
            place.durable.entries.retain(|entry| entry.index > index);
        }
    }

    /// Handles everything a node has ready, as its owner would.
    fn pump(&mut self, i: usize) {
        loop {
            let Some(node) = &mut self.places[i].node else {
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
        self.net.extend(ready.immediate.iter().cloned());
        if self.places[i].crash == CrashPoint::BeforeSync && ready.must_sync() {
            self.places[i].crash = CrashPoint::Never;
            self.stop(i);
            return false;
        }
        self.persist(i, &ready);
        if self.places[i].crash == CrashPoint::AfterSync && ready.must_sync() {
            self.places[i].crash = CrashPoint::Never;
            self.stop(i);
            return false;
        }
        let node = self.places[i].node.as_mut().unwrap();
        node.synced(ready.durable_index);
        self.net.extend(ready.after_sync);
        for entry in ready.committed {
            self.apply(i, entry);
        }
        self.finish_reads(i, &ready.reads);
        let refused = ready.failed_reads;
        self.places[i].reads.retain(|(id, _)| !refused.contains(id));
        true
    }

    fn persist(&mut self, i: usize, ready: &Ready) {
        let place = &mut self.places[i];
        let durable = &mut place.durable;
        if let Some(hard_state) = ready.hard_state {
            assert!(
                hard_state.term >= durable.hard_state.term,
                "terms only rise"
            );
            durable.hard_state = hard_state;
        }
        if let Some(snapshot) = &ready.snapshot {
            let log = place.node.as_ref().unwrap().log();
            durable.entries = log.slice(snapshot.index + 1, usize::MAX >> 1).to_vec();
            durable.snapshot = snapshot.clone();
            place.state = snapshot.data.clone();
            place.applied = snapshot.index;
            self.agree(snapshot.index, i);
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

    /// A snapshot must equal what the chosen entries give.
    fn agree(&self, index: Index, i: usize) {
        let state: Vec<u8> = self.chosen[..index as usize]
            .iter()
            .filter_map(command)
            .collect();
        assert_eq!(
            self.places[i].state, state,
            "a snapshot is the chosen state"
        );
    }

    fn apply(&mut self, i: usize, entry: Entry) {
        let place = &mut self.places[i];
        assert_eq!(entry.index, place.applied + 1, "applied in order");
        place.applied = entry.index;
        place.state.extend(command(&entry));
        let at = entry.index as usize - 1;
        match self.chosen.get(at) {
            Some(chosen) => assert_eq!(*chosen, entry, "committed entries never change"),
            None => {
                assert_eq!(at, self.chosen.len());
                self.chosen.push(entry);
            }
        }
    }

    fn finish_reads(&mut self, i: usize, done: &[ReadId]) {
        let place = &mut self.places[i];
        let applied = place.applied;
        let mut confirmed = 0;
        place.reads.retain(|(id, seen)| {
            let ends = done.contains(id);
            if ends {
                assert!(applied >= *seen as Index, "a read sees what was committed");
                confirmed += 1;
            }
            !ends
        });
        self.confirmed += confirmed;
    }

    fn check_leaders(&mut self) {
        for place in &self.places {
            let Some(node) = &place.node else { continue };
            if !node.is_leader() {
                continue;
            }
            let term = node.term();
            let at = self.leaders.binary_search_by_key(&term, |known| known.0);
            match at {
                Ok(at) => assert_eq!(self.leaders[at].1, place.id, "one leader a term"),
                Err(at) => self.leaders.insert(at, (term, place.id)),
            }
        }
    }

    // What named tests look at.

    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |place: &Place| place.node.as_ref().is_some_and(Node::is_leader);
        self.places.iter().position(leads)
    }

    pub(crate) fn leads(&self, i: usize) -> bool {
        self.places[i].node.as_ref().is_some_and(Node::is_leader)
    }

    pub(crate) fn chosen(&self) -> usize {
        self.chosen.len()
    }

    pub(crate) fn isolate(&mut self, i: usize) {
        let id = self.places[i].id;
        for other in 0..self.places.len() {
            let other = self.places[other].id;
            self.cuts.push((id, other));
            self.cuts.push((other, id));
        }
    }

    pub(crate) fn seats(&self) -> usize {
        let leader = self.leader().expect("a leader");
        let node = self.places[leader].node.as_ref().unwrap();
        node.members().iter().filter(|member| member.seat).count()
    }

    pub(crate) fn term(&self, i: usize) -> Term {
        self.places[i].node.as_ref().map_or(0, Node::term)
    }
}

fn command(entry: &Entry) -> Option<u8> {
    match &entry.payload {
        Payload::Command(bytes) => bytes.first().copied(),
        _ => None,
    }
}
