//! Finding members of the cluster, in virtual time.

use dogwoodhill_control::discovery::{
    Announcement, CONTACT_TTL, Directions, Discovery, MAX_ASKED, MAX_LEARNED, MEMBER_TTL,
    REFRESH_INTERVAL, ROUND,
};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Most seeds in the settings of a process.
const MAX_SEEDS: usize = 3;
/// Rounds within which a process asks every address that it knows.
const ROUNDS_PER_STEP: usize = (MAX_SEEDS + MAX_LEARNED).div_ceil(MAX_ASKED);
/// Rounds between two announcements of a member.
const ANNOUNCE_ROUNDS: usize = 5;
/// Addresses that seeds are drawn from; those of no instance are dead.
const ADDRESSES: usize = 14;
/// Control instances that an entry polls at most.
const MAX_POLLED: usize = 7;

fn address(at: usize) -> SocketAddr {
    SocketAddr::from((
        Ipv4Addr::new(10, 0, (at / 250) as u8, (at % 250) as u8 + 1),
        80,
    ))
}

fn announcement(at: usize, cluster: u128) -> Announcement {
    Announcement {
        cluster,
        internal: address(at),
        operators: address(at),
    }
}

fn directions(addresses: impl IntoIterator<Item = usize>) -> Directions {
    Directions {
        member: None,
        addresses: addresses.into_iter().map(address).collect(),
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Stores the log.
    Member,
    /// Has no disk.
    Forwarder,
    /// Has an empty disk, and never finds more than it is asked about here.
    Searching,
}

#[derive(Clone, Debug)]
struct Process {
    kind: Kind,
    seeds: Vec<usize>,
    discovery: Discovery,
}

/// Control instances and entries that exchange messages in rounds.
#[derive(Clone, Debug)]
struct Site {
    processes: Vec<Process>,
    /// Seeds of each entry, and the addresses that it was given.
    entries: Vec<(Vec<usize>, Vec<usize>)>,
    round: usize,
    inquiries: usize,
    polls: usize,
}

impl Site {
    fn new(plan: &[(Kind, Vec<usize>)], entries: usize, salt: usize) -> Self {
        let process = |(at, (kind, seeds)): (usize, &(Kind, Vec<usize>))| Process {
            kind: *kind,
            seeds: seeds.clone(),
            discovery: Discovery::new(address(at)),
        };
        let draw = |entry: usize| {
            let seed = |k: usize| (entry * 7 + k * 5 + salt) % ADDRESSES;
            ((0..MAX_SEEDS).map(seed).collect(), Vec::new())
        };
        Self {
            processes: plan.iter().enumerate().map(process).collect(),
            entries: (0..entries).map(draw).collect(),
            round: 0,
            inquiries: 0,
            polls: 0,
        }
    }

    fn now(&self) -> Duration {
        ROUND * self.round as u32
    }

    /// All processes are killed and start again with what is on their disks.
    fn lose_memory(&mut self) {
        for (at, process) in self.processes.iter_mut().enumerate() {
            process.discovery = Discovery::new(address(at));
        }
        for (_, given) in &mut self.entries {
            given.clear();
        }
    }

    fn position(&self, of: SocketAddr) -> Option<usize> {
        (0..self.processes.len()).find(|at| address(*at) == of)
    }

    fn answer(&self, at: usize) -> Directions {
        let process = &self.processes[at];
        let is_member = process.kind == Kind::Member;
        Directions {
            member: is_member.then(|| announcement(at, 1)),
            addresses: process.discovery.addresses(self.now()),
        }
    }

    /// One round: all messages are sent before any of them has an effect.
    fn run_round(&mut self) {
        self.round += 1;
        let now = self.now();
        let mut asked = Vec::new();
        for at in 0..self.processes.len() {
            let process = &mut self.processes[at];
            let seeds: Vec<SocketAddr> =
                process.seeds.iter().copied().map(address).collect();
            process.discovery.set_seeds(now, &seeds);
            if process.kind == Kind::Member {
                self.announce(at, &seeds);
                continue;
            }
            let due = self.processes[at].discovery.due(now);
            assert!(due.len() <= MAX_ASKED, "a round is bounded");
            assert!(!due.contains(&address(at)), "no process asks itself");
            self.inquiries += due.len();
            asked.extend(due.into_iter().map(|other| (at, other)));
        }
        let reached: Vec<(usize, usize)> = asked
            .into_iter()
            .filter_map(|(from, to)| Some((from, self.position(to)?)))
            .collect();
        let answers: Vec<Directions> =
            reached.iter().map(|(_, to)| self.answer(*to)).collect();
        for ((from, to), answer) in reached.into_iter().zip(answers) {
            self.processes[to]
                .discovery
                .record_inquiry(now, address(from));
            let asker = &mut self.processes[from].discovery;
            asker.record_answer(now, address(to), &answer);
        }
        self.run_entries();
    }

    fn announce(&mut self, at: usize, seeds: &[SocketAddr]) {
        if !self.round.is_multiple_of(ANNOUNCE_ROUNDS) {
            return;
        }
        let now = self.now();
        for seed in seeds {
            if let Some(to) = self.position(*seed) {
                let discovery = &mut self.processes[to].discovery;
                discovery.record_member(now, announcement(at, 1));
            }
        }
    }

    /// Entries poll what they know, and take the addresses from the last answer.
    fn run_entries(&mut self) {
        let now = self.now();
        for at in 0..self.entries.len() {
            let (seeds, given) = self.entries[at].clone();
            let mut polled = given;
            polled.extend(seeds);
            polled.truncate(MAX_POLLED);
            self.polls += polled.len();
            for to in polled {
                let Some(process) = self.processes.get(to) else {
                    continue;
                };
                let members = match process.kind {
                    Kind::Member => vec![to],
                    _ => self.known_members(to, now),
                };
                if !members.is_empty() {
                    self.entries[at].1 = members;
                }
            }
        }
    }

    fn known_members(&self, at: usize, now: Duration) -> Vec<usize> {
        let members = self.processes[at].discovery.members(now);
        let positions = members.iter().map(|member| self.position(member.internal));
        positions.map(|at| at.expect("members are live")).collect()
    }

    /// Number of steps from each process to the nearest member over seeds of live
    /// processes in either direction; `None` without a way.
    fn steps(&self) -> Vec<Option<usize>> {
        let count = self.processes.len();
        let names = |a: usize, b: usize| self.processes[a].seeds.contains(&b);
        let is_member = |at: &usize| self.processes[*at].kind == Kind::Member;
        let mut steps: Vec<Option<usize>> =
            (0..count).map(|at| is_member(&at).then_some(0)).collect();
        for step in 0..count {
            for at in 0..count {
                let reached = |other: usize| {
                    steps[other] == Some(step) && (names(at, other) || names(other, at))
                };
                if steps[at].is_none() && (0..count).any(reached) {
                    steps[at] = Some(step + 1);
                }
            }
        }
        steps
    }

    /// Asserts that whoever has a way to a member has reached one `elapsed` rounds after
    /// all began, if the bound has passed.
    fn assert_reached(&self, elapsed: usize) {
        let now = self.now();
        let steps = self.steps();
        let due = |steps: usize| elapsed >= bound(steps);
        for (at, process) in self.processes.iter().enumerate() {
            let members = process.discovery.members(now);
            match steps[at] {
                None => assert!(members.is_empty(), "{at} has no way"),
                Some(steps) if process.kind != Kind::Member && due(steps) => {
                    assert!(!members.is_empty(), "{at} is {steps} steps away");
                }
                Some(_) => {}
            }
        }
        for (seeds, given) in &self.entries {
            let nearest = seeds.iter().filter_map(|at| *steps.get(*at)?).min();
            if nearest.is_some_and(|steps| due(steps + 1)) {
                assert!(!given.is_empty(), "an entry with the seeds {seeds:?}");
            }
        }
    }
}

/// Rounds within which a process reaches a member that is `steps` away: one announcement,
/// then all known addresses once for each step.
fn bound(steps: usize) -> usize {
    ANNOUNCE_ROUNDS + steps * ROUNDS_PER_STEP
}

fn kind() -> impl Strategy<Value = Kind> {
    prop_oneof![
        Just(Kind::Member),
        Just(Kind::Forwarder),
        Just(Kind::Searching)
    ]
}

fn plan() -> impl Strategy<Value = Vec<(Kind, Vec<usize>)>> {
    let seeds = prop::collection::vec(0..ADDRESSES, 1..=MAX_SEEDS);
    prop::collection::vec((kind(), seeds), 3..=9)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Guards against processes that have a way to a member and never reach it, also after
    /// all have lost their memory at once.
    #[test]
    fn every_way_leads_to_member(
        plan in plan(),
        entries in prop_oneof![Just(9_usize), Just(33), Just(303)],
        salt in 0..ADDRESSES,
        lost_at in 0_usize..80,
    ) {
        let mut site = Site::new(&plan, entries, salt);
        for elapsed in 1..=lost_at {
            site.run_round();
            site.assert_reached(elapsed);
        }
        site.lose_memory();
        for elapsed in 1..=bound(plan.len() + 1) {
            site.run_round();
            site.assert_reached(elapsed);
        }
    }

    /// Guards against load that grows with the entries: inquiries do not depend on them,
    /// and an entry polls a bounded number of instances.
    #[test]
    fn messages_are_bounded_with_303_entries(plan in plan(), salt in 0..ADDRESSES) {
        let rounds = 50;
        let count = |entries| {
            let mut site = Site::new(&plan, entries, salt);
            (0..rounds).for_each(|_| site.run_round());
            (site.inquiries, site.polls)
        };
        let (few, _) = count(9);
        let (many, polls) = count(303);
        prop_assert_eq!(few, many);
        prop_assert!(many <= rounds * plan.len() * MAX_ASKED);
        prop_assert!(polls <= rounds * 303 * MAX_POLLED);
    }

    /// Guards against an address that is starved by others, whatever is learned meanwhile.
    #[test]
    fn every_seed_is_asked(
        rounds in prop::collection::vec(prop::collection::vec(20_usize..400, 0..30), 1..60),
    ) {
        let seeds: Vec<usize> = (1..=MAX_SEEDS).collect();
        let addresses: Vec<SocketAddr> = seeds.iter().copied().map(address).collect();
        let mut discovery = Discovery::new(address(0));
        let mut silence = vec![0; seeds.len()];
        for (round, learned) in rounds.iter().enumerate() {
            let now = ROUND * round as u32;
            discovery.set_seeds(now, &addresses);
            discovery.record_answer(now, addresses[0], &directions(learned.clone()));
            let due = discovery.due(now);
            prop_assert!(due.len() <= MAX_ASKED);
            prop_assert!(due.iter().collect::<BTreeSet<_>>().len() == due.len());
            for (seed, silence) in addresses.iter().zip(&mut silence) {
                *silence = if due.contains(seed) { 0 } else { *silence + 1 };
                prop_assert!(*silence <= ROUNDS_PER_STEP, "{} is starved", seed);
            }
        }
    }
}

#[test]
fn member_expires() {
    let mut discovery = Discovery::new(address(0));
    assert!(discovery.record_member(Duration::ZERO, announcement(1, 7)));
    let last = MEMBER_TTL - ROUND;
    assert_eq!(discovery.members(last), [announcement(1, 7)]);
    assert_eq!(discovery.members(MEMBER_TTL), []);
    assert!(discovery.record_member(MEMBER_TTL, announcement(1, 7)));
}

#[test]
fn known_member_is_not_new() {
    let mut discovery = Discovery::new(address(0));
    let answer = Directions {
        member: Some(announcement(1, 7)),
        addresses: Vec::new(),
    };
    assert!(discovery.record_answer(Duration::ZERO, address(1), &answer));
    assert!(!discovery.record_answer(ROUND, address(1), &answer));
    assert!(!discovery.record_member(2 * ROUND, announcement(1, 7)));
}

#[test]
fn member_that_lost_its_disk_is_none() {
    let mut discovery = Discovery::new(address(0));
    discovery.record_member(Duration::ZERO, announcement(1, 7));
    discovery.record_answer(ROUND, address(1), &Directions::default());
    assert_eq!(discovery.members(ROUND), []);
}

/// Guards against members that others name for ever after they are gone.
#[test]
fn hearsay_makes_no_member() {
    let mut discovery = Discovery::new(address(0));
    discovery.record_answer(Duration::ZERO, address(1), &directions([2, 3]));
    assert_eq!(discovery.members(ROUND), []);
    assert_eq!(discovery.addresses(ROUND), [address(1)]);
}

/// Guards against addresses of lost machines that two instances pass to each other.
#[test]
fn lost_address_dies_out() {
    let mut both = [Discovery::new(address(0)), Discovery::new(address(1))];
    both[0].record_member(Duration::ZERO, announcement(2, 7));
    let mut now = Duration::ZERO;
    while now <= 3 * CONTACT_TTL {
        now += ROUND;
        let told = [0, 1].map(|at| both[at].addresses(now));
        for (at, discovery) in both.iter_mut().enumerate() {
            discovery.set_seeds(now, &[address(1 - at)]);
            discovery.due(now);
            let answer = Directions {
                member: None,
                addresses: told[1 - at].clone(),
            };
            discovery.record_answer(now, address(1 - at), &answer);
        }
    }
    now += ROUND;
    for (at, discovery) in both.iter().enumerate() {
        assert_eq!(discovery.addresses(now), [address(1 - at)]);
    }
}

/// Guards against a table that is full of silent addresses and takes no other.
#[test]
fn silent_addresses_make_room() {
    let mut discovery = Discovery::new(address(0));
    let silent = 2..2 + MAX_LEARNED;
    discovery.record_answer(Duration::ZERO, address(1), &directions(silent));
    assert!(!discovery.record_member(Duration::ZERO, announcement(100, 7)));
    discovery.due(Duration::ZERO);
    assert!(discovery.record_member(ROUND, announcement(100, 7)));
    assert_eq!(discovery.members(ROUND), [announcement(100, 7)]);
}

#[test]
fn changed_seeds_are_due_at_once() {
    let mut discovery = Discovery::new(address(0));
    discovery.set_seeds(Duration::ZERO, &[address(1)]);
    assert_eq!(discovery.due(Duration::ZERO), [address(1)]);
    discovery.record_member(Duration::ZERO, announcement(1, 7));
    discovery.set_seeds(ROUND, &[address(0), address(2)]);
    assert_eq!(discovery.due(ROUND), [address(2)]);
}

#[test]
fn known_member_slows_inquiries() {
    let mut discovery = Discovery::new(address(0));
    discovery.record_member(Duration::ZERO, announcement(1, 7));
    assert_eq!(discovery.due(Duration::ZERO), [address(1)]);
    assert_eq!(discovery.due(ROUND), []);
    assert_eq!(discovery.due(REFRESH_INTERVAL), [address(1)]);
}

/// Guards against an instance that joins one of two clusters by chance.
#[test]
fn different_clusters_are_none() {
    let mut discovery = Discovery::new(address(0));
    discovery.record_member(Duration::ZERO, announcement(1, 7));
    assert_eq!(discovery.cluster(Duration::ZERO), Some(7));
    discovery.record_member(Duration::ZERO, announcement(2, 8));
    assert_eq!(discovery.cluster(Duration::ZERO), None);
}

/// Guards against the same while the second cluster is named, but has not answered.
#[test]
fn cluster_settles_after_every_address_was_asked() {
    let mut discovery = Discovery::new(address(0));
    let answer = Directions {
        member: Some(announcement(1, 7)),
        addresses: vec![address(2)],
    };
    discovery.record_answer(Duration::ZERO, address(1), &answer);
    assert_eq!(discovery.settled_cluster(Duration::ZERO), None);
    assert_eq!(discovery.settled_cluster(ROUND), None);
    assert_eq!(discovery.due(ROUND), [address(1), address(2)]);
    assert_eq!(discovery.settled_cluster(ROUND), None);
    assert_eq!(discovery.settled_cluster(2 * ROUND), Some(7));
    // Asked again, a silent address does not unsettle it.
    let again = ROUND + REFRESH_INTERVAL;
    assert_eq!(discovery.due(again), [address(1), address(2)]);
    assert_eq!(discovery.settled_cluster(again), Some(7));
    discovery.record_member(again, announcement(2, 8));
    assert_eq!(discovery.settled_cluster(again + ROUND), None);
}
