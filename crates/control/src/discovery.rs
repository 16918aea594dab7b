//! Which instances to ask for members of the cluster, as a state machine without I/O.
//!
//! Seeds can name any instance that runs the control program: members, instances without
//! a disk, instances that lost their disk and look for the cluster themselves, machines
//! that are down. Every instance therefore asks the instances that it knows, and learns
//! from each answer whether it came from one that stores the log, and which further
//! instances that one knows. Whoever is asked learns the address of whoever asks. A way
//! between two instances thus works in both directions, over any number of others.
//!
//! Invariants:
//!
//! * only what an instance says of itself makes it a member, and only for [`MEMBER_TTL`]:
//!   what others say of it only adds an address to ask;
//! * an address is passed on only if it stands in the own settings or if its instance was
//!   heard from within [`CONTACT_TTL`], so that addresses of lost machines die out;
//! * a round asks at most [`MAX_ASKED`] addresses, those first that have waited for
//!   longest since they were learned or asked, and at most [`MAX_LEARNED`] addresses are
//!   known beside the own settings. Every known address is therefore asked within a
//!   bounded number of rounds (six with three seeds), whatever is learned meanwhile, and
//!   each step on the way to a member takes at most as many.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::Moment;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Path on which instances send [`Announcement`].
pub const ANNOUNCE_PATH: &str = "/internal/announce";
/// Path on which instances send [`Inquiry`].
pub const INQUIRE_PATH: &str = "/internal/inquire";
/// Interval of rounds. A way over two instances takes a few rounds.
pub const ROUND: Duration = Duration::from_millis(200);
/// Time until an address is asked again while a member is known: a quarter of
/// [`MEMBER_TTL`], so that three answers may be lost.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// How long an instance counts as a member after it last said so.
pub const MEMBER_TTL: Duration = Duration::from_secs(4);
/// How long an address outside the own settings is known after its instance was last
/// heard from. Longer than a restart of all machines.
pub const CONTACT_TTL: Duration = Duration::from_secs(30);
/// Largest number of addresses asked in a round.
pub const MAX_ASKED: usize = 8;
/// Largest number of known addresses outside the own settings: more than four times the
/// instances of the largest deployment.
pub const MAX_LEARNED: usize = 40;

/// What an instance that stores the log says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Id of the instance's cluster.
    pub cluster: u128,
    /// Internal address of the instance.
    pub internal: SocketAddr,
    /// Address of the instance's operator API.
    pub operators: SocketAddr,
}

/// Asks an instance which control instances it knows. Answered with [`Directions`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inquiry {
    /// Internal address of the instance that asks.
    pub internal: SocketAddr,
}

/// Answer to an [`Inquiry`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directions {
    /// The instance that answers, if it stores the log.
    pub member: Option<Announcement>,
    /// Internal addresses of other instances.
    pub addresses: Vec<SocketAddr>,
}

/// A known address.
#[derive(Clone, Debug)]
struct Contact {
    address: SocketAddr,
    /// Whether the own settings name it.
    named: bool,
    /// When it was learned or its instance was last heard from.
    since: Moment,
    /// Whether its instance was heard from.
    heard: bool,
    asked: Option<Moment>,
    /// Whether it was asked in an earlier round than the last time.
    asked_before: bool,
    /// Since when it waits to be asked; `None` before all others.
    queued: Option<Moment>,
    /// What its instance last said of itself, and when.
    member: Option<(Announcement, Moment)>,
}

impl Contact {
    fn new(now: Moment, address: SocketAddr) -> Self {
        Self {
            address,
            named: false,
            since: now,
            heard: false,
            asked: None,
            asked_before: false,
            queued: Some(now),
            member: None,
        }
    }

    fn expired(&self, now: Moment) -> bool {
        !self.named && now >= self.since + CONTACT_TTL
    }

    fn announced(&self, now: Moment) -> Option<Announcement> {
        let (announcement, at) = self.member?;
        (now < at + MEMBER_TTL).then_some(announcement)
    }
}

/// The control instances that one instance knows.
#[derive(Clone, Debug)]
pub struct Discovery {
    own: SocketAddr,
    /// Sorted by address.
    contacts: Vec<Contact>,
}

