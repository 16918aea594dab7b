//! The replicated state: documents, claims, leases and quarantined requests.

use dogwoodhill_control::command::{Action, Command, Put, PutError, Reply};
use dogwoodhill_control::state::{Quarantined, State};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::quarantine::quarantine_period;
use dogwoodhill_wire::control::{
    Acquire, ClaimEnd, ClaimKey, ClaimReply, FinishClaim, LeaseReply, RecordedResponse,
    TakeClaim,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SECOND: Duration = Duration::from_secs(1);

struct Cluster {
    state: State,
    index: u64,
    now: Duration,
}

impl Cluster {
    fn new() -> Self {
        Self {
            state: State::default(),
            index: 0,
            now: Duration::ZERO,
        }
    }

    fn apply(&mut self, action: Action) -> Reply {
        self.index += 1;
        let command = Command {
            now: self.now,
            wall_ms: 0,
            action,
        };
        self.state.apply(self.index, &command)
    }

    fn put(&mut self, team: &str, version: u64, domain: &str) -> Reply {
        let text = document(version, domain);
        let document = ServiceDocument::parse("test", &text).unwrap();
        self.apply(Action::Put(Put {
            team: team.to_string(),
            text,
            document,
        }))
    }

    fn take(&mut self, key: &str, digest: u8, holder: u128) -> ClaimReply {
        let take = TakeClaim {
            claim: claim(key),
            digest: [digest; 32],
            holder,
            duration: 10 * SECOND,
            retention: 100 * SECOND,
        };
        match self.apply(Action::Take(take)) {
            Reply::Taken(taken) => taken,
            other => panic!("{other:?}"),
        }
    }

    fn finish(&mut self, key: &str, holder: u128, ended: ClaimEnd) {
        let claim = claim(key);
        self.apply(Action::Finish(FinishClaim {
            claim,
            holder,
            ended,
        }));
    }

    fn acquire(&mut self, holder: u128, duration: Duration) -> LeaseReply {
        let acquire = Acquire {
            service: "svc".to_string(),
            endpoint: "e".to_string(),
            holder,
            duration,
        };
        match self.apply(Action::Acquire(acquire)) {
            Reply::Lease(lease) => lease,
            other => panic!("{other:?}"),
        }
    }
}

fn claim(key: &str) -> ClaimKey {
    ClaimKey {
        service: "svc".to_string(),
        workspace: "w".to_string(),
        key: key.to_string(),
    }
}

fn document(version: u64, domain: &str) -> String {
    format!(
        r#"{{ "service": "svc", "version": {version}, "owner": "team", "kind": "plain",
        "workspaces": [ {{ "name": "w" }} ],
        "classes": [ {{ "name": "c", "priority": 0, "target": {{ "finish": "1s" }} }} ],
        "endpoints": [ {{ "name": "e", "agent": "127.0.0.1:1",
          "address": "127.0.0.1:2", "domain": "{domain}" }} ] }}"#
    )
}

fn recorded() -> ClaimEnd {
    ClaimEnd::Ran(RecordedResponse {
        status: 200,
        headers: Vec::new(),
        body: None,
    })
}

#[test]
fn put_resend_repeats_the_reply_after_later_versions() {
    let mut cluster = Cluster::new();
    let first = cluster.put("team", 1, "a");
    assert!(matches!(first, Reply::Put(Ok(_))));
    cluster.put("team", 2, "b");
    cluster.put("team", 3, "c");
    assert_eq!(cluster.put("team", 1, "a"), first);
    let now = cluster.state.documents.service("svc").unwrap();
    assert_eq!(now.document.version, 3, "the newest version stays");
}

#[test]
fn put_race_loser_gets_the_winner() {
    let mut cluster = Cluster::new();
    cluster.put("team", 1, "a");
    let raced = cluster.put("team", 1, "b");
    let Reply::Put(Err(PutError::Conflict { won, next })) = raced else {
        panic!("{raced:?}");
    };
    assert_eq!((won.team.as_str(), won.revision, next), ("team", 1, 2));
}

#[test]
fn put_by_other_team_refused() {
    let mut cluster = Cluster::new();
    cluster.put("team", 1, "a");
    let refused = cluster.put("intruder", 2, "a");
    assert!(matches!(refused, Reply::Put(Err(PutError::Owner { .. }))));
}

#[test]
fn take_by_second_holder_gets_the_outcome() {
    let mut cluster = Cluster::new();
    assert_eq!(cluster.take("k", 1, 1), ClaimReply::Granted);
    assert_eq!(cluster.take("k", 1, 2), ClaimReply::InProgress);
    assert_eq!(cluster.take("k", 2, 2), ClaimReply::Reused);
    assert_eq!(
        cluster.take("k", 1, 1),
        ClaimReply::Granted,
        "repeated by the holder"
    );
    cluster.finish("k", 1, recorded());
    assert_eq!(cluster.take("k", 1, 2), ClaimReply::Ended(recorded()));
    assert_eq!(cluster.take("k", 1, 1), ClaimReply::Ended(recorded()));
}

#[test]
fn take_after_not_run_granted_again() {
    let mut cluster = Cluster::new();
    cluster.take("k", 1, 1);
    cluster.finish("k", 1, ClaimEnd::NotRun);
    assert_eq!(cluster.take("k", 1, 2), ClaimReply::Granted);
}

