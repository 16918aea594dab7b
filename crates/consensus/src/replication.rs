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
/// Heartbeat intervals within which a peer must reply to a large message, in addition to
/// the transfer time: for the syncs on both sides. After that the message is sent again.
const REPLY_TIMEOUT_HEARTBEATS: u32 = 4;
/// Heartbeat intervals without a reply after which a peer, such as one with a stalled
/// disk, counts as silent and is sent only probes, no entries: messages queued for a
/// partitioned peer would exhaust the memory.
const SILENT_HEARTBEATS: u32 = 4;

impl<R: Rng> Node<R> {
    /// Steps down if the majority did not reply for twice the election timeout or this
    /// instance was removed. Otherwise sends heartbeats that are due and adjusts the
    /// members.
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

    /// Whether a majority replied within twice [`Timing::election`], counting this
    /// instance if it is a voter.
    ///
    /// [`Timing::election`]: crate::node::Timing::election
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

    /// Sends entries, or a heartbeat if there are none to send, to every peer. Entries
    /// are sent again to peers whose large message is overdue and to those without one
    /// that did not reply for two heartbeat intervals.
    fn send_heartbeats(&mut self, now: Moment) {
        let interval = self.timing.heartbeat;
        let mut ids: Vec<NodeId> = Vec::new();
        if let Role::Leader(leader) = &mut self.role {
            for peer in &mut leader.peers {
                ids.push(peer.id);
                let overdue = peer
                    .in_flight
                    .is_some_and(|in_flight| now >= in_flight.deadline);
                if overdue
                    || (peer.in_flight.is_none()
                        && now >= peer.last_contact + interval * 2)
                {
                    peer.reset_next_index();
                }
            }
        }
        self.expect_replies(now, &ids);
        self.send_all(true);
    }

    /// Sends new entries to every peer and advances the commit index.
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

    /// Sends the next entries to every peer. A peer without any is sent a heartbeat if
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

    /// Sends the next entries, a snapshot or, if `allow_empty` is set, a heartbeat to one
    /// peer. A silent peer is sent only probes, unless it is a learner that never replied,
    /// and one with a large message in flight only heartbeats; all of these only if
    /// `allow_empty` is set. A learner that never replies is removed in the end, which
    /// bounds what is sent to it.
    fn send_to(&mut self, id: NodeId, allow_empty: bool) {
        let is_learner = !self.log.members().is_voter(id);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let round = leader.round;
        let interval = self.timing.heartbeat;
        // At most about one interval before the current time, which is precise enough for
        // the bounds of several intervals below.
        let last_heartbeat = leader.last_heartbeat;
        let Some(peer) = leader.peers.iter_mut().find(|peer| peer.id == id) else {
            return;
        };
        // A new instance finds the addresses to reply to in the entries, so probes alone
        // would keep it silent.
        let is_new = is_learner && peer.match_index == 0;
        let max_silence = interval * SILENT_HEARTBEATS;
        let is_silent = peer.last_contact < last_heartbeat.saturating_sub(max_silence);
        if is_silent && !allow_empty {
            return;
        }
        if is_silent && !is_new {
            self.send_probe(id, round);
            return;
        }
        if peer.in_flight.is_some() {
            let match_index = peer.match_index;
            if allow_empty {
                self.send_empty_append(id, match_index, round);
            }
            return;
        }
        let prev = peer.next_index - 1;
        let body = match self.log.term(prev) {
            Some(prev_term) => {
                let mut entries =
                    batch(self.log.slice(peer.next_index, MAX_BATCH_ENTRIES));
                let large = message::are_large(entries);
                if large && prev != peer.match_index {
                    // Send a heartbeat first to find out whether the logs agree at
                    // `prev`: rejections are ignored while a large message is in flight.
                    entries = &[];
                }
                if entries.is_empty() && !allow_empty && !large {
                    return;
                }
                peer.next_index += entries.len() as Index;
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
                peer.next_index = snapshot.index + 1;
                Body::Install { round, snapshot }
            }
        };
        let last = peer.next_index - 1;
        let message = Message {
            from: self.id,
            to: id,
            term: self.hard_state.term,
            body,
        };
        if message.is_large() {
            let deadline = last_heartbeat
                + interval * REPLY_TIMEOUT_HEARTBEATS
                + message::max_transfer_time(message.size());
            peer.in_flight = Some(InFlight { last, deadline });
        }
        self.ready.immediate.push(message);
    }

    /// Sends a heartbeat to a peer to which a large message is in flight: without
    /// entries, at an index where both logs are known to agree, so that the reply is a
    /// success and does not cause entries to be sent again.
    fn send_empty_append(&mut self, id: NodeId, match_index: Index, round: u64) {
        let Some(prev_term) = self.log.term(match_index) else {
            self.send_probe(id, round);
            return;
        };
        let body = Body::Append(AppendEntries {
            prev: match_index,
            prev_term,
            entries: Vec::new(),
            commit: self.commit,
            round,
        });
        let message = self.message(id, self.hard_state.term, body);
        self.ready.immediate.push(message);
    }