impl Discovery {
    /// State of the instance at `own`, which knows no other.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            contacts: Vec::new(),
        }
    }

    /// Replaces the addresses from the own settings. New ones are due at once.
    pub fn set_seeds(&mut self, now: Moment, seeds: &[SocketAddr]) {
        for contact in &mut self.contacts {
            let named = seeds.contains(&contact.address);
            if contact.named && !named {
                contact.since = now;
            }
            contact.named = named;
        }
        for &address in seeds.iter().filter(|address| **address != self.own) {
            let at = self.find(address).unwrap_or_else(|at| {
                let mut contact = Contact::new(now, address);
                contact.queued = None;
                self.contacts.insert(at, contact);
                at
            });
            self.contacts[at].named = true;
        }
    }

    /// Records that an instance announced itself. Returns whether it was not known as a
    /// member.
    pub fn record_member(&mut self, now: Moment, announcement: Announcement) -> bool {
        let Some(contact) = self.hear(now, announcement.internal) else {
            return false;
        };
        let is_new = contact.announced(now).is_none();
        contact.member = Some((announcement, now));
        is_new
    }

    /// Records that the instance at `address` asked this one.
    pub fn record_inquiry(&mut self, now: Moment, address: SocketAddr) {
        self.hear(now, address);
    }

    /// Records the answer of the instance at `address`. Returns whether it was not known
    /// as a member.
    pub fn record_answer(
        &mut self,
        now: Moment,
        address: SocketAddr,
        answer: &Directions,
    ) -> bool {
        if let Some(contact) = self.hear(now, address)
            && answer.member.is_none()
        {
            // An instance that lost its disk is no longer a member.
            contact.member = None;
        }
        for &other in answer.addresses.iter().take(MAX_LEARNED) {
            self.learn(now, other);
        }
        answer
            .member
            .is_some_and(|announcement| self.record_member(now, announcement))
    }

    /// Starts a round: forgets expired addresses and returns those to ask now.
    pub fn due(&mut self, now: Moment) -> Vec<SocketAddr> {
        self.contacts.retain(|contact| !contact.expired(now));
        let interval = if self.members(now).is_empty() {
            ROUND
        } else {
            REFRESH_INTERVAL
        };
        let is_due = |contact: &&mut Contact| {
            contact.asked.is_none_or(|asked| now >= asked + interval)
        };
        let mut due: Vec<&mut Contact> =
            self.contacts.iter_mut().filter(is_due).collect();
        due.sort_by_key(|contact| contact.queued);
        due.truncate(MAX_ASKED);
        let ask = |contact: &mut Contact| {
            contact.asked_before = contact.asked.is_some();
            contact.asked = Some(now);
            contact.queued = Some(now);
            contact.address
        };
        due.into_iter().map(ask).collect()
    }

    /// Instances that lately said that they store the log, sorted by address.
    pub fn members(&self, now: Moment) -> Vec<Announcement> {
        let announced = |contact: &Contact| contact.announced(now);
        self.contacts.iter().filter_map(announced).collect()
    }

    /// The cluster of all known members; `None` without a member, or if they are of
    /// different clusters.
    pub fn cluster(&self, now: Moment) -> Option<u128> {
        let members = self.members(now);
        let first = members.first()?.cluster;
        let agree = members.iter().all(|member| member.cluster == first);
        agree.then_some(first)
    }

    /// Like [`Discovery::cluster`], and `None` while an address may still turn out to
    /// belong to a member: until it has answered, or had a round to answer in. Which of
    /// two clusters is found first is chance.
    pub fn settled_cluster(&self, now: Moment) -> Option<u128> {
        let settled = |contact: &Contact| {
            let waited = contact.asked.is_some_and(|asked| now >= asked + ROUND);
            contact.heard || contact.asked_before || waited
        };
        let settled = self.contacts.iter().all(settled);
        self.cluster(now).filter(|_| settled)
    }

    /// Addresses to pass on, sorted.
    pub fn addresses(&self, now: Moment) -> Vec<SocketAddr> {
        let passed_on =
            |contact: &&Contact| contact.named || contact.heard && !contact.expired(now);
        let contacts = self.contacts.iter().filter(passed_on);
        contacts.map(|contact| contact.address).collect()
    }

    fn find(&self, address: SocketAddr) -> Result<usize, usize> {
        self.contacts
            .binary_search_by_key(&address, |contact| contact.address)
    }

    /// The contact at `address`, which was just heard from; `None` if there is no room.
    fn hear(&mut self, now: Moment, address: SocketAddr) -> Option<&mut Contact> {
        let at = self.learn(now, address)?;
        let contact = &mut self.contacts[at];
        contact.heard = true;
        contact.since = now;
        Some(contact)
    }

    /// Adds an address and returns its position; `None` if there is no room.
    fn learn(&mut self, now: Moment, address: SocketAddr) -> Option<usize> {
        if address == self.own {
            return None;
        }
        if let Ok(at) = self.find(address) {
            return Some(at);
        }
        self.make_room()?;
        let at = self.find(address).unwrap_or_else(|at| at);
        self.contacts.insert(at, Contact::new(now, address));
        Some(at)
    }

    /// Removes an address if there are too many: the one that was asked first of those
    /// that never answered. An address that was not asked yet stays.
    fn make_room(&mut self) -> Option<()> {
        let learned = self.contacts.iter().filter(|contact| !contact.named);
        if learned.count() < MAX_LEARNED {
            return Some(());
        }
        let silent = |contact: &Contact| !contact.named && !contact.heard;
        let candidates = self.contacts.iter().filter(|contact| silent(contact));
        let asked =
            candidates.filter_map(|contact| Some((contact.asked?, contact.address)));
        let (_, address) = asked.min()?;
        self.contacts.retain(|contact| contact.address != address);
        Some(())
    }
}
