//! Replication of the leader's log, commitment of entries, confirmation of reads,
//! and transfer of leadership.

use crate::log::{Entry, Snapshot};
use crate::message::{self, AppendEntries, AppendReply, Body, Message};
use crate::node::{InFlight, LeaderState, Node, Role};
use crate::{Index, Moment, NodeId};
use rand::Rng;

/// Maximum number of entries in one message.
const MAX_BATCH_ENTRIES: usize = 512;
/// Maximum bytes of commands in one message, unless a single command is larger: a
/// message must take well under a heartbeat interval on a link of 100 Mbit/s.
const MAX_BATCH_BYTES: usize = 256 * 1024;
/// Heartbeat intervals that a reply may take besides the transfer, for the syncs on both
/// sides. A peer that takes longer, such as one with a stalled disk, counts as silent and
/// is sent no entries.
const REPLY_HEARTBEATS: u32 = 4;
/// Heartbeat intervals without a reply after which a peer is sent only probes, no
/// entries: messages queued for a partitioned peer would exhaust the memory.
const SILENT_HEARTBEATS: u32 = 4;

impl<R: Rng> Node<R> {
    /// Steps down if contact with the majority is lost, sends heartbeats that are due,
    /// and adjusts the members.
    pub(crate) fn tick_leader(&mut self, now: Moment) {
        if !self.has_majority_contact(now) || self.is_removed() {
            self.become_follower(now, self.hard_state.term, None);
            return;
        }
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if leader.transfer_until.is_some_and(|until| now >= until) {
            leader.transfer_until = None;
        }
        if now >= leader.last_heartbeat + self.timing.heartbeat {
            leader.last_heartbeat = now;
            self.send_heartbeats(now);
        }
        self.adjust_members(now);
    }

    /// Whether the list of members is committed and this instance is no voter in it.
    fn is_removed(&self) -> bool {
        let committed = self.log.members_index() <= self.commit;
        committed && !self.log.members().is_voter(self.id)
    }

