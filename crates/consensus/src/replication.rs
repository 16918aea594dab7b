//! From the leader's log to the others', and what is committed by it.

use crate::log::{Entry, Snapshot};
use crate::message::{self, Append, Appended, Body, Message};
use crate::node::{Flight, Leading, Node, Role};
use crate::{Index, Moment, NodeId};
use rand::Rng;

/// Most entries in one message.
const BATCH: usize = 512;
/// Most bytes of commands in one message, unless a single one is larger: a
/// message must be sent well within a heartbeat on a link of 100 Mbit/s.
const BATCH_BYTES: usize = 256 * 1024;
/// Heartbeats that an answer may take beside the transfer: syncs on both sides. Who
/// takes longer, as with a disk that stalls, is silent, and gets no entries.
const ANSWER_BEATS: u32 = 4;
/// Heartbeats without an answer after which a peer gets no entries, only
/// probes: what piles up for one that is cut off would fill the memory.
const SILENT_BEATS: u32 = 4;

impl<R: Rng> Node<R> {
    /// A leader's work as time passes.
    pub(crate) fn lead(&mut self, now: Moment) {
        if !self.supported(now) || self.removed() {
            self.follow(now, self.hard.term, None);
            return;
        }
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        if leading.handing.is_some_and(|until| now >= until) {
            leading.handing = None;
        }
        if now >= leading.beat + self.timing.heartbeat {
            leading.beat = now;
            self.beat(now);
        }
        self.arrange(now);
    }

    /// Whether a committed list of members leaves this instance out.
    fn removed(&self) -> bool {
        let settled = self.log.members_index() <= self.commit;
        settled && !self.log.members().votes(self.id)
    }

    /// Whether a majority answered within an election's time.
    fn supported(&self, now: Moment) -> bool {
        let Role::Leader(leading) = &self.role else {
            return false;
        };
        let members = self.log.members();
        let lately = self.timing.election * 2;
        let answered = leading
            .peers
            .iter()
            .filter(|peer| members.votes(peer.id) && now < peer.heard + lately);
        let own = usize::from(members.votes(self.id));
        answered.count() + own >= members.majority()
    }

    /// Sends to every peer, going back to what is known to agree where no
    /// answer came since the last heartbeat.
    fn beat(&mut self, now: Moment) {
        let beat = self.timing.heartbeat;
        if let Role::Leader(leading) = &mut self.role {
            for peer in &mut leading.peers {
                let overdue = peer.flight.is_some_and(|flight| now >= flight.until);
                if overdue || (peer.flight.is_none() && now >= peer.heard + beat * 2) {
                    peer.go_back();
                }
            }
        }
        self.send_all(true);
    }

    /// Sends new entries to every peer.
    pub(crate) fn replicate(&mut self) {
        self.send_all(false);
        self.advance();
    }

    /// Starts a round of confirmation where a read asked for one.
    pub(crate) fn confirm_round(&mut self) {
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        if std::mem::take(&mut leading.asked) {
            leading.round += 1;
            self.send_all(true);
        }
    }

    fn send_all(&mut self, empty: bool) {
        let ids: Vec<NodeId> = match &self.role {
            Role::Leader(leading) => leading.peers.iter().map(|peer| peer.id).collect(),
            _ => return,
        };
        for id in ids {
            self.send_to(id, empty);
        }
    }

    fn send_to(&mut self, id: NodeId, empty: bool) {
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        let round = leading.round;
        let beat = self.timing.heartbeat;
        let now = leading.beat;
        let Some(peer) = leading.peers.iter_mut().find(|peer| peer.id == id) else {
            return;
        };
        if peer.heard < now.saturating_sub(beat * SILENT_BEATS) {
            if empty {
                self.probe(id, round);
            }
            return;
        }
        if peer.flight.is_some() {
            let matched = peer.matched;
            if empty {
                self.keep_contact(id, matched, round);
            }
            return;
        }
        let prev = peer.next - 1;
        let body = match self.log.term(prev) {
            Some(prev_term) => {
                let mut entries = batch(self.log.slice(peer.next, BATCH));
                let large = message::large(entries);
                if large && prev != peer.matched {
                    // Whether it fits has to be known first: nothing that the other
                    // one says is taken for an answer to what is on its way.
                    entries = &[];
                }
                if entries.is_empty() && !empty && !large {
                    return;
                }
                peer.next += entries.len() as Index;
                Body::Append(Append {
                    prev,
                    prev_term,
                    entries: entries.to_vec(),
                    commit: self.commit,
                    round,
                })
            }
            None => {
                let snapshot = self.log.snapshot().as_ref().clone();
                peer.next = snapshot.index + 1;
                Body::Install { round, snapshot }
            }
        };
        let last = peer.next - 1;
        let message = Message {
            from: self.id,
            to: id,
            term: self.hard.term,
            body,
        };
        if message.large() {
            let until = now + beat * ANSWER_BEATS + message::transfer(message.size());
            peer.flight = Some(Flight { last, until });
        }
        self.ready.prompt.push(message);
    }

