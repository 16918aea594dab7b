//! A first start in virtual time: instances that exchange messages, and what happens to
//! them.

use dogwoodhill_consensus::NodeId;
use dogwoodhill_consensus::members::Member;
use dogwoodhill_control::founding::{
    Campaign, Charter, Electorate, Outcome, Record, Reply, Request, Votes,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(30);
/// Instances of a deployment start within this time.
const START_SPREAD: Duration = Duration::from_millis(300);
/// Time after the last trouble within which a cluster exists.
const FOUNDING_TIME: Duration = Duration::from_secs(12);

pub(crate) fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, at as u8 + 1], 80))
}

/// What happens to one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// Killed, and started again with its disk.
    Killed,
    /// Killed, and started again with an empty disk.
    Wiped,
    /// Never back.
    Lost,
    /// Reaches nobody, and is reached by nobody.
    Cut,
}

#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// Whether each instance has a disk.
    pub(crate) disks: Vec<bool>,
    /// The first so many instances are seeds.
    pub(crate) seeds: usize,
    /// Instance, beginning, length.
    pub(crate) troubles: Vec<(usize, Trouble, Duration, Duration)>,
    /// Share of messages that are lost, and longest delay of the others.
    pub(crate) loss: f64,
    pub(crate) delay: Duration,
    pub(crate) seed: u64,
}

/// State of a member of a cluster.
#[derive(Clone, Debug)]
pub(crate) struct Joined {
    cluster: u128,
    node: NodeId,
    has_log: bool,
}

#[derive(Debug)]
pub(crate) struct Instance {
    has_disk: bool,
    running: bool,
    cut_until: Duration,
    /// Whether it was started before.
    started: bool,
    back_at: Option<Duration>,
    // On disk.
    record: Option<Record>,
    pub(crate) joined: Option<Joined>,
    // In memory.
    votes: Option<Votes>,
    campaign: Option<Campaign<SmallRng>>,
    known: Option<u128>,
}

#[derive(Clone, Debug)]
enum Message {
    Request(Request),
    Reply(Request, Reply),
    /// A member tells a seed of its cluster.
    Announce(u128),
}

#[derive(Debug)]
pub(crate) struct Site {
    plan: Plan,
    random: SmallRng,
    now: Duration,
    pub(crate) instances: Vec<Instance>,
    /// Delivery time, sender, receiver.
    messages: Vec<(Duration, usize, usize, Message)>,
    /// Charters that instances took as decided.
    pub(crate) decided: Vec<Charter>,
    next_node: NodeId,
}

impl Site {
    pub(crate) fn new(plan: Plan) -> Self {
        let mut random = SmallRng::seed_from_u64(plan.seed);
        let instance = |has_disk: &bool| Instance {
            has_disk: *has_disk,
            running: false,
            cut_until: Duration::ZERO,
            started: false,
            back_at: Some(random.random_range(Duration::ZERO..START_SPREAD)),
            record: None,
            joined: None,
            votes: None,
            campaign: None,
            known: None,
        };
        let instances = plan.disks.iter().map(instance).collect();
        Self {
            plan,
            random,
            now: Duration::ZERO,
            instances,
            messages: Vec::new(),
            decided: Vec::new(),
            next_node: 1,
        }
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        (0..self.plan.seeds).map(address).collect()
    }

    /// Starts an instance. Only its first start is one of the whole deployment.
    fn start(&mut self, at: usize) {
        let (seeds, now) = (self.seeds(), self.now);
        let random = SmallRng::seed_from_u64(self.random.random());
        self.next_node += 1;
        let node = self.next_node;
        let instance = &mut self.instances[at];
        let founding = !std::mem::replace(&mut instance.started, true);
        instance.running = true;
        instance.back_at = None;
        instance.known = None;
        instance.votes = (!instance.has_disk && founding).then(Votes::default);
        instance.campaign = None;
        if !instance.has_disk || instance.joined.is_some() {
            return;
        }
        if founding {
            instance.record = Some(Record::new(node, seeds));
        }
        if let Some(record) = &instance.record {
            let member = member(at, record.node);
            let campaign = Campaign::new(now, member, record.seeds.clone(), random);
            instance.campaign = Some(campaign);
        }
    }

    fn stop(&mut self, at: usize) {
        let instance = &mut self.instances[at];
        instance.running = false;
        instance.campaign = None;
        instance.votes = None;
        instance.known = None;
    }

