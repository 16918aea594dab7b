//! Holders of a duty by their own clocks, before a platform that does not check fencing
//! numbers.

use dogwoodhill_control::state::{Duties, DutyHolder, Hold, Holds};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::usage::{DutyLease, LeaseRequest};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;

const LEASE: Duration = ms(3_000);
/// Time beyond a lease in which what its holder began is over.
const SLACK: Duration = ms(800);
const MACHINES: usize = 3;
const STEPS: usize = 1_000_000;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// One machine, and what it has under way.
struct Machine {
    holder: DutyHolder,
    tenure: DutyLease,
    /// Until when it stands still.
    still: Duration,
    /// A question to the log: when it was asked, when the log takes it, when the answer is here.
    asking: Option<(LeaseRequest, Duration, Duration)>,
    answer: Option<Holds>,
    /// A call that was begun, and when the platform carries it out.
    call: Option<Duration>,
}

impl Machine {
    fn new(number: usize) -> Self {
        let machine = SocketAddr::from(([10, 0, 0, number as u8], 7_000));
        Self {
            holder: DutyHolder { machine, run: 1 },
            tenure: DutyLease::new(ms(0), LEASE, SLACK),
            still: ms(0),
            asking: None,
            answer: None,
            call: None,
        }
    }

    /// The log takes its question, whether it stands still or not.
    fn logged(&mut self, index: Revision, now: Duration, duties: &mut Duties) {
        let Some((question, taken, _)) = self.asking else {
            return;
        };
        if self.answer.is_none() && taken <= now {
            let hold = Hold {
                duty: "usage".to_string(),
                subject: String::new(),
                holder: self.holder,
                lasting: question.duration,
                refused: question.refused,
            };
            self.answer = Some(duties.hold(index, now, &hold));
        }
    }

    /// Does what it does when its tasks run.
    fn turn(&mut self, now: Duration, random: &mut SmallRng) {
        if let (Some((question, _, here)), Some(answer)) = (self.asking, self.answer)
            && here <= now
        {
            match answer {
                Holds::Held(fence) => {
                    self.tenure.granted(question, fence);
                }
                Holds::Other(left) => {
                    self.tenure.held_by_other(now, left);
                }
            }
            self.asking = None;
            self.answer = None;
        }
        let acts = self.tenure.active_fence(now).is_some();
        if acts && self.call.is_none() && random.random_ratio(1, 4) {
            // It is on its way for a while, or its machine stands still before it goes out.
            self.call = Some(now + ms(random.random_range(0..SLACK.as_millis() as u64)));
        }
        let asks = self.asking.is_none() && self.tenure.may_request(now);
        if asks && random.random_ratio(1, 40) {
            let mut late = || {
                let longest = if random.random_ratio(1, 10) {
                    9_000
                } else {
                    60
                };
                ms(random.random_range(1..longest))
            };
            let taken = now + late();
            let here = taken + late();
            self.asking = Some((self.tenure.request(now), taken, here));
        }
    }
}

/// Guards against two machines that act on one duty at once, or in turns within a lease, where
/// nobody checks fencing numbers: machines that stand still before, between and during calls,
/// a log that takes and answers questions late, calls that are carried out late.
#[test]
fn acts_of_one_machine_at_a_time_without_fencing() {
    let mut random = SmallRng::seed_from_u64(44);
    let mut duties = Duties::default();
    let mut machines: Vec<Machine> = (0..MACHINES).map(Machine::new).collect();
    // Who acted last, and when each acted for the last time.
    let mut last: Option<usize> = None;
    let mut acted = [None; MACHINES];
    let (mut acts, mut moves) = (0, 0);
    let mut now = ms(1);
    for step in 0..STEPS {
        now += ms(random.random_range(0..20));
        let at = random.random_range(0..MACHINES);
        let machine = &mut machines[at];
        machine.logged(step as Revision + 1, now, &mut duties);
        if machine.call.is_some_and(|call| call <= now) {
            machine.call = None;
            acts += 1;
            if last.is_some_and(|last| last != at) {
                moves += 1;
                let before: Option<Duration> = acted[at];
                let away = before.map(|before| now - before);
                assert!(
                    away.is_none_or(|away| away >= LEASE),
                    "step {step}: machine {at} acts again after {away:?}"
                );
            }
            last = Some(at);
            acted[at] = Some(now);
        }
        if now < machine.still {
            continue;
        }
        if random.random_ratio(1, 3_000) {
            machine.still =
                now + ms(random.random_range(0..3 * LEASE.as_millis() as u64));
            continue;
        }
        machine.turn(now, &mut random);
    }
    assert!(acts > 10_000 && moves > 100, "{acts} acts, {moves} moves");
}

/// Its machine stood still: what it has not heard yet is not lost.
#[test]
fn closes_nothing_right_after_standing_still() {
    let mut tenure = DutyLease::new(ms(0), LEASE, SLACK);
    tenure.begin_turn(ms(200));
    tenure.end_turn(ms(210));
    assert!(tenure.may_close(ms(300)));
    tenure.begin_turn(ms(5_000));
    assert!(!tenure.may_close(ms(5_000)));
    tenure.end_turn(ms(5_010));
    tenure.begin_turn(ms(5_200));
    assert!(!tenure.may_close(ms(5_200)));
    assert!(tenure.may_close(ms(7_000)));
}

#[test]
fn may_act_from_when_it_was_asked() {
    let mut tenure = DutyLease::new(ms(0), LEASE, SLACK);
    assert_eq!(tenure.active_fence(ms(0)), None);
    assert!(tenure.granted(tenure.request(ms(1_000)), 7));
    assert_eq!(tenure.active_fence(ms(3_999)), Some(7));
    assert_eq!(
        tenure.active_fence(ms(4_000)),
        None,
        "the end is not part of it"
    );
    assert!(!tenure.granted(tenure.request(ms(3_000)), 7), "prolonged");
    assert_eq!(tenure.active_fence(ms(5_000)), Some(7));
    tenure.fence_refused(7);
    assert_eq!(tenure.active_fence(ms(5_000)), None);
    assert_eq!(tenure.request(ms(5_000)).refused, 7);
}

#[test]
fn may_ask_once_the_other_is_over() {
    let mut tenure = DutyLease::new(ms(0), LEASE, SLACK);
    tenure.granted(tenure.request(ms(0)), 7);
    assert!(tenure.held_by_other(ms(1_000), ms(500)));
    assert!(!tenure.may_request(ms(1_400)));
    assert!(tenure.may_request(ms(1_500)));
    tenure.stand_down(ms(2_000));
    assert!(tenure.is_standing_down(ms(2_000)));
    assert!(!tenure.is_standing_down(ms(12_000)));
}
