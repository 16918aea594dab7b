//! Founding a cluster, in virtual time: random first starts with seeds that lack a disk,
//! are silent, cut off, killed, wiped or lost for good.
//!
//! Guards against two clusters, and against none although enough seeds take part.

use dogwoodhill_consensus::NodeId;
use dogwoodhill_consensus::members::{Member, Members};
use dogwoodhill_control::founding::{
    Ballot, Campaign, Charter, Electorate, Outcome, Record, Reply, Request, Step, Votes,
};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(30);
/// Instances of a deployment start within this time.
const START_SPREAD: Duration = Duration::from_millis(300);
/// Time in which trouble begins.
const TROUBLE_TIME: Duration = Duration::from_secs(4);
/// Longest time until an instance is back, or a cut ends.
const MAX_OUTAGE: Duration = Duration::from_secs(6);
/// Time after the last trouble within which a cluster exists.
const FOUNDING_TIME: Duration = Duration::from_secs(12);

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, at as u8 + 1], 80))
}

/// What happens to one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
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
struct Plan {
    /// Whether each instance has a disk.
    disks: Vec<bool>,
    /// The first so many instances are seeds.
    seeds: usize,
    /// Instance, beginning, length.
    troubles: Vec<(usize, Trouble, Duration, Duration)>,
    /// Share of messages that are lost, and longest delay of the others.
    loss: f64,
    delay: Duration,
    seed: u64,
}

/// State of a member of a cluster.
#[derive(Clone, Debug)]
struct Joined {
    cluster: u128,
    node: NodeId,
    has_log: bool,
}