    /// Records whether a large message to `id` was delivered. An undelivered message is
    /// sent again with the next heartbeat. A delivered one is sent again if no reply
    /// arrives within four heartbeat intervals: the receiver may have restarted before
    /// the message was durable.
    pub fn report_delivery(&mut self, now: Moment, id: NodeId, delivered: bool) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(peer) = leader.peers.iter_mut().find(|peer| peer.id == id) else {
            return;
        };
        if !delivered {
            peer.reset_next_index();
        } else if let Some(in_flight) = &mut peer.in_flight {
            let reply_deadline = now + self.timing.heartbeat * REPLY_TIMEOUT_HEARTBEATS;
            in_flight.deadline = in_flight.deadline.min(reply_deadline);
        }
    }

    /// Sends a peer a message without entries, at the end of the leader's log. The reply
    /// contains the last index at which the logs agree, or may agree ([`AppendReply`]).
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

    /// Adds a leader's entries to the log if the log contains the entry before them, and
    /// replies whether it does.
    pub(crate) fn handle_append(
        &mut self,
        now: Moment,
        from: NodeId,
        append: &AppendEntries,
    ) {
        self.become_follower(now, self.hard_state.term, Some(from));
        self.unanswered.clear();
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
        let is_compacted = append.prev < self.log.snapshot().index;
        if !is_compacted && known != Some(append.prev_term) {
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
                        "the leader's append conflicts with a committed entry"
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

    /// Removes the entries from `index` on, durable or not.
    fn truncate_log(&mut self, index: Index) {
        self.log.truncate(index);
        self.ready.append.retain(|entry| entry.index < index);
        let pending = self.ready.truncate.unwrap_or(Index::MAX);
        self.ready.truncate = Some(index.min(pending));
        self.durable_index = self.durable_index.min(index - 1);
    }

    /// Replaces the log up to the index of a snapshot from the leader by the snapshot,
    /// unless entries up to that index are committed already.
    pub(crate) fn handle_install(
        &mut self,
        now: Moment,
        from: NodeId,
        round: u64,
        snapshot: Snapshot,
    ) {
        self.become_follower(now, self.hard_state.term, Some(from));
        self.unanswered.clear();
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
            peer.match_index = peer.match_index.max(reply.index.min(last));
            peer.next_index = peer.next_index.max(peer.match_index + 1);
            let match_index = peer.match_index;
            peer.in_flight = peer
                .in_flight
                .filter(|in_flight| in_flight.last > match_index);
        } else if peer.in_flight.is_none() {
            // A rejection that arrives late must not set the next index to one at which
            // the logs are known to agree.
            peer.next_index = (reply.index + 1).max(peer.match_index + 1);
        }
        let lacks_entries = peer.next_index <= last;
        if lacks_entries {
            self.send_to(from, false);
        }
        self.try_transfer(now, from);
        self.advance_commit();
    }

    /// Advances the commit index to the last index that a majority has made durable, if
    /// its entry is of the current term.
    pub(crate) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let members = self.log.members();
        let mut durable_indices: Vec<Index> = leader
            .peers
            .iter()
            .filter(|peer| members.is_voter(peer.id))
            .map(|peer| peer.match_index)
            .collect();
        if members.is_voter(self.id) {
            durable_indices.push(self.durable_index);
        }
        durable_indices.sort_unstable_by(|a, b| b.cmp(a));
        let Some(majority_index) = durable_indices.get(members.majority() - 1).copied()
        else {
            return;
        };
        let is_current_term = self.log.term(majority_index) == Some(self.hard_state.term);
        if majority_index > self.commit && is_current_term {
            self.commit = majority_index;
        }
    }

    /// Moves reads to [`Ready::reads`] once their round is confirmed and the entry at
    /// their index is committed.
    ///
    /// [`Ready::reads`]: crate::ready::Ready::reads
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

    /// Newest confirmation round to which a majority replied.
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
    /// instance will stop. New commands are rejected during the transfer, which is
    /// abandoned after twice [`Timing::election`].
    ///
    /// [`Timing::election`]: crate::node::Timing::election
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

    /// Requests that the voter `id` start an election, if a transfer is in progress and
    /// the voter has the complete log.
    fn try_transfer(&mut self, now: Moment, id: NodeId) {
        let last = self.log.last();
        let is_voter = self.log.members().is_voter(id);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let has_all =
            |peer: &&crate::node::Peer| peer.id == id && peer.match_index == last;
        let complete = is_voter && leader.peers.iter().any(|peer| has_all(&peer));
        if leader.transfer_until.is_some_and(|until| now < until) && complete {
            // `Moment::ZERO` marks the request as sent, so that no other voter is sent
            // one. The next tick resets it.
            leader.transfer_until = Some(Moment::ZERO);
            let message: Message = self.message(id, self.hard_state.term, Body::TakeOver);
            self.ready.immediate.push(message);
        }
    }
}

/// Newest confirmation round to which each voting peer replied.
fn voter_rounds(leader: &LeaderState, is_voter: impl Fn(NodeId) -> bool) -> Vec<u64> {
    let voters = leader.peers.iter().filter(|peer| is_voter(peer.id));
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
