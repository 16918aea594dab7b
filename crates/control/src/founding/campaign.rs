//! The proposer of a charter.

use super::{Ballot, Charter, Electorate, Reply, Request, Step};
use dogwoodhill_consensus::members::{Member, Members};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::Moment;
use rand::{Rng, RngExt};
use std::net::SocketAddr;
use std::ops::Range;

/// Delay before the first proposal, by the position of the proposer among the seeds. The
/// seed before it has usually founded the cluster by then.
const FIRST_DELAY: Duration = Duration::from_millis(400);
/// Delay before the next proposal after a higher ballot was seen, in milliseconds.
/// Randomized so that two proposers do not outbid each other for long.
const BACKOFF_MS: Range<u64> = 200..900;
/// Interval at which seeds that did not reply are asked again.
const RESEND_INTERVAL: Duration = Duration::from_millis(150);
/// Time from the start of a proposer in which it waits for further seeds beyond a quorum,
/// so that they are among the first voters: a cluster that begins with two voters does not
/// survive the loss of one. Counted once and not for each proposal, since two proposers
/// that wait for a third seed would outbid each other for ever.
const GATHER_TIME: Duration = Duration::from_millis(1_500);

/// Delay of the next proposal after a charter without this instance was decided.
const DECIDED_DELAY: Duration = Duration::from_secs(2);

/// How a campaign ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The proposed charter was decided. This instance creates the cluster.
    Founded(Charter),
    /// A cluster exists.
    Exists(u128),
}

/// The proposals of one instance.
#[derive(Debug)]
pub struct Campaign<R> {
    member: Member,
    /// Sorted.
    seeds: Vec<SocketAddr>,
    random: R,
    /// Seeds that have reported that they have no disk, sorted.
    diskless: Vec<SocketAddr>,
    /// Highest known round.
    round: u64,
    phase: Phase,
    /// When it stops waiting for seeds beyond a quorum.
    gather_until: Moment,
    /// When the seeds that have not replied are asked again.
    resend_at: Moment,
}

#[derive(Debug)]
enum Phase {
    /// Waits until the next proposal.
    Idle(Moment),
    /// Asks whether no seed has a disk: this instance is no seed.
    Querying,
    Preparing {
        ballot: Ballot,
        since: Moment,
        /// Replies by seed; `None` of a seed that abstains.
        replies: Vec<(SocketAddr, Option<Promise>)>,
    },
    Accepting {
        ballot: Ballot,
        charter: Charter,
        /// Seeds that accepted.
        accepted: Vec<SocketAddr>,
    },
}

#[derive(Clone, Debug)]
struct Promise {
    member: Option<Member>,
    accepted: Option<(Ballot, Charter)>,
}

impl<R: Rng> Campaign<R> {
    /// The campaign of the instance `member`, which has a disk, among `seeds`, sorted.
    pub fn new(now: Moment, member: Member, seeds: Vec<SocketAddr>, random: R) -> Self {
        let rank = seeds.binary_search(&member.address);
        let position = rank.unwrap_or(seeds.len()) as u32;
        Self {
            member,
            seeds,
            random,
            diskless: Vec::new(),
            round: 0,
            phase: Phase::Idle(now + FIRST_DELAY * position),
            gather_until: now + GATHER_TIME,
            resend_at: now,
        }
    }

    /// Records that this instance, as an elector, promised `ballot` to a proposer. Its own
    /// proposal waits if that is another one.
    pub fn record_promise(&mut self, now: Moment, ballot: Ballot) {
        self.round = self.round.max(ballot.round);
        let own = match &self.phase {
            Phase::Preparing { ballot, .. } | Phase::Accepting { ballot, .. } => {
                Some(*ballot)
            }
            Phase::Idle(_) | Phase::Querying => None,
        };
        if own.is_none_or(|own| own < ballot) {
            self.back_off(now);
        }
    }

    /// Advances the campaign to `now`, and returns the requests to send.
    pub fn tick(&mut self, now: Moment) -> Vec<(SocketAddr, Request)> {
        match &self.phase {
            Phase::Idle(until) if now < *until => return Vec::new(),
            Phase::Idle(_) => self.begin(now),
            Phase::Preparing { .. } => self.propose_if_ready(now),
            Phase::Querying | Phase::Accepting { .. } => {}
        }
        if now < self.resend_at {
            return Vec::new();
        }
        self.resend_at = now + RESEND_INTERVAL;
        let request = self.request();
        let pending = self.seeds.iter().filter(|seed| self.awaits(**seed));
        pending.map(|seed| (*seed, request.clone())).collect()
    }

    /// Records the reply of `seed` to `request`.
    pub fn receive(
        &mut self,
        now: Moment,
        seed: SocketAddr,
        request: &Request,
        reply: Reply,
    ) -> Option<Outcome> {
        match reply {
            Reply::Founded(cluster) => return Some(Outcome::Exists(cluster)),
            Reply::NoDisk => {
                if let Err(at) = self.diskless.binary_search(&seed) {
                    self.diskless.insert(at, seed);
                }
                let querying = matches!(self.phase, Phase::Querying);
                if querying && self.electorate() == Electorate::Volatile {
                    self.begin(now);
                }
                return None;
            }
            Reply::Outbid(ballot) => {
                if self.is_current(request) {
                    self.round = self.round.max(ballot.round);
                    self.back_off(now);
                }
                return None;
            }
            Reply::Elector => return None,
            Reply::Abstains | Reply::Promised { .. } | Reply::Accepted => {}
        }
        if !self.is_current(request) {
            return None;
        }
        let quorum = self.quorum();
        match (&mut self.phase, reply) {
            (Phase::Preparing { replies, .. }, Reply::Abstains) => {
                insert(replies, seed, None);
            }
            (Phase::Preparing { replies, .. }, Reply::Promised { member, accepted }) => {
                insert(replies, seed, Some(Promise { member, accepted }));
            }
            (
                Phase::Accepting {
                    charter, accepted, ..
                },
                Reply::Accepted,
            ) => {
                if let Err(at) = accepted.binary_search(&seed) {
                    accepted.insert(at, seed);
                }
                if accepted.len() < quorum {
                    return None;
                }
                if charter.members.get(self.member.id).is_some() {
                    return Some(Outcome::Founded(charter.clone()));
                }
                // One of its voters creates the cluster.
                self.phase = Phase::Idle(now + DECIDED_DELAY);
            }
            _ => {}
        }
        None
    }

