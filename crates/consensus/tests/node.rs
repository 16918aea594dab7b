//! Rules of the log that random steps seldom exercise.

use dogwoodhill_consensus::log::{Entry, Payload};
use dogwoodhill_consensus::members::{Member, Members};
use dogwoodhill_consensus::message::{
    AppendEntries, AppendReply, Body, Message, VoteRequest,
};
use dogwoodhill_consensus::node::{DurableState, Node, RequestError, Timing};
use dogwoodhill_consensus::ready::{HardState, Ready};
use dogwoodhill_consensus::{Index, Moment, NodeId, Term};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::net::SocketAddr;

/// A time at which every election timeout has expired.
const LATE: Moment = Moment::from_secs(10);

fn member(id: NodeId) -> Member {
    Member {
        id,
        name: format!("control-{id}"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        voter: true,
        seat: true,
    }
}

fn entry(index: Index, term: Term) -> Entry {
    let payload = match index {
        1 => Payload::Members(Members::new([1, 2, 3].map(member).to_vec())),
        _ => Payload::Command(vec![index as u8]),
    };
    Entry {
        index,
        term,
        payload,
    }
}

fn node(hard_state: HardState, entries: Vec<Entry>) -> Node<SmallRng> {
    let durable = DurableState {
        hard_state,
        entries,
        ..DurableState::default()
    };
    let random = SmallRng::seed_from_u64(7);
    Node::new(1, Timing::default(), durable, Moment::ZERO, random)
}

/// Takes the pending work and reports it as durable.
fn flush(node: &mut Node<SmallRng>) -> Ready {
    let ready = node.take_ready();
    node.synced(ready.durable_index);
    ready
}

fn message(from: NodeId, term: Term, body: Body) -> Message {
    Message {
        from,
        to: 1,
        term,
        body,
    }
}

/// A vote request from a candidate whose log is newer than any other in these tests.
fn vote(from: NodeId, term: Term) -> Message {
    let request = VoteRequest {
        last: 9,
        last_term: 9,
        leader_transfer: false,
    };
    message(from, term, Body::Vote(request))
}

fn granted(ready: &Ready) -> bool {
    let reply = Body::VoteReply { granted: true };
    ready.after_sync.iter().any(|message| message.body == reply)
}

#[test]
fn vote_second_candidate_refused() {
    let mut node = node(HardState::default(), vec![entry(1, 1)]);
    node.receive(LATE, vote(2, 5));
    assert!(granted(&flush(&mut node)));
    node.receive(LATE, vote(3, 5));
    assert!(!granted(&flush(&mut node)));
    node.receive(LATE, vote(2, 5));
    assert!(
        granted(&flush(&mut node)),
        "the same candidate is granted the vote again"
    );
}

#[test]
fn vote_survives_restart() {
    let mut first = node(HardState::default(), vec![entry(1, 1)]);
    first.receive(LATE, vote(2, 5));
    let ready = flush(&mut first);
    let hard_state = ready.hard_state.expect("a vote is made durable");
    let mut restarted = node(hard_state, vec![entry(1, 1)]);
    restarted.receive(LATE, vote(3, 5));
    assert!(!granted(&flush(&mut restarted)));
}

#[test]
fn vote_own_survives_restart() {
    let mut first = node(HardState::default(), vec![entry(1, 1)]);
    let hard_state = start_election(&mut first);
    let mut restarted = node(hard_state, vec![entry(1, 1)]);
    restarted.receive(LATE, vote(3, hard_state.term));
    assert!(!granted(&flush(&mut restarted)));
}

/// Makes the node win its pre-vote and start an election; returns its term and vote.
fn start_election(node: &mut Node<SmallRng>) -> HardState {
    node.tick(LATE);
    flush(node);
    let term = node.term() + 1;
    let body = Body::PreVoteReply { granted: true };
    node.receive(LATE, message(2, term, body));
    flush(node)
        .hard_state
        .expect("a candidate's vote for itself is made durable")
}

fn leader(entries: Vec<Entry>) -> Node<SmallRng> {
    let hard_state = HardState {
        term: 3,
        vote: None,
    };
    let mut node = node(hard_state, entries);
    let term = start_election(&mut node).term;
    node.receive(LATE, message(2, term, Body::VoteReply { granted: true }));
    assert!(node.is_leader());
    flush(&mut node);
    node
}

/// A reply that confirms that both logs agree up to `index`.
fn matched(from: NodeId, term: Term, index: Index) -> Message {
    let reply = AppendReply {
        success: true,
        index,
        round: 0,
    };
    message(from, term, Body::AppendReply(reply))
}

#[test]
fn commit_earlier_term_waits() {
    // Figure 8 of the Raft paper: an entry of an earlier term is not committed just
    // because a majority has it.
    let mut node = leader(vec![entry(1, 1), entry(2, 2)]);
    let term = node.term();
    node.receive(LATE, matched(2, term, 2));
    assert_eq!(node.commit(), 0);
    node.receive(LATE, matched(2, term, 3));
    assert_eq!(node.commit(), 3);
}

#[test]
fn commit_waits_for_own_sync() {
    let mut node = leader(vec![entry(1, 1)]);
    let term = node.term();
    node.receive(LATE, matched(2, term, 2));
    flush(&mut node);
    let index = node.propose(vec![1]).unwrap();
    let ready = node.take_ready();
    node.receive(LATE, matched(2, term, index));
    assert!(node.commit() < index, "own copy is not durable yet");
    node.synced(ready.durable_index);
    assert_eq!(node.commit(), index);
}

#[test]
fn change_second_refused_until_committed() {
    let mut node = leader(vec![entry(1, 1)]);
    let term = node.term();
    assert_eq!(
        node.add_learner(LATE, member(4)),
        Err(RequestError::ChangeInProgress)
    );
    node.receive(LATE, matched(2, term, 2));
    assert_eq!(node.add_learner(LATE, member(4)), Ok(()));
    assert_eq!(
        node.add_learner(LATE, member(5)),
        Err(RequestError::ChangeInProgress)
    );
    assert!(
        !node.members().is_voter(4),
        "a new instance only follows at first"
    );
}

#[test]
fn take_over_by_learner_ignored() {
    let mut node = node(HardState::default(), Vec::new());
    node.receive(LATE, message(2, 1, Body::TakeOver));
    assert!(!node.is_leader());
    assert_eq!(node.term(), 1);
}

/// Number of entries in each message to `to`; `None` if there is no message.
fn sent(ready: &Ready, to: NodeId) -> Option<Vec<usize>> {
    let messages = ready.immediate.iter().filter(|message| message.to == to);
    let sizes = messages.filter_map(|message| match &message.body {
        Body::Append(append) => Some(append.entries.len()),
        _ => None,
    });
    let sizes: Vec<usize> = sizes.collect();
    (!sizes.is_empty()).then_some(sizes)
}

#[test]
fn replicate_silent_peer_gets_probes_only() {
    let mut node = leader(vec![entry(1, 1)]);
    let term = node.term();
    let interval = Timing::default().heartbeat;
    // Instance 2 replies to each heartbeat, instance 3 to none.
    for i in 1..=9 {
        let now = LATE + interval * i;
        node.receive(now, matched(2, term, 2));
        node.tick(now);
        flush(&mut node);
    }
    node.propose(vec![0; 100]).unwrap();
    let ready = flush(&mut node);
    assert_eq!(sent(&ready, 2), Some(vec![1]));
    assert_eq!(
        sent(&ready, 3),
        None,
        "no entries are queued for a silent peer"
    );
    let now = LATE + interval * 10;
    node.receive(now, matched(2, term, 3));
    node.tick(now);
    let ready = flush(&mut node);
    assert_eq!(sent(&ready, 3), Some(vec![0]), "a probe without entries");
    // It replies again: its log ends at 1, and it is sent the missing entries.
    let reply = AppendReply {
        success: false,
        index: 1,
        round: 0,
    };
    node.receive(now, message(3, term, Body::AppendReply(reply)));
    let ready = flush(&mut node);
    assert_eq!(sent(&ready, 3), Some(vec![2]));
}

#[test]
fn replicate_large_entries_in_several_messages() {
    let mut node = leader(vec![entry(1, 1)]);
    let term = node.term();
    node.receive(LATE, matched(2, term, 2));
    flush(&mut node);
    for _ in 0..10 {
        node.propose(vec![0; 100_000]).unwrap();
    }
    let ready = flush(&mut node);
    let sizes = sent(&ready, 2).expect("entries are sent");
    assert!(sizes.iter().all(|size| *size <= 2), "{sizes:?}");
}

#[test]
fn append_commits_only_compared_entries() {
    // The follower's third entry comes from a leader that was replaced. The new leader
    // has committed another third entry, but has sent only the second so far.
    let stale = vec![entry(1, 1), entry(2, 1), entry(3, 1)];
    let mut node = node(HardState::default(), stale);
    let append = AppendEntries {
        prev: 1,
        prev_term: 1,
        entries: vec![entry(2, 1)],
        commit: 3,
        round: 0,
    };
    node.receive(LATE, message(2, 5, Body::Append(append)));
    flush(&mut node);
    assert_eq!(node.commit(), 2);
}

#[test]
fn adjust_members_silent_voter_kept_without_replacement() {
    let mut node = leader(vec![entry(1, 1)]);
    let term = node.term();
    for i in 1..100 {
        let now = LATE + Timing::default().heartbeat * i;
        node.receive(now, matched(2, term, 2));
        node.tick(now);
        flush(&mut node);
    }
    assert!(node.is_leader());
    assert!(
        node.members().is_voter(3),
        "a partition must not shrink the cluster"
    );
}

#[test]
fn promote_never_swaps_voters_in_one_change() {
    let mut node = leader(vec![entry(1, 1)]);
    let term = node.term();
    node.receive(LATE, matched(2, term, 2));
    // Instance 3 lost its disk and rejoined as 4.
    let rejoined = Member {
        name: "control-3".to_string(),
        ..member(4)
    };
    node.add_learner(LATE, rejoined)
        .expect("no other change is in progress");
    flush(&mut node);
    node.receive(LATE, matched(2, term, 3));
    node.receive(LATE, matched(4, term, 3));
    node.tick(LATE);
    flush(&mut node);
    let votes = |node: &Node<SmallRng>, id| node.members().is_voter(id);
    assert!(!votes(&node, 3), "the earlier instance is removed first");
    assert!(!votes(&node, 4), "two majorities must share an instance");
    node.receive(LATE, matched(2, term, 4));
    node.receive(LATE, matched(4, term, 4));
    node.tick(LATE);
    flush(&mut node);
    assert!(votes(&node, 4));
}

/// Guards against a new instance that stays a learner for 20 s, until it is removed and
/// joins again. It knows nobody's address before it has entries, so it can't reply to
/// probes. Where the first entries were late by 0.4 s, it counted as silent and got only
/// probes from then on.
#[test]
fn replicate_new_learner_gets_entries_until_it_replies() {
    let mut node = leader(vec![entry(1, 1)]);
    let term = node.term();
    let interval = Timing::default().heartbeat;
    node.receive(LATE, matched(2, term, 2));
    node.add_learner(LATE, member(4)).unwrap();
    let last = node.log().last();
    flush(&mut node);
    for i in 1..=50 {
        let now = LATE + interval * i;
        node.receive(now, matched(2, term, last));
        node.tick(now);
        let sizes = sent(&flush(&mut node), 4);
        if i > 2 {
            assert_eq!(sizes, Some(vec![last as usize]), "heartbeat {i}");
        }
    }
    let now = LATE + interval * 51;
    node.receive(now, matched(4, term, last));
    node.tick(now);
    let sizes = sent(&flush(&mut node), 4);
    assert_eq!(sizes, Some(vec![0, 1]), "a heartbeat, then its promotion");
}

/// Number of entries in all messages to `to`.
fn entry_count(ready: &Ready, to: NodeId) -> usize {
    sent(ready, to).map_or(0, |sizes| sizes.iter().sum())
}

/// Guards against repeated sends of a large entry. No peer replies while such an entry is
/// in flight; when silence for two heartbeats counted as loss, a leader sent a route set
/// of 516 KB to each of seven instances three times within 0.8 s, two copies in one
/// message of 1,032 KB. That saturated its link of 100 Mbit/s, instances lost contact
/// with the leader, and the next leaders did the same, six in a row: a change took 6.3 s
/// to be acknowledged.
#[test]
fn replicate_large_entry_in_flight_sent_once() {
    let mut node = leader(vec![entry(1, 1)]);
    let term = node.term();
    let interval = Timing::default().heartbeat;
    node.receive(LATE, matched(2, term, 2));
    node.receive(LATE, matched(3, term, 2));
    flush(&mut node);
    let index = node.propose(vec![0; 516_000]).unwrap();
    let mut total = entry_count(&flush(&mut node), 2);
    for i in 1..=8 {
        node.tick(LATE + interval * i);
        total += entry_count(&flush(&mut node), 2);
    }
    let now = LATE + interval * 9;
    node.receive(now, matched(2, term, index));
    node.tick(now);
    total += entry_count(&flush(&mut node), 2);
    assert_eq!(node.commit(), index);
    assert_eq!(total, 1, "copies sent in 0.9 s");
}

/// A leader with a large entry in flight to both other instances, and its index.
fn leader_with_large_entry() -> (Node<SmallRng>, Index) {
    let mut node = leader(vec![entry(1, 1)]);
    let term = node.term();
    node.receive(LATE, matched(2, term, 2));
    node.receive(LATE, matched(3, term, 2));
    flush(&mut node);
    let index = node.propose(vec![0; 516_000]).unwrap();
    assert_eq!(entry_count(&flush(&mut node), 2), 1);
    (node, index)
}

/// Runs the given heartbeat intervals, both peers replying to each heartbeat; returns the
/// number of entries sent to instance 2.
fn run_heartbeats(
    node: &mut Node<SmallRng>,
    intervals: std::ops::RangeInclusive<u32>,
) -> usize {
    let interval = Timing::default().heartbeat;
    let term = node.term();
    let mut total = 0;
    for i in intervals {
        let now = LATE + interval * i;
        // The replies report only the entries before the large one.
        node.receive(now, matched(2, term, 2));
        node.receive(now, matched(3, term, 2));
        node.tick(now);
        total += entry_count(&flush(node), 2);
    }
    total
}

#[test]
fn replicate_large_entry_in_flight_heartbeats_continue() {
    let (mut node, _) = leader_with_large_entry();
    let term = node.term();
    let interval = Timing::default().heartbeat;
    node.receive(LATE + interval, matched(2, term, 2));
    node.tick(LATE + interval);
    let ready = flush(&mut node);
    assert_eq!(sent(&ready, 2), Some(vec![0]), "a heartbeat");
    assert_eq!(run_heartbeats(&mut node, 2..=30), 0, "and no entries");
    assert!(node.is_leader());
}

#[test]
fn replicate_large_entry_undelivered_sent_again() {
    let (mut node, index) = leader_with_large_entry();
    let term = node.term();
    node.report_delivery(LATE, 2, false);
    assert_eq!(run_heartbeats(&mut node, 1..=5), 1, "once");
    node.receive(LATE, matched(2, term, index));
    assert_eq!(node.commit(), index);
}

#[test]
fn replicate_large_entry_delivered_and_lost_sent_again() {
    // The receiver restarted before the entry was durable. It replies to heartbeats, and
    // without the report of the delivery it would get the entry only when that is overdue
    // by its size, after 4.5 s.
    let (mut node, _) = leader_with_large_entry();
    node.report_delivery(LATE, 2, true);
    assert_eq!(
        run_heartbeats(&mut node, 1..=3),
        0,
        "a reply may still arrive"
    );
    assert_eq!(run_heartbeats(&mut node, 4..=5), 1);
}

#[test]
fn replicate_large_entry_overdue_sent_again() {
    // 516 KB at 125 KB/s and four heartbeat intervals are 4.5 s.
    let (mut node, _) = leader_with_large_entry();
    assert_eq!(run_heartbeats(&mut node, 1..=44), 0);
    assert_eq!(run_heartbeats(&mut node, 45..=46), 1);
}

#[test]
fn replicate_large_entry_only_where_logs_agree() {
    // A new leader has no confirmation yet that the other logs agree with its own.
    let mut node = leader(vec![entry(1, 1)]);
    let term = node.term();
    let index = node.propose(vec![0; 516_000]).unwrap();
    assert_eq!(entry_count(&flush(&mut node), 2), 0);
    node.receive(LATE, matched(2, term, index - 1));
    assert_eq!(entry_count(&flush(&mut node), 2), 1);
    let reply = AppendReply {
        success: false,
        index: 1,
        round: 0,
    };
    node.receive(LATE, message(2, term, Body::AppendReply(reply)));
    assert_eq!(
        entry_count(&flush(&mut node), 2),
        0,
        "a late reply to an earlier message"
    );
}

/// An entry with the members 1 to 5; 2 votes without a seat.
fn entry_with_extra_voter() -> Entry {
    let members = (1..=5).map(|id| Member {
        seat: id != 2,
        ..member(id)
    });
    Entry {
        payload: Payload::Members(Members::new(members.collect())),
        ..entry(1, 1)
    }
}

/// Guards against a removal that leaves a majority of instances that do not reply: the
/// change would never be committed, and no other leader could be elected.
#[test]
fn remove_extra_voter_only_with_responsive_majority() {
    let mut node = node(HardState::default(), vec![entry_with_extra_voter()]);
    node.tick(LATE);
    let term = node.term() + 1;
    for granted in [
        Body::PreVoteReply { granted: true },
        Body::VoteReply { granted: true },
    ] {
        for id in [2, 3] {
            flush(&mut node);
            node.receive(LATE, message(id, term, granted.clone()));
        }
    }
    assert!(node.is_leader());
    flush(&mut node);
    // By then 4 and 5 have been silent for too long to count as responsive.
    let late = LATE + Timing::default().election * 2;
    let last = node.log().last();
    for id in [2, 3] {
        node.receive(late, matched(id, term, last));
    }
    node.tick(late);
    flush(&mut node);
    assert!(node.members().is_voter(2), "two of the other four reply");
    node.receive(late, matched(4, term, last));
    node.tick(late);
    assert!(
        node.members().get(2).is_none(),
        "three of the other four reply"
    );
}

/// Guards against a timeout that begins anew with each leader: a seat passed too late
/// for the next loss.
#[test]
fn seat_timeout_continues_from_candidacy() {
    let mut node = node(HardState::default(), vec![entry(1, 1)]);
    start_election(&mut node);
    let term = node.term();
    let elected = LATE + Timing::default().election * 2;
    let granted = Body::VoteReply { granted: true };
    node.receive(elected, message(2, term, granted));
    assert!(node.is_leader());
    flush(&mut node);
    node.receive(elected, matched(2, term, node.log().last()));
    flush(&mut node);
    node.add_learner(
        elected,
        Member {
            seat: false,
            ..member(4)
        },
    )
    .expect("no other change is in progress");
    let mut now = elected;
    while now < LATE + Timing::default().seat_timeout {
        for id in [2, 4] {
            node.receive(now, matched(id, term, node.log().last()));
        }
        node.tick(now);
        flush(&mut node);
        now += Timing::default().heartbeat;
    }
    assert!(node.members().is_voter(3), "not before the timeout");
    for _ in 0..3 {
        for id in [2, 4] {
            node.receive(now, matched(id, term, node.log().last()));
        }
        node.tick(now);
        flush(&mut node);
        now += Timing::default().heartbeat;
    }
    assert!(node.members().get(3).is_none(), "1.5 s after the candidacy");
    assert!(node.members().is_voter(4));
}

/// Guards against an instance that stops with its seat because the leader, elected when
/// it gave up its own leadership, had no reply of the replacement yet.
#[test]
fn release_seat_waits_for_learner_unknown_to_new_leader() {
    let members = (1..=4).map(|id| Member {
        voter: id != 4,
        seat: id != 4,
        ..member(id)
    });
    let first = Entry {
        payload: Payload::Members(Members::new(members.collect())),
        ..entry(1, 1)
    };
    let mut node = leader(vec![first]);
    assert_eq!(node.release_seat(LATE, 3), Ok(true));
    let late = LATE + Timing::default().election * 2;
    assert_eq!(node.release_seat(late, 3), Ok(false), "no learner replies");
}