#[test]
fn take_unreported_is_unknown_then_expires() {
    let mut cluster = Cluster::new();
    cluster.take("k", 1, 1);
    cluster.now = 11 * SECOND;
    assert_eq!(
        cluster.take("k", 1, 2),
        ClaimReply::Ended(ClaimEnd::Unknown)
    );
    assert_eq!(
        cluster.take("k", 1, 1),
        ClaimReply::Ended(ClaimEnd::Unknown)
    );
    cluster.now = 111 * SECOND;
    assert_eq!(
        cluster.take("k", 1, 2),
        ClaimReply::Granted,
        "after its retention"
    );
}

#[test]
fn finish_by_other_holder_ignored() {
    let mut cluster = Cluster::new();
    cluster.take("k", 1, 1);
    cluster.finish("k", 9, ClaimEnd::NotRun);
    assert_eq!(cluster.take("k", 1, 2), ClaimReply::InProgress);
}

#[test]
fn acquire_fences_only_increase() {
    let mut cluster = Cluster::new();
    assert_eq!(cluster.acquire(1, 20 * SECOND), LeaseReply::Held(1));
    cluster.now = 5 * SECOND;
    assert_eq!(
        cluster.acquire(1, 20 * SECOND),
        LeaseReply::Held(1),
        "renewed"
    );
    assert_eq!(
        cluster.acquire(2, 20 * SECOND),
        LeaseReply::Other(20 * SECOND)
    );
    cluster.now = 25 * SECOND;
    assert_eq!(cluster.acquire(2, 20 * SECOND), LeaseReply::Held(2));
    assert_eq!(
        cluster.acquire(1, 20 * SECOND),
        LeaseReply::Other(20 * SECOND)
    );
    cluster.acquire(2, Duration::ZERO);
    assert_eq!(
        cluster.acquire(1, 20 * SECOND),
        LeaseReply::Held(3),
        "released"
    );
}

#[test]
fn time_never_decreases() {
    let mut cluster = Cluster::new();
    cluster.now = 50 * SECOND;
    cluster.acquire(1, 20 * SECOND);
    cluster.now = Duration::ZERO;
    assert_eq!(cluster.acquire(2, SECOND), LeaseReply::Other(20 * SECOND));
    assert_eq!(cluster.state.now, 50 * SECOND);
}

/// A quarantine lasts for a period of cluster time, and its command may be applied twice.
#[test]
fn quarantine_expires() {
    let mut cluster = Cluster::new();
    let quarantined = |times| Quarantined {
        request: 7,
        workspace: 1,
        times,
    };
    let mut put = |seconds: u64, times| {
        cluster.now = seconds as u32 * SECOND;
        let reply = cluster.apply(Action::Quarantine(quarantined(times)));
        assert_eq!(reply, Reply::Quarantined);
        cluster.state.quarantined()
    };
    assert_eq!(put(100, 1), [(quarantined(1), quarantine_period(1))]);
    assert_eq!(
        put(101, 1),
        [(quarantined(1), quarantine_period(1) - SECOND)],
        "applied twice"
    );
    assert_eq!(
        put(700, 2),
        [(quarantined(2), quarantine_period(2))],
        "quarantined again"
    );
    assert_eq!(
        put(701, 1),
        [(quarantined(2), quarantine_period(2) - SECOND)],
        "an older command"
    );
    let other = Quarantined {
        request: 8,
        ..quarantined(1)
    };
    cluster.now += quarantine_period(2);
    cluster.apply(Action::Quarantine(other));
    assert_eq!(
        cluster.state.quarantined(),
        [(other, quarantine_period(1))],
        "expired"
    );
}

#[test]
fn quarantine_of_thousands_bounded() {
    let mut cluster = Cluster::new();
    for request in 0..3_000 {
        cluster.apply(Action::Quarantine(Quarantined {
            request,
            workspace: 1,
            times: 1,
        }));
    }
    let quarantined = cluster.state.quarantined();
    assert_eq!(quarantined.len(), 1_024);
    assert_eq!(quarantined.last().expect("the newest").0.request, 2_999);
}

/// For any sequence of commands, including resends, a key is granted to at most one
/// holder unless that holder reports that the request did not run.
#[test]
fn claim_granted_once() {
    let step = (0u8..3, 1u128..5, 0u8..4, 0u64..4);
    let steps = proptest::collection::vec(step, 1..200);
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[21; 32]);
    let result = TestRunner::new_with_rng(config, random).run(&steps, |steps| {
        let mut cluster = Cluster::new();
        let mut granted: [Option<u128>; 3] = [None; 3];
        for (key, holder, what, seconds) in steps {
            cluster.now += Duration::from_secs(seconds);
            if cluster.now > 90 * SECOND {
                break;
            }
            let name = key.to_string();
            let current_holder = &mut granted[usize::from(key)];
            match what {
                0 => {
                    cluster.finish(&name, holder, ClaimEnd::NotRun);
                    if *current_holder == Some(holder)
                        && !is_finished(&mut cluster, &name)
                    {
                        *current_holder = None;
                    }
                }
                1 => cluster.finish(&name, holder, recorded()),
                _ => {
                    if cluster.take(&name, 1, holder) == ClaimReply::Granted {
                        prop_assert!(
                            current_holder.is_none() || *current_holder == Some(holder)
                        );
                        *current_holder = Some(holder);
                    }
                }
            }
        }
        Ok(())
    });
    result.unwrap();
}

/// Whether an outcome is recorded for a key, determined by a claim of another holder.
fn is_finished(cluster: &mut Cluster, key: &str) -> bool {
    const OTHER_HOLDER: u128 = 99;
    match cluster.take(key, 1, OTHER_HOLDER) {
        ClaimReply::Ended(_) => true,
        ClaimReply::Granted => {
            cluster.finish(key, OTHER_HOLDER, ClaimEnd::NotRun);
            false
        }
        _ => true,
    }
}
