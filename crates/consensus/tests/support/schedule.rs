//! Losses of control instances on a clock: restarts, replacements, lost disks and a last
//! fault, within what a deployment tolerates.

use super::{Cluster, address};
use dogwoodhill_consensus::members::Member;
use dogwoodhill_consensus::message::Message;
use dogwoodhill_consensus::{Moment, NodeId};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Granularity of the clock, and the time that a message takes.
const STEP: Duration = Duration::from_millis(10);
/// Interval at which an instance that is not a member requests to join.
const JOIN_INTERVAL: Duration = Duration::from_millis(200);
/// Time after its start for which an instance still counts as lost.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// Time after the return of all instances within which changes must be committed.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Longest time for which an instance that stops waits for its seat to pass.
const MAX_RELEASE_TIME: Duration = Duration::from_secs(3);
/// Longest time between an acknowledged change and the last fault.
const MAX_FAULT_DELAY_MS: u64 = 400;

/// State of a machine besides that of its instance.
#[derive(Clone, Copy, Debug)]
struct Machine {
    /// When a stopped instance starts again; `None` while it runs.
    returns_at: Option<Moment>,
    /// Start of the instance that runs.
    started_at: Moment,
    /// End of a freeze.
    frozen_until: Moment,
    /// Whether the machine was removed for good.
    gone: bool,
    /// Machine that replaces this one.
    successor: Option<usize>,
    /// When the instance stops for good, after a stop signal.
    leaves_at: Option<Moment>,
    /// Until when it waits for a replacement to take over its seat.
    waits_until: Moment,
}

impl Machine {
    fn running(now: Moment) -> Self {
        Self {
            returns_at: None,
            started_at: now,
            frozen_until: Moment::ZERO,
            gone: false,
            successor: None,
            leaves_at: None,
            waits_until: Moment::ZERO,
        }
    }
}

/// A cluster whose machines fail on a clock.
pub(crate) struct Schedule {
    cluster: Cluster,
    machines: Vec<Machine>,
    random: SmallRng,
    losses: usize,
    /// Share of messages that are lost.
    loss: f64,
    next_join: Moment,
    next_change: Moment,
    /// Pairs of a running instance and another from which it has received a message.
    senders: Vec<(NodeId, NodeId)>,
    /// What happened, for the message of a failing test.
    pub(crate) events: Vec<String>,
}

impl Schedule {
    /// A formed cluster with `count` instances that tolerates `losses` at once.
    pub(crate) fn new(seed: u64, count: usize, losses: usize) -> Self {
        let cluster = Cluster::new(count);
        let now = cluster.now;
        let mut random = SmallRng::seed_from_u64(seed);
        let loss = [0.0, 0.0, 0.02, 0.08].choose(&mut random).copied();
        let mut schedule = Self {
            machines: vec![Machine::running(now); count],
            cluster,
            random,
            losses,
            loss: loss.expect("the list is not empty"),
            next_join: now,
            next_change: now,
            senders: Vec::new(),
            events: Vec::new(),
        };
        schedule.run_for(CATCH_UP_TIME);
        schedule
    }