#[derive(Debug)]
struct Instance {
    has_disk: bool,
    running: bool,
    cut_until: Duration,
    /// Whether it was started before.
    started: bool,
    back_at: Option<Duration>,
    // On disk.
    record: Option<Record>,
    joined: Option<Joined>,
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
struct Site {
    plan: Plan,
    random: SmallRng,
    now: Duration,
    instances: Vec<Instance>,
    /// Delivery time, sender, receiver.
    messages: Vec<(Duration, usize, usize, Message)>,
    /// Charters that instances took as decided.
    decided: Vec<Charter>,
    next_node: NodeId,
}

impl Site {
    fn new(plan: Plan) -> Self {
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
    fn run(&mut self) {
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
    fn can_found(&self) -> bool {
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
    fn has_live_majority(&self) -> bool {
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

fn member(at: usize, node: NodeId) -> Member {
    Member {
        id: node,
        name: format!("control-{at}"),
        address: address(at),
        voter: false,
        seat: true,
    }
}

fn trouble() -> impl Strategy<Value = Trouble> {
    prop::sample::select(vec![
        Trouble::Killed,
        Trouble::Wiped,
        Trouble::Lost,
        Trouble::Cut,
    ])
}

fn troubles(
    instances: usize,
    count: impl Into<prop::collection::SizeRange>,
) -> impl Strategy<Value = Vec<(usize, Trouble, Duration, Duration)>> {
    let millis = |until: Duration| 0..until.as_millis() as u64;
    let one = (
        0..instances,
        trouble(),
        millis(TROUBLE_TIME).prop_map(Duration::from_millis),
        millis(MAX_OUTAGE).prop_map(Duration::from_millis),
    );
    prop::collection::vec(one, count)
}

fn any_plan() -> impl Strategy<Value = Plan> {
    (
        prop::collection::vec(any::<bool>(), 1..7),
        1..=3usize,
        troubles(7, 0..6),
        0.0..0.4f64,
        0..400u64,
        any::<u64>(),
    )
        .prop_map(|(disks, seeds, mut troubles, loss, delay, seed)| {
            let count = disks.len();
            troubles.retain(|one| one.0 < count);
            // At most one disk is lost; what the other ones hold must be enough.
            let mut wiped = 0;
            for one in &mut troubles {
                let loses = matches!(one.1, Trouble::Wiped | Trouble::Lost);
                wiped += usize::from(loses);
                if loses && wiped > 1 {
                    one.1 = Trouble::Killed;
                }
            }
            Plan {
                seeds: seeds.min(count),
                disks,
                troubles,
                loss,
                delay: Duration::from_millis(delay),
                seed,
            }
        })
}

/// Plans with three seeds that have a disk, and one trouble of one of them.
fn one_trouble_plan() -> impl Strategy<Value = Plan> {
    (
        prop::collection::vec(any::<bool>(), 0..4),
        troubles(3, 1),
        any::<u64>(),
    )
        .prop_map(|(others, troubles, seed)| Plan {
            disks: [vec![true; 3], others].concat(),
            seeds: 3,
            troubles,
            loss: 0.0,
            delay: Duration::from_millis(20),
            seed,
        })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Whatever happens to the instances: never two clusters, and one if enough seeds take
    /// part in the end.
    #[test]
    fn founding_any_trouble_one_cluster(plan in any_plan()) {
        let mut site = Site::new(plan);
        site.run();
        let founded = site.instances.iter().any(|one| one.joined.is_some());
        prop_assert!(founded || !site.can_found(), "no cluster: {:#?}", site);
    }

    /// One of three seeds is killed, wiped, lost or cut off at any moment: the others have
    /// a cluster that works without it.
    #[test]
    fn founding_one_seed_in_trouble_majority_lives(plan in one_trouble_plan()) {
        let mut site = Site::new(plan);
        site.run();
        prop_assert!(site.has_live_majority(), "no majority: {:#?}", site);
    }
}

/// One or two of three seeds have no disk: each position founds a cluster, of the others.
#[test]
fn founding_seeds_without_disk_others_found() {
    for bits in 1..7u32 {
        let disks: Vec<bool> = (0..3).map(|at| bits & (1 << at) != 0).collect();
        let count = disks.iter().filter(|has_disk| **has_disk).count();
        let mut site = Site::new(calm_plan(disks.clone(), 3));
        site.run();
        let charter = site.decided.first().expect("a cluster is founded");
        assert_eq!(charter.members.seats(), count, "{disks:?}");
        assert!(site.has_live_majority(), "{disks:?}");
    }
}

/// No seed has a disk: the seeds decide which of the other instances founds the cluster.
#[test]
fn founding_no_seed_has_disk_other_founds() {
    for seed in 0..20 {
        let disks = vec![false, false, false, true, true, true];
        let plan = Plan {
            seed,
            ..calm_plan(disks, 3)
        };
        let mut site = Site::new(plan);
        site.run();
        assert_eq!(site.decided.len(), 1, "one instance founds");
        let joined = site.instances.iter().filter(|one| one.joined.is_some());
        assert_eq!(joined.count(), 3);
    }
}

/// One or two seeds: a cluster is founded once all of those with a disk take part.
#[test]
fn founding_few_seeds_founded() {
    for seeds in 1..=2 {
        let mut site = Site::new(calm_plan(vec![true; 4], seeds));
        site.run();
        let charter = site.decided.first().expect("a cluster is founded");
        assert_eq!(charter.members.seats(), seeds);
    }
}

fn calm_plan(disks: Vec<bool>, seeds: usize) -> Plan {
    Plan {
        disks,
        seeds,
        troubles: Vec::new(),
        loss: 0.0,
        delay: Duration::from_millis(20),
        seed: 1,
    }
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, nonce: 3 }
}

fn charter(cluster: u128) -> Charter {
    Charter {
        cluster,
        members: Members::new(vec![member(0, 7)]),
    }
}

/// An elector that has promised a ballot accepts no lower one, and reports what it accepted.
#[test]
fn votes_lower_ballot_outbid() {
    let own = member(0, 7);
    let charter = charter(1);
    let mut votes = Votes::default();
    let accepted = votes.handle(Some(&own), &Step::Accept(ballot(2), charter.clone()));
    assert_eq!(accepted, Reply::Accepted);
    let lower = votes.handle(Some(&own), &Step::Prepare(ballot(1)));
    assert_eq!(lower, Reply::Outbid(ballot(2)));
    let higher = votes.handle(Some(&own), &Step::Prepare(ballot(3)));
    let promised = Reply::Promised {
        member: Some(own.clone()),
        accepted: Some((ballot(2), charter.clone())),
    };
    assert_eq!(higher, promised);
    let late = votes.handle(Some(&own), &Step::Accept(ballot(2), charter.clone()));
    assert_eq!(late, Reply::Outbid(ballot(3)));
    assert_eq!(votes.charter_of(1), Some(&charter));
    assert_eq!(votes.charter_of(2), None);
}

/// Electors accepted different charters: only the one of the highest ballot may have been
/// decided, so it is proposed again.
#[test]
fn campaign_highest_accepted_charter_proposed() {
    let now = Duration::ZERO;
    let seeds: Vec<SocketAddr> = (0..3).map(address).collect();
    for (newest, other) in [(0, 1), (1, 0)] {
        let random = SmallRng::seed_from_u64(1);
        let mut campaign = Campaign::new(now, member(0, 7), seeds.clone(), random);
        let requests = campaign.tick(now);
        for (seed, round, cluster) in [(newest, 5, 50), (other, 4, 40)] {
            let reply = Reply::Promised {
                member: Some(member(seed, 8)),
                accepted: Some((ballot(round), charter(cluster))),
            };
            let outcome = campaign.receive(now, address(seed), &requests[seed].1, reply);
            assert_eq!(outcome, None);
        }
        let proposed = campaign.tick(Duration::from_secs(10));
        let step = &proposed.first().expect("a proposal").1.step;
        assert!(
            matches!(step, Step::Accept(_, charter) if charter.cluster == 50),
            "{step:?}"
        );
    }
}