    /// The electors as far as they are known.
    fn electorate(&self) -> Electorate {
        if self.diskless.len() == self.seeds.len() {
            Electorate::Volatile
        } else {
            Electorate::Durable
        }
    }

    fn quorum(&self) -> usize {
        let electors = match self.electorate() {
            Electorate::Durable => self.seeds.len() - self.diskless.len(),
            Electorate::Volatile => self.seeds.len(),
        };
        electors / 2 + 1
    }

    /// Begins a proposal. An instance that is no seed proposes only if no seed has a disk.
    fn begin(&mut self, now: Moment) {
        self.resend_at = now;
        let is_seed = self.seeds.binary_search(&self.member.address).is_ok();
        if !is_seed && self.electorate() == Electorate::Durable {
            self.phase = Phase::Querying;
            return;
        }
        self.round += 1;
        let ballot = Ballot {
            round: self.round,
            nonce: self.random.random(),
        };
        self.phase = Phase::Preparing {
            ballot,
            since: now,
            replies: Vec::new(),
        };
    }

    /// Proposes a charter once a quorum has promised, and the other seeds had time to.
    fn propose_if_ready(&mut self, now: Moment) {
        let Phase::Preparing {
            ballot,
            since,
            replies,
        } = &self.phase
        else {
            return;
        };
        let promises = replies.iter().filter_map(|(_, promise)| promise.as_ref());
        let promises: Vec<&Promise> = promises.collect();
        let gather_until = self.gather_until.max(*since + RESEND_INTERVAL);
        let pending = self.seeds.iter().any(|seed| self.awaits(*seed));
        if promises.len() < self.quorum() || (pending && now < gather_until) {
            return;
        }
        let ballot = *ballot;
        let accepted = promises.iter().filter_map(|one| one.accepted.as_ref());
        let newest = accepted.max_by_key(|(ballot, _)| *ballot);
        let charter = match newest {
            Some((_, charter)) => charter.clone(),
            None => {
                let members = promises.iter().filter_map(|one| one.member.clone());
                let members = members.collect();
                self.new_charter(members)
            }
        };
        self.phase = Phase::Accepting {
            ballot,
            charter,
            accepted: Vec::new(),
        };
        self.resend_at = now;
    }

    /// A charter with these voters; with this instance if no seed has a disk.
    fn new_charter(&mut self, mut members: Vec<Member>) -> Charter {
        if members.is_empty() {
            members.push(self.member.clone());
        }
        for member in &mut members {
            (member.voter, member.seat) = (true, true);
        }
        Charter {
            cluster: self.random.random(),
            members: Members::new(members),
        }
    }

    fn back_off(&mut self, now: Moment) {
        let delay = Duration::from_millis(self.random.random_range(BACKOFF_MS));
        let until = match self.phase {
            Phase::Idle(until) => until.max(now + delay),
            _ => now + delay,
        };
        self.phase = Phase::Idle(until);
    }

    fn request(&self) -> Request {
        let step = match &self.phase {
            Phase::Idle(_) | Phase::Querying => Step::Query,
            Phase::Preparing { ballot, .. } => Step::Prepare(*ballot),
            Phase::Accepting {
                ballot, charter, ..
            } => Step::Accept(*ballot, charter.clone()),
        };
        Request {
            electorate: self.electorate(),
            step,
        }
    }

    /// Whether a reply of `seed` is still expected.
    fn awaits(&self, seed: SocketAddr) -> bool {
        let is_elector = match self.electorate() {
            Electorate::Durable => self.diskless.binary_search(&seed).is_err(),
            Electorate::Volatile => true,
        };
        let replied = match &self.phase {
            Phase::Idle(_) => true,
            Phase::Querying => false,
            Phase::Preparing { replies, .. } => {
                replies.binary_search_by_key(&seed, |one| one.0).is_ok()
            }
            Phase::Accepting { accepted, .. } => accepted.binary_search(&seed).is_ok(),
        };
        is_elector && !replied
    }

    /// Whether `request` belongs to the proposal in progress.
    fn is_current(&self, request: &Request) -> bool {
        match (&self.phase, &request.step) {
            (Phase::Preparing { ballot, .. }, Step::Prepare(other)) => ballot == other,
            (Phase::Accepting { ballot, .. }, Step::Accept(other, _)) => ballot == other,
            _ => false,
        }
    }
}

/// Adds the reply of a seed to a list sorted by seed.
fn insert(
    replies: &mut Vec<(SocketAddr, Option<Promise>)>,
    seed: SocketAddr,
    promise: Option<Promise>,
) {
    match replies.binary_search_by_key(&seed, |one| one.0) {
        Ok(at) => replies[at].1 = promise,
        Err(at) => replies.insert(at, (seed, promise)),
    }
}