    /// A heartbeat for a peer that a large message is on its way to: without entries,
    /// from where both logs are known to agree, so that its answer asks for nothing.
    fn keep_contact(&mut self, id: NodeId, matched: Index, round: u64) {
        let Some(prev_term) = self.log.term(matched) else {
            self.probe(id, round);
            return;
        };
        let body = Body::Append(Append {
            prev: matched,
            prev_term,
            entries: Vec::new(),
            commit: self.commit,
            round,
        });
        let message = self.message(id, self.hard.term, body);
        self.ready.prompt.push(message);
    }

    /// A large message to `id` was delivered, or not. One that was not is sent again
    /// with the next heartbeat; so is one that was, if no answer follows soon: whoever
    /// took it may have restarted before it was on disk.
    pub fn delivery(&mut self, now: Moment, id: NodeId, delivered: bool) {
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        let Some(peer) = leading.peers.iter_mut().find(|peer| peer.id == id) else {
            return;
        };
        if !delivered {
            peer.go_back();
        } else if let Some(flight) = &mut peer.flight {
            let soon = now + self.timing.heartbeat * ANSWER_BEATS;
            flight.until = flight.until.min(soon);
        }
    }

    /// Asks a silent peer for a word, without entries. Its answer tells where
    /// its log ends.
    fn probe(&mut self, id: NodeId, round: u64) {
        let body = Body::Append(Append {
            prev: self.log.last(),
            prev_term: self.log.last_term(),
            entries: Vec::new(),
            commit: self.commit,
            round,
        });
        let message = self.message(id, self.hard.term, body);
        self.ready.prompt.push(message);
    }

    pub(crate) fn take_append(&mut self, now: Moment, from: NodeId, append: &Append) {
        self.follow(now, self.hard.term, Some(from));
        let round = append.round;
        let reply = |fits, index| Appended { fits, index, round };
        let last = append.prev + append.entries.len() as Index;
        if append.prev > self.log.last() {
            let index = self.log.last();
            self.answer(from, Body::AppendReply(reply(false, index)));
            return;
        }
        let known = self.log.term(append.prev);
        let behind = append.prev < self.log.snapshot().index;
        if !behind && known != Some(append.prev_term) {
            let index = append.prev.saturating_sub(1);
            self.answer(from, Body::AppendReply(reply(false, index)));
            return;
        }
        self.store(append);
        self.commit = self.commit.max(append.commit.min(last));
        self.answer(from, Body::AppendReply(reply(true, last)));
    }