    fn trouble(&mut self, at: usize, trouble: Trouble, length: Duration) {
        match trouble {
            Trouble::Cut => self.instances[at].cut_until = self.now + length,
            Trouble::Killed | Trouble::Wiped | Trouble::Lost => {
                self.stop(at);
                let instance = &mut self.instances[at];
                let back = trouble != Trouble::Lost;
                instance.back_at = back.then_some(self.now + length);
                instance.started = true;
                if trouble != Trouble::Killed {
                    (instance.record, instance.joined) = (None, None);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let local = from == to;
        if !local && self.random.random_bool(self.plan.loss) {
            return;
        }
        let delay = if local {
            Duration::ZERO
        } else {
            self.random.random_range(Duration::ZERO..=self.plan.delay)
        };
        self.messages.push((self.now + delay, from, to, message));
    }

    fn step(&mut self) {
        self.now += TICK;
        let begun = |(_, _, at, _): &&(usize, Trouble, Duration, Duration)| {
            *at <= self.now && *at + TICK > self.now
        };
        let begun: Vec<_> = self.plan.troubles.iter().filter(begun).copied().collect();
        for (at, trouble, _, length) in begun {
            self.trouble(at, trouble, length);
        }
        for at in 0..self.instances.len() {
            let instance = &self.instances[at];
            if instance.back_at.is_some_and(|back| back <= self.now) {
                self.start(at);
            }
            if self.instances[at].running {
                self.act(at);
            }
        }
        self.deliver();
    }

    fn act(&mut self, at: usize) {
        if let Some(joined) = &self.instances[at].joined {
            let cluster = joined.cluster;
            for seed in (0..self.plan.seeds).filter(|seed| *seed != at) {
                self.send(at, seed, Message::Announce(cluster));
            }
            return;
        }
        let now = self.now;
        // Members that are seeds, and seeds that know one, are asked in each round.
        if self.instances[at].has_disk {
            for seed in 0..self.plan.seeds {
                let other = &self.instances[seed];
                let joined = other.joined.as_ref().map(|joined| joined.cluster);
                let cluster = joined.or(other.known);
                if let (Some(cluster), true) = (cluster, self.reaches(seed, at)) {
                    return self.enter(at, Outcome::Exists(cluster));
                }
            }
            if let Some(cluster) = self.instances[at].known {
                return self.enter(at, Outcome::Exists(cluster));
            }
        }
        let campaign = self.instances[at].campaign.as_mut();
        let requests = campaign.map(|campaign| campaign.tick(now));
        for (seed, request) in requests.unwrap_or_default() {
            let to = (0..self.plan.seeds).find(|to| address(*to) == seed);
            self.send(at, to.expect("a seed"), Message::Request(request));
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let up = |at: usize| {
            let instance = &self.instances[at];
            instance.running && (from == to || instance.cut_until <= self.now)
        };
        up(from) && up(to)
    }

    fn deliver(&mut self) {
        loop {
            let due = self.messages.iter().position(|one| one.0 <= self.now);
            let Some(due) = due else { return };
            let (_, from, to, message) = self.messages.swap_remove(due);
            if !self.reaches(from, to) {
                continue;
            }
            match message {
                Message::Announce(cluster) => self.instances[to].known = Some(cluster),
                Message::Request(request) => {
                    if let Some(reply) = self.vote(to, &request) {
                        self.send(to, from, Message::Reply(request, reply));
                    }
                }
                Message::Reply(request, reply) => {
                    let now = self.now;
                    let instance = &mut self.instances[to];
                    let campaign = instance.campaign.as_mut();
                    let outcome = campaign.and_then(|campaign| {
                        campaign.receive(now, address(from), &request, reply)
                    });
                    if let Some(outcome) = outcome {
                        self.enter(to, outcome);
                    }
                }
            }
        }
    }

    /// What the elector of the product does; votes on a disk survive a kill.
    fn vote(&mut self, at: usize, request: &Request) -> Option<Reply> {
        let now = self.now;
        let seeds = self.plan.seeds;
        let instance = &mut self.instances[at];
        let joined = instance.joined.as_ref().map(|joined| joined.cluster);
        if let Some(cluster) = joined.or(instance.known) {
            return Some(Reply::Founded(cluster));
        }
        let durable = request.electorate == Electorate::Durable;
        if !instance.has_disk {
            return Some(match &mut instance.votes {
                _ if durable => Reply::NoDisk,
                Some(votes) => votes.handle(None, &request.step),
                None => Reply::Abstains,
            });
        }
        let Some(record) = instance.record.as_mut().filter(|_| durable && at < seeds)
        else {
            return Some(Reply::Abstains);
        };
        let before = record.votes.promised();
        let own = member(at, record.node);
        let reply = record.votes.handle(Some(&own), &request.step);
        let promised = record.votes.promised();
        if promised != before
            && let (Some(campaign), Some(ballot)) = (&mut instance.campaign, promised)
        {
            campaign.record_promise(now, ballot);
        }
        Some(reply)
    }

    /// Creates the state of an instance in its cluster.
    fn enter(&mut self, at: usize, outcome: Outcome) {
        let fresh = self.next_node + 1;
        self.next_node = fresh;
        let instance = &mut self.instances[at];
        let record = instance.record.as_ref();
        let node = record.map_or(fresh, |record| record.node);
        let (cluster, charter) = match outcome {
            Outcome::Founded(charter) => {
                self.decided.push(charter.clone());
                (charter.cluster, Some(charter))
            }
            Outcome::Exists(cluster) => {
                let votes = record.map(|record| &record.votes);
                let charter = votes.and_then(|votes| votes.charter_of(cluster));
                (cluster, charter.cloned())
            }
        };
        let has_log = charter.is_some_and(|charter| charter.members.get(node).is_some());
        instance.campaign = None;
        instance.joined = Some(Joined {
            cluster,
            node,
            has_log,
        });
    }

    /// Runs until some time after the last trouble, checking each step.
    pub(crate) fn run(&mut self) {
        let ends = self
            .plan
            .troubles
            .iter()
            .map(|(_, _, at, length)| *at + *length);
        let end = ends.max().unwrap_or_default() + START_SPREAD + FOUNDING_TIME;
        while self.now < end {
            self.step();
            let clusters = self.instances.iter().filter_map(|one| one.joined.as_ref());
            let mut clusters: Vec<u128> = clusters.map(|joined| joined.cluster).collect();
            clusters.extend(self.decided.iter().map(|charter| charter.cluster));
            clusters.sort_unstable();
            clusters.dedup();
            assert!(clusters.len() <= 1, "two clusters: {self:#?}");
            let charters = self.decided.windows(2).all(|pair| pair[0] == pair[1]);
            assert!(charters, "two charters of a cluster: {self:#?}");
        }
    }

    /// Whether the seeds that take part at the end are enough to found a cluster.
    pub(crate) fn can_found(&self) -> bool {
        let seeds = &self.instances[..self.plan.seeds];
        let diskless = seeds.iter().filter(|one| !one.has_disk);
        if diskless.clone().count() == seeds.len() {
            let voting = diskless.filter(|one| one.running && one.votes.is_some());
            let proposers = self.instances.iter().filter(|one| one.record.is_some());
            return voting.count() > seeds.len() / 2
                && diskless_all_up(seeds)
                && proposers.count() > 0
                && self.plan.troubles.is_empty();
        }
        let known = diskless.filter(|one| one.running).count();
        let taking_part = seeds
            .iter()
            .filter(|one| one.running && one.record.is_some());
        taking_part.count() > (seeds.len() - known) / 2
    }

    /// Whether a majority of the first voters takes part, one of them with the log.
    pub(crate) fn has_live_majority(&self) -> bool {
        let Some(charter) = self.decided.first() else {
            return false;
        };
        let alive = |member: &&Member| {
            self.instances.iter().any(|one| {
                let joined = one.joined.as_ref();
                one.running && joined.is_some_and(|joined| joined.node == member.id)
            })
        };
        let alive = charter.members.iter().filter(alive).count();
        let with_log = self.instances.iter().any(|one| {
            one.running && one.joined.as_ref().is_some_and(|joined| joined.has_log)
        });
        alive >= charter.members.majority() && with_log
    }
}

fn diskless_all_up(seeds: &[Instance]) -> bool {
    seeds.iter().all(|one| one.running)
}

pub(crate) fn member(at: usize, node: NodeId) -> Member {
    Member {
        id: node,
        name: format!("control-{at}"),
        address: address(at),
        voter: false,
        seat: true,
    }
}