    /// Whether a majority replied within twice the election time.
    fn has_majority_contact(&self, now: Moment) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let members = self.log.members();
        let max_silence = self.timing.election * 2;
        let responsive = leader.peers.iter().filter(|peer| {
            members.is_voter(peer.id) && now < peer.last_contact + max_silence
        });
        let own = usize::from(members.is_voter(self.id));
        responsive.count() + own >= members.majority()
    }

    /// Sends a heartbeat to every peer. Entries are sent again to peers that did not
    /// reply for two heartbeat intervals and to those whose large message is overdue.
    fn send_heartbeats(&mut self, now: Moment) {
        let interval = self.timing.heartbeat;
        if let Role::Leader(leader) = &mut self.role {
            for peer in &mut leader.peers {
                let overdue = peer.in_flight.is_some_and(|flight| now >= flight.deadline);
                if overdue
                    || (peer.in_flight.is_none()
                        && now >= peer.last_contact + interval * 2)
                {
                    peer.reset_next_index();
                }
            }
        }
        self.send_all(true);
    }

    /// Sends new entries to every peer.
    pub(crate) fn replicate(&mut self) {
        self.send_all(false);
        self.advance_commit();
    }

    /// Starts a confirmation round if a read needs one.
    pub(crate) fn start_requested_round(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if std::mem::take(&mut leader.round_requested) {
            leader.round += 1;
            self.send_all(true);
        }
    }

    /// Sends pending entries to every peer, or a heartbeat where there are none and
    /// `allow_empty` is set.
    fn send_all(&mut self, allow_empty: bool) {
        let ids: Vec<NodeId> = match &self.role {
            Role::Leader(leader) => leader.peers.iter().map(|peer| peer.id).collect(),
            _ => return,
        };
        for id in ids {
            self.send_to(id, allow_empty);
        }
    }

    /// Sends the next entries, a snapshot or a heartbeat to one peer. A silent peer is
    /// sent probes only, and one with a large message in flight only heartbeats.
    fn send_to(&mut self, id: NodeId, allow_empty: bool) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let round = leader.round;
        let interval = self.timing.heartbeat;
        let now = leader.last_heartbeat;
        let Some(peer) = leader.peers.iter_mut().find(|peer| peer.id == id) else {
            return;
        };
        if peer.last_contact < now.saturating_sub(interval * SILENT_HEARTBEATS) {
            if allow_empty {
                self.send_probe(id, round);
            }
            return;
        }
        if peer.in_flight.is_some() {
            let matched = peer.matched;
            if allow_empty {
                self.send_empty_append(id, matched, round);
            }
            return;
        }
        let prev = peer.next - 1;
        let body = match self.log.term(prev) {
            Some(prev_term) => {
                let mut entries = batch(self.log.slice(peer.next, MAX_BATCH_ENTRIES));
                let large = message::are_large(entries);
                if large && prev != peer.matched {
                    // Send a heartbeat first to find out whether the logs agree:
                    // replies that arrive while a large message is in flight
                    // are not taken as its rejection.
                    entries = &[];
                }
                if entries.is_empty() && !allow_empty && !large {
                    return;
                }
                peer.next += entries.len() as Index;
                Body::Append(AppendEntries {
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
            term: self.hard_state.term,
            body,
        };
        if message.is_large() {
            let deadline = now
                + interval * REPLY_HEARTBEATS
                + message::max_transfer_time(message.size());
            peer.in_flight = Some(InFlight { last, deadline });
        }
        self.ready.immediate.push(message);
    }

    /// Sends a heartbeat to a peer to which a large message is in flight: without
    /// entries, at an index where both logs are known to agree, so that the reply is a
    /// success and requests no entries.
    fn send_empty_append(&mut self, id: NodeId, matched: Index, round: u64) {
        let Some(prev_term) = self.log.term(matched) else {
            self.send_probe(id, round);
            return;
        };
        let body = Body::Append(AppendEntries {
            prev: matched,
            prev_term,
            entries: Vec::new(),
            commit: self.commit,
            round,
        });
        let message = self.message(id, self.hard_state.term, body);
        self.ready.immediate.push(message);
    }

    /// Reports whether a large message to `id` was delivered. An undelivered one is sent
    /// again with the next heartbeat. A delivered one is sent again if no reply follows
    /// within four heartbeat intervals: the receiver may have restarted before the
    /// message was durable.
    pub fn report_delivery(&mut self, now: Moment, id: NodeId, delivered: bool) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(peer) = leader.peers.iter_mut().find(|peer| peer.id == id) else {
            return;
        };
        if !delivered {
            peer.reset_next_index();
        } else if let Some(flight) = &mut peer.in_flight {
            let reply_deadline = now + self.timing.heartbeat * REPLY_HEARTBEATS;
            flight.deadline = flight.deadline.min(reply_deadline);
        }
    }

    /// Sends a silent peer a message without entries, at the end of the leader's log.
    /// The reply contains the index at which the peer's log ends.
    fn send_probe(&mut self, id: NodeId, round: u64) {
        let body = Body::Append(AppendEntries {
            prev: self.log.last(),
            prev_term: self.log.last_term(),
            entries: Vec::new(),
            commit: self.commit,
            round,
        });
        let message = self.message(id, self.hard_state.term, body);
        self.ready.immediate.push(message);
    }

    /// Adds a leader's entries to the log if it contains the entry before them.
    pub(crate) fn handle_append(
        &mut self,
        now: Moment,
        from: NodeId,
        append: &AppendEntries,
    ) {
        self.become_follower(now, self.hard_state.term, Some(from));
        let round = append.round;
        let reply = |success, index| AppendReply {
            success,
            index,
            round,
        };
        let last = append.prev + append.entries.len() as Index;
        if append.prev > self.log.last() {
            let index = self.log.last();
            self.reply_after_sync(from, Body::AppendReply(reply(false, index)));
            return;
        }
        let known = self.log.term(append.prev);
        let behind = append.prev < self.log.snapshot().index;
        if !behind && known != Some(append.prev_term) {
            let index = append.prev.saturating_sub(1);
            self.reply_after_sync(from, Body::AppendReply(reply(false, index)));
            return;
        }
        self.store(append);
        self.commit = self.commit.max(append.commit.min(last));
        self.reply_after_sync(from, Body::AppendReply(reply(true, last)));
    }

    /// Adds the entries that the log lacks and replaces those that conflict.
    fn store(&mut self, append: &AppendEntries) {
        for entry in &append.entries {
            if entry.index <= self.log.snapshot().index {
                continue;
            }
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => {}
                Some(_) => {
                    assert!(
                        entry.index > self.commit,
                        "committed entries are never replaced"
                    );
                    self.truncate_log(entry.index);
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

    /// Truncates the log from `index` on, including entries that are not durable yet.
    fn truncate_log(&mut self, index: Index) {
        self.log.truncate(index);
        self.ready.append.retain(|entry| entry.index < index);
        let earlier = self.ready.truncate.unwrap_or(Index::MAX);
        self.ready.truncate = Some(index.min(earlier));
        self.durable_index = self.durable_index.min(index - 1);
    }

    /// Replaces the log up to the snapshot's index by a snapshot from the leader.
    pub(crate) fn handle_install(
        &mut self,
        now: Moment,
        from: NodeId,
        round: u64,
        snapshot: Snapshot,
    ) {
        self.become_follower(now, self.hard_state.term, Some(from));
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
        let reply = AppendReply {
            success: true,
            index,
            round,
        };
        self.reply_after_sync(from, Body::AppendReply(reply));
    }

    /// Updates a peer's replication state and sends it the entries that it lacks.
    pub(crate) fn handle_append_reply(
        &mut self,
        now: Moment,
        from: NodeId,
        reply: AppendReply,
    ) {
        let last = self.log.last();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(peer) = leader.peers.iter_mut().find(|peer| peer.id == from) else {
            return;
        };
        peer.last_contact = now;
        peer.round = peer.round.max(reply.round);
        if reply.success {
            peer.matched = peer.matched.max(reply.index.min(last));
            peer.next = peer.next.max(peer.matched + 1);
            let matched = peer.matched;
            peer.in_flight = peer.in_flight.filter(|flight| flight.last > matched);
        } else if peer.in_flight.is_none() {
            // A late rejection must not move the peer back below the matching entries.
            peer.next = (reply.index + 1).max(peer.matched + 1);
        }
        let behind = peer.next <= last;
        if behind {
            self.send_to(from, false);
        }
        self.try_transfer(now, from);
        self.advance_commit();
    }

    /// Commits the last index that a majority has made durable, if its entry is of the
    /// present term.
    pub(crate) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let members = self.log.members();
        let mut durable_indices: Vec<Index> = leader
            .peers
            .iter()
            .filter(|peer| members.is_voter(peer.id))
            .map(|peer| peer.matched)
            .collect();
        if members.is_voter(self.id) {
            durable_indices.push(self.durable_index);
        }
        durable_indices.sort_unstable_by(|a, b| b.cmp(a));
        let Some(majority_index) = durable_indices.get(members.majority() - 1).copied()
        else {
            return;
        };
        let own_term = self.log.term(majority_index) == Some(self.hard_state.term);
        if majority_index > self.commit && own_term {
            self.commit = majority_index;
        }
    }

    /// Moves confirmed reads whose index is committed to the pending work.
    pub(crate) fn complete_reads(&mut self) {
        let commit = self.commit;
        let confirmed = self.confirmed_round();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let ready = &mut self.ready;
        leader.reads.retain(|read| {
            let done = read.round <= confirmed && read.index <= commit;
            if done {
                ready.reads.push(read.id);
            }
            !done
        });
    }

    /// Newest confirmation round that a majority answered.
    fn confirmed_round(&self) -> u64 {
        let Role::Leader(leader) = &self.role else {
            return 0;
        };
        let members = self.log.members();
        let mut rounds: Vec<u64> = voter_rounds(leader, |id| members.is_voter(id));
        if members.is_voter(self.id) {
            rounds.push(leader.round);
        }
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        rounds.get(members.majority() - 1).copied().unwrap_or(0)
    }

    /// Starts to transfer leadership to a voter that has the complete log, because this
    /// instance will stop. New commands are rejected meanwhile; the transfer is abandoned
    /// after twice the election time.
    pub fn transfer_leadership(&mut self, now: Moment) {
        let until = now + self.timing.election * 2;
        if let Role::Leader(leader) = &mut self.role {
            leader.transfer_until = Some(until);
        }
        let ids: Vec<NodeId> = self.log.members().voters().collect();
        for id in ids {
            self.try_transfer(now, id);
        }
    }

    /// Requests an election from the voter `id` if a transfer is in progress and the
    /// voter has the complete log.
    fn try_transfer(&mut self, now: Moment, id: NodeId) {
        let last = self.log.last();
        let votes = self.log.members().is_voter(id);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let has_all = |peer: &&crate::node::Peer| peer.id == id && peer.matched == last;
        let complete = votes && leader.peers.iter().any(|peer| has_all(&peer));
        if leader.transfer_until.is_some_and(|until| now < until) && complete {
            // Only one voter is sent the request: the next tick ends the transfer.
            leader.transfer_until = Some(Moment::ZERO);
            let message: Message = self.message(id, self.hard_state.term, Body::TakeOver);
            self.ready.immediate.push(message);
        }
    }
}

/// Newest confirmation round that each voting peer answered.
fn voter_rounds(leader: &LeaderState, votes: impl Fn(NodeId) -> bool) -> Vec<u64> {
    let voters = leader.peers.iter().filter(|peer| votes(peer.id));
    voters.map(|peer| peer.round).collect()
}

/// The longest prefix that fits into one message, but at least one entry.
fn batch(entries: &[Entry]) -> &[Entry] {
    let mut bytes = 0;
    let fits = |entry: &&Entry| {
        bytes += entry.size();
        bytes <= MAX_BATCH_BYTES
    };
    let count = entries.iter().take_while(fits).count();
    &entries[..count.max(1).min(entries.len())]
}