    fn store(&mut self, append: &Append) {
        for entry in &append.entries {
            if entry.index <= self.log.snapshot().index {
                continue;
            }
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => {}
                Some(_) => {
                    assert!(entry.index > self.commit, "committed entries stay");
                    self.cut(entry.index);
                    self.log.push(entry.clone());
                    self.ready.append.push(entry.clone());
                }
                None => {
                    self.log.push(entry.clone());
                    self.ready.append.push(entry.clone());
                }
            }
        }
    }

    /// Removes the log from `index` on, also out of what is not durable yet.
    fn cut(&mut self, index: Index) {
        self.log.truncate(index);
        self.ready.append.retain(|entry| entry.index < index);
        let earlier = self.ready.truncate.unwrap_or(Index::MAX);
        self.ready.truncate = Some(index.min(earlier));
        self.durable = self.durable.min(index - 1);
    }

    pub(crate) fn install(
        &mut self,
        now: Moment,
        from: NodeId,
        round: u64,
        snapshot: Snapshot,
    ) {
        self.follow(now, self.hard.term, Some(from));
        let index = snapshot.index;
        if index > self.commit {
            self.log.compact(snapshot.clone());
            if self.log.last() == index {
                self.ready.append.clear();
            } else {
                self.ready.append.retain(|entry| entry.index > index);
            }
            self.ready.truncate = None;
            self.ready.committed.clear();
            self.commit = index;
            self.applied = index;
            self.ready.snapshot = Some(snapshot);
        }
        let reply = Appended {
            fits: true,
            index,
            round,
        };
        self.answer(from, Body::AppendReply(reply));
    }

    pub(crate) fn appended(&mut self, now: Moment, from: NodeId, reply: Appended) {
        let last = self.log.last();
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        let Some(peer) = leading.peers.iter_mut().find(|peer| peer.id == from) else {
            return;
        };
        peer.heard = now;
        peer.round = peer.round.max(reply.round);
        if reply.fits {
            peer.matched = peer.matched.max(reply.index.min(last));
            peer.next = peer.next.max(peer.matched + 1);
            let matched = peer.matched;
            peer.flight = peer.flight.filter(|flight| flight.last > matched);
        } else if peer.flight.is_none() {
            // An old refusal must not take the peer back below what agreed.
            peer.next = (reply.index + 1).max(peer.matched + 1);
        }
        let behind = peer.next <= last;
        if behind {
            self.send_to(from, false);
        }
        self.finish_handing(now, from);
        self.advance();
    }

    /// Commits what a majority has made durable in the present term.
    pub(crate) fn advance(&mut self) {
        let Role::Leader(leading) = &self.role else {
            return;
        };
        let members = self.log.members();
        let mut marks: Vec<Index> = leading
            .peers
            .iter()
            .filter(|peer| members.votes(peer.id))
            .map(|peer| peer.matched)
            .collect();
        if members.votes(self.id) {
            marks.push(self.durable);
        }
        marks.sort_unstable_by(|a, b| b.cmp(a));
        let Some(agreed) = marks.get(members.majority() - 1).copied() else {
            return;
        };
        let own = self.log.term(agreed) == Some(self.hard.term);
        if agreed > self.commit && own {
            self.commit = agreed;
        }
    }

    /// Moves reads that are confirmed to the owner.
    pub(crate) fn answer_reads(&mut self) {
        let commit = self.commit;
        let confirmed = self.confirmed();
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        let ready = &mut self.ready;
        leading.reads.retain(|read| {
            let done = read.round <= confirmed && read.index <= commit;
            if done {
                ready.reads.push(read.id);
            }
            !done
        });
    }

    /// Newest round that a majority answered.
    fn confirmed(&self) -> u64 {
        let Role::Leader(leading) = &self.role else {
            return 0;
        };
        let members = self.log.members();
        let mut rounds: Vec<u64> = answered(leading, |id| members.votes(id));
        if members.votes(self.id) {
            rounds.push(leading.round);
        }
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        rounds.get(members.majority() - 1).copied().unwrap_or(0)
    }

    /// Begins to hand leadership over, because this instance will stop.
    pub fn hand_over(&mut self, now: Moment) {
        let until = now + self.timing.election * 2;
        if let Role::Leader(leading) = &mut self.role {
            leading.handing = Some(until);
        }
        let ids: Vec<NodeId> = self.log.members().voters().collect();
        for id in ids {
            self.finish_handing(now, id);
        }
    }

    /// Asks a voter that has the whole log to take over.
    fn finish_handing(&mut self, now: Moment, id: NodeId) {
        let last = self.log.last();
        let votes = self.log.members().votes(id);
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        let current = |peer: &&crate::node::Peer| peer.id == id && peer.matched == last;
        let fits = votes && leading.peers.iter().any(|peer| current(&peer));
        if leading.handing.is_some_and(|until| now < until) && fits {
            // One is asked; the next only if nothing came of it.
            leading.handing = Some(Moment::ZERO);
            let message: Message = self.message(id, self.hard.term, Body::TakeOver);
            self.ready.prompt.push(message);
        }
    }
}

fn answered(leading: &Leading, votes: impl Fn(NodeId) -> bool) -> Vec<u64> {
    let voters = leading.peers.iter().filter(|peer| votes(peer.id));
    voters.map(|peer| peer.round).collect()
}

/// As many entries as one message may carry, but at least one.
fn batch(entries: &[Entry]) -> &[Entry] {
    let mut bytes = 0;
    let fits = |entry: &&Entry| {
        bytes += entry.size();
        bytes <= BATCH_BYTES
    };
    let count = entries.iter().take_while(fits).count();
    &entries[..count.max(1).min(entries.len())]
}