    fn note(&mut self, event: &str) {
        let at = self.cluster.now.as_millis();
        self.events.push(format!("{at} ms: {event}"));
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    /// Lets time pass.
    pub(crate) fn run_for(&mut self, time: Duration) {
        let end = self.cluster.now + time;
        while self.cluster.now < end {
            self.step();
        }
    }

    /// Lets a random time pass, or none, so that events may overlap.
    pub(crate) fn pause(&mut self) {
        if self.random.random_ratio(2, 3) {
            let pause = self.millis(0..2_500);
            self.run_for(pause);
        }
    }

    fn is_frozen(&self, i: usize) -> bool {
        self.cluster.now < self.machines[i].frozen_until
    }

    fn step(&mut self) {
        self.cluster.now += STEP;
        let now = self.cluster.now;
        for i in 0..self.machines.len() {
            self.start_or_stop(i);
            if !self.is_frozen(i) {
                self.cluster.with_node(i, |node| node.tick(now));
            }
        }
        self.deliver();
        self.cluster.check_leaders();
        if now >= self.next_join {
            self.next_join = now + JOIN_INTERVAL;
            self.join_missing();
            self.release_seats();
        }
        if now >= self.next_change {
            self.next_change = now + self.millis(50..600);
            (0..self.machines.len()).for_each(|i| self.cluster.propose(i));
        }
    }

    /// Starts an instance that returns, or stops one that leaves.
    fn start_or_stop(&mut self, i: usize) {
        let now = self.cluster.now;
        if self.machines[i].returns_at.is_some_and(|at| now >= at) {
            self.machines[i].returns_at = None;
            self.machines[i].started_at = now;
            let id = self.cluster.hosts[i].id;
            self.senders.retain(|(receiver, _)| *receiver != id);
            self.cluster.restart(i);
            self.note(&format!("{i} returns"));
        }
        let waits = now < self.machines[i].waits_until;
        if !waits && self.machines[i].leaves_at.is_some_and(|at| now >= at) {
            self.machines[i].leaves_at = None;
            self.machines[i].gone = true;
            self.cluster.stop(i);
            self.note(&format!("{i} stopped for good"));
        }
    }

    fn deliver(&mut self) {
        for message in std::mem::take(&mut self.cluster.network) {
            let to = self
                .cluster
                .hosts
                .iter()
                .position(|host| host.id == message.to);
            let arrives = self.knows_receiver(&message)
                && to.is_some_and(|to| {
                    !self.is_frozen(to) && self.cluster.hosts[to].node.is_some()
                });
            if arrives && !self.random.random_bool(self.loss) {
                self.report_delivered(&message);
                let pair = (message.to, message.from);
                if !self.senders.contains(&pair) {
                    self.senders.push(pair);
                }
                self.cluster.deliver(message);
            } else {
                self.cluster.report_undelivered(&message);
            }
        }
    }

    /// Whether the sender has the receiver's address, from its list of members or from an
    /// earlier message.
    fn knows_receiver(&self, message: &Message) -> bool {
        if self.senders.contains(&(message.from, message.to)) {
            return true;
        }
        let mut hosts = self.cluster.hosts.iter();
        let sender = hosts.find(|host| host.id == message.from);
        let node = sender.and_then(|host| host.node.as_ref());
        node.is_some_and(|node| node.members().get(message.to).is_some())
    }

    /// Reports to the sender of a large message that it was delivered.
    fn report_delivered(&mut self, message: &Message) {
        let now = self.cluster.now;
        let hosts = &self.cluster.hosts;
        let from = hosts.iter().position(|host| host.id == message.from);
        if let Some(from) = from.filter(|_| message.is_large()) {
            self.cluster
                .with_node(from, |node| node.report_delivery(now, message.to, true));
        }
    }

    /// Each running instance that is not a member requests to join.
    fn join_missing(&mut self) {
        for i in 0..self.machines.len() {
            let stopping = self.machines[i].leaves_at.is_some();
            if self.cluster.hosts[i].node.is_none() || self.is_frozen(i) || stopping {
                continue;
            }
            let host = &self.cluster.hosts[i];
            let member = Member {
                id: host.id,
                name: host.name.clone(),
                address: address(),
                voter: false,
                seat: false,
            };
            let now = self.cluster.now;
            for leader in 0..self.machines.len() {
                if self.is_frozen(leader) {
                    continue;
                }
                let member = member.clone();
                self.cluster.with_node(leader, |node| {
                    if node.is_leader() && node.members().get(member.id).is_none() {
                        // Requested again if it is refused.
                        let _ = node.add_learner(now, member);
                    }
                });
            }
        }
    }

    /// Each instance that stops requests that its leadership and its seat be passed on.
    fn release_seats(&mut self) {
        let now = self.cluster.now;
        for i in 0..self.machines.len() {
            if self.machines[i].leaves_at.is_none() || self.is_frozen(i) {
                continue;
            }
            if self.cluster.is_leader(i) {
                self.cluster
                    .with_node(i, |node| node.transfer_leadership(now));
                continue;
            }
            let id = self.cluster.hosts[i].id;
            for leader in (0..self.machines.len()).filter(|leader| *leader != i) {
                if self.is_frozen(leader) || self.random.random_bool(self.loss) {
                    continue;
                }
                let mut released = None;
                self.cluster.with_node(leader, |node| {
                    released = node.release_seat(now, id).ok();
                });
                if released == Some(false) {
                    self.machines[i].waits_until = Moment::ZERO;
                }
            }
        }
    }

    /// Whether machine `i` counts as lost.
    fn is_lost(&self, i: usize) -> bool {
        let now = self.cluster.now;
        let machine = &self.machines[i];
        if machine.gone {
            return machine
                .successor
                .is_none_or(|successor| self.is_lost(successor));
        }
        machine.returns_at.is_some()
            || now < machine.started_at + CATCH_UP_TIME
            || now < machine.frozen_until + CATCH_UP_TIME
    }

    fn lost(&self) -> usize {
        let replaced = |i: usize| self.machines[i].gone;
        let successors: Vec<usize> = (0..self.machines.len())
            .filter(|i| replaced(*i))
            .filter_map(|i| self.machines[i].successor)
            .collect();
        (0..self.machines.len())
            .filter(|i| !successors.contains(i) || replaced(*i))
            .filter(|i| self.is_lost(*i))
            .count()
    }

    /// A running machine that is neither lost nor about to leave.
    fn sound(&mut self) -> Option<usize> {
        let sound: Vec<usize> = (0..self.machines.len())
            .filter(|i| !self.machines[*i].gone && !self.is_lost(*i))
            .filter(|i| self.machines[*i].successor.is_none())
            .collect();
        sound.choose(&mut self.random).copied()
    }

    /// Adds a machine that replaces `i`, started after `delay`.
    fn add_successor(&mut self, i: usize, delay: Duration) {
        let new = self.machines.len();
        self.cluster.spawn(new);
        self.cluster.stop(new);
        let host = &mut self.cluster.hosts[new];
        host.name = format!("replacement-{}", host.id);
        host.is_replacement = true;
        let mut machine = Machine::running(self.cluster.now);
        machine.returns_at = Some(self.cluster.now + delay);
        self.machines.push(machine);
        self.machines[i].successor = Some(new);
    }

    /// One event, unless it would lose more than is tolerated.
    pub(crate) fn disturb(&mut self) {
        let now = self.cluster.now;
        let kind = self.random.random_range(0..7);
        if kind == 0 {
            let back = self.millis(200..1_500);
            return self.stop_all(back);
        }
        let Some(i) = self.sound().filter(|_| self.lost() < self.losses) else {
            return;
        };
        match kind {
            1 | 2 => {
                self.note(&format!("{i} is gone for good"));
                self.cluster.stop(i);
                self.machines[i].gone = true;
                let delay = self.millis(100..3_000);
                self.add_successor(i, delay);
            }
            3 => {
                self.note(&format!("{i} is replaced as planned"));
                let first = self.millis(300..6_000);
                self.add_successor(i, Duration::ZERO);
                self.run_for(first);
                // All instances may have been stopped meanwhile.
                if self.machines[i].returns_at.is_none() {
                    self.leave(i);
                }
            }
            4 => {
                let back = self.millis(300..3_000);
                self.lose_disk_of(i, back);
            }
            5 => {
                self.note(&format!("{i} restarts"));
                self.cluster.stop(i);
                self.machines[i].returns_at = Some(now + self.millis(300..2_500));
            }
            _ => {
                let time = self.millis(1_000..8_000);
                self.note(&format!("{i} is frozen for {time:?}"));
                self.machines[i].frozen_until = now + time;
            }
        }
    }

    /// A stop signal: the instance hands its leadership over and stops.
    fn leave(&mut self, i: usize) {
        let now = self.cluster.now;
        self.note(&format!("{i} begins to stop"));
        self.cluster
            .with_node(i, |node| node.transfer_leadership(now));
        self.machines[i].leaves_at = Some(now + self.millis(1_000..2_500));
        self.machines[i].waits_until = now + MAX_RELEASE_TIME;
    }

    /// The disk of `i` is lost; it starts again after `back`.
    fn lose_disk_of(&mut self, i: usize, back: Duration) {
        self.note(&format!("{i} loses its disk"));
        let (name, is_replacement) = {
            let host = &self.cluster.hosts[i];
            (host.name.clone(), host.is_replacement)
        };
        self.cluster.spawn(i);
        self.cluster.stop(i);
        self.cluster.hosts[i].name = name;
        self.cluster.hosts[i].is_replacement = is_replacement;
        self.machines[i].frozen_until = Moment::ZERO;
        self.machines[i].returns_at = Some(self.cluster.now + back);
    }

    /// All machines lose power and return one after the other.
    fn stop_all(&mut self, back: Duration) {
        self.note("all machines lose power");
        for i in 0..self.machines.len() {
            if self.machines[i].gone {
                continue;
            }
            self.cluster.stop(i);
            if self.machines[i].leaves_at.take().is_some() {
                self.machines[i].gone = true;
                continue;
            }
            let spread = self.millis(0..2_000);
            let at = self.cluster.now + back + spread;
            let machine = &mut self.machines[i];
            machine.frozen_until = Moment::ZERO;
            machine.returns_at = Some(machine.returns_at.map_or(at, |due| due.max(at)));
        }
    }

    /// The last fault: as soon as nothing counts as lost, a change is acknowledged, the
    /// disks of as many machines as may be lost are lost, and all others lose power.
    /// Returns whether changes are committed in time afterwards.
    pub(crate) fn last_fault(&mut self) -> Result<(), String> {
        while self.lost() > 0 {
            self.step();
        }
        self.wait_for_commit("before the last fault")?;
        let delay = self.millis(0..MAX_FAULT_DELAY_MS);
        self.run_for(delay);
        let lists = self.member_lists();
        self.note(&format!("members {lists:?}"));
        self.stop_all(Duration::from_secs(1));
        for _ in 0..self.losses {
            let present: Vec<usize> = (0..self.machines.len())
                .filter(|i| !self.machines[*i].gone && !self.machines[*i].is_wiped(self))
                .collect();
            let i = *present.choose(&mut self.random).expect("some remain");
            let back = self.machines[i].returns_at.expect("it is stopped");
            self.lose_disk_of(i, back - self.cluster.now);
        }
        while self
            .machines
            .iter()
            .any(|machine| machine.returns_at.is_some())
        {
            self.step();
        }
        self.wait_for_commit("after the last fault")
    }

    fn wait_for_commit(&mut self, when: &str) -> Result<(), String> {
        let before = self.cluster.committed();
        let end = self.cluster.now + RECOVERY_TIME;
        while self.cluster.now < end {
            self.step();
            if self.cluster.committed() > before {
                return Ok(());
            }
        }
        let lists = self.member_lists();
        Err(format!("nothing is committed {when}; members {lists:?}"))
    }

    /// For each machine that runs, the voters in its log as machines; `?` is one that
    /// lost its disk or is gone.
    fn member_lists(&self) -> Vec<String> {
        let machine_of = |id: NodeId| {
            let hosts = &self.cluster.hosts;
            let found = hosts.iter().position(|host| host.id == id);
            let alive = found.filter(|i| !self.machines[*i].gone);
            alive.map_or("?".to_string(), |i| i.to_string())
        };
        let running = (0..self.machines.len()).filter_map(|i| {
            let node = self.cluster.hosts[i].node.as_ref()?;
            let voters: Vec<String> = node.members().voters().map(machine_of).collect();
            Some(format!("{i}: {}", voters.join(" ")))
        });
        running.collect()
    }
}

impl Machine {
    /// Whether the machine's disk is empty.
    fn is_wiped(&self, schedule: &Schedule) -> bool {
        let at = schedule
            .machines
            .iter()
            .position(|machine| std::ptr::eq(machine, self));
        at.is_some_and(|i| schedule.cluster.hosts[i].durable.entries.is_empty())
    }
}
