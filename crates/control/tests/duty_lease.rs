//! Holders of a duty, each with its own clock, that call a platform which does not check
//! fencing tokens.

use dogwoodhill_control::state::{AcquireDuty, AcquireOutcome, Duties, DutyHolder};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::usage::{DutyLease, LeaseRequest};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;

const LEASE: Duration = ms(3_000);
/// Time after a lease within which all actions of its holder have ended.
const SLACK: Duration = ms(800);
const MACHINES: usize = 3;
const STEPS: usize = 1_000_000;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A machine and its pending actions.
struct Machine {
    holder: DutyHolder,
    lease: DutyLease,
    /// Until when the machine is suspended.
    suspended_until: Duration,
    /// A pending request to the log: when the log applies it, and when the reply arrives.
    pending: Option<(LeaseRequest, Duration, Duration)>,
    reply: Option<AcquireOutcome>,
    /// When the platform processes the pending call.
    call: Option<Duration>,
}

impl Machine {
    fn new(number: usize) -> Self {
        let machine = SocketAddr::from(([10, 0, 0, number as u8], 7_000));
        Self {
            holder: DutyHolder { machine, run: 1 },
            lease: DutyLease::new(ms(0), LEASE, SLACK),
            suspended_until: ms(0),
            pending: None,
            reply: None,
            call: None,
        }
    }

    /// The log applies the machine's request, even while the machine is suspended.
    fn apply_in_log(&mut self, index: Revision, now: Duration, duties: &mut Duties) {
        let Some((request, applied_at, _)) = self.pending else {
            return;
        };
        if self.reply.is_none() && applied_at <= now {
            let request = AcquireDuty {
                duty: "usage".to_string(),
                subject: String::new(),
                holder: self.holder,
                duration: request.duration,
                refused_fence: request.refused,
            };
            self.reply = Some(duties.acquire(index, now, &request));
        }
    }

    /// Runs the machine's tasks once.
    fn run(&mut self, now: Duration, random: &mut SmallRng) {
        if let (Some((request, _, received_at)), Some(reply)) = (self.pending, self.reply)
            && received_at <= now
        {
            match reply {
                AcquireOutcome::Held(fence) => {
                    self.lease.granted(request, fence);
                }
                AcquireOutcome::Other(left) => {
                    self.lease.held_by_other(now, left);
                }
            }
            self.pending = None;
            self.reply = None;
        }
        let acts = self.lease.active_fence(now).is_some();
        if acts && self.call.is_none() && random.random_ratio(1, 4) {
            // The call is in transit, or its machine is suspended before sending it.
            self.call = Some(now + ms(random.random_range(0..SLACK.as_millis() as u64)));
        }
        let requests = self.pending.is_none() && self.lease.may_request(now);
        if requests && random.random_ratio(1, 40) {
            let mut delay = || {
                let longest = if random.random_ratio(1, 10) {
                    9_000
                } else {
                    60
                };
                ms(random.random_range(1..longest))
            };
            let applied_at = now + delay();
            let received_at = applied_at + delay();
            self.pending = Some((self.lease.request(now), applied_at, received_at));
        }
    }
}

/// Guards against two machines that act on one duty at the same time, or alternate within
/// one lease, where fencing tokens are not checked. Machines are suspended before,
/// between and during calls, the log applies and answers requests late, and calls are
/// processed late.
#[test]
fn active_fence_on_one_machine_at_a_time() {
    let mut random = SmallRng::seed_from_u64(44);
    let mut duties = Duties::default();
    let mut machines: Vec<Machine> = (0..MACHINES).map(Machine::new).collect();
    // The machine that acted last, and the last action of each.
    let mut last: Option<usize> = None;
    let mut last_act = [None; MACHINES];
    let (mut acts, mut moves) = (0, 0);
    let mut now = ms(1);
    for step in 0..STEPS {
        now += ms(random.random_range(0..20));
        let at = random.random_range(0..MACHINES);
        let machine = &mut machines[at];
        machine.apply_in_log(step as Revision + 1, now, &mut duties);
        if machine.call.is_some_and(|call| call <= now) {
            machine.call = None;
            acts += 1;
            if last.is_some_and(|last| last != at) {
                moves += 1;
                let before: Option<Duration> = last_act[at];
                let since = before.map(|before| now - before);
                assert!(
                    since.is_none_or(|since| since >= LEASE),
                    "step {step}: machine {at} acts again after {since:?}"
                );
            }
            last = Some(at);
            last_act[at] = Some(now);
        }
        if now < machine.suspended_until {
            continue;
        }
        if random.random_ratio(1, 3_000) {
            machine.suspended_until =
                now + ms(random.random_range(0..3 * LEASE.as_millis() as u64));
            continue;
        }
        machine.run(now, &mut random);
    }
    assert!(acts > 10_000 && moves > 100, "{acts} acts, {moves} moves");
}

/// After a suspension, reports that have not arrived yet are not lost.
#[test]
fn may_close_not_after_suspension() {
    let mut lease = DutyLease::new(ms(0), LEASE, SLACK);
    lease.begin_turn(ms(200));
    lease.end_turn(ms(210));
    assert!(lease.may_close(ms(300)));
    lease.begin_turn(ms(5_000));
    assert!(!lease.may_close(ms(5_000)));
    lease.end_turn(ms(5_010));
    lease.begin_turn(ms(5_200));
    assert!(!lease.may_close(ms(5_200)));
    assert!(lease.may_close(ms(7_000)));
}

#[test]
fn active_fence_from_time_of_request() {
    let mut lease = DutyLease::new(ms(0), LEASE, SLACK);
    assert_eq!(lease.active_fence(ms(0)), None);
    assert!(lease.granted(lease.request(ms(1_000)), 7));
    assert_eq!(lease.active_fence(ms(3_999)), Some(7));
    assert_eq!(lease.active_fence(ms(4_000)), None, "the end is exclusive");
    assert!(!lease.granted(lease.request(ms(3_000)), 7), "renewed");
    assert_eq!(lease.active_fence(ms(5_000)), Some(7));
    lease.fence_refused(7);
    assert_eq!(lease.active_fence(ms(5_000)), None);
    assert_eq!(lease.request(ms(5_000)).refused, 7);
}

#[test]
fn may_request_after_other_lease_expires() {
    let mut lease = DutyLease::new(ms(0), LEASE, SLACK);
    lease.granted(lease.request(ms(0)), 7);
    assert!(lease.held_by_other(ms(1_000), ms(500)));
    assert!(!lease.may_request(ms(1_400)));
    assert!(lease.may_request(ms(1_500)));
    lease.stand_down(ms(2_000));
    assert!(lease.is_standing_down(ms(2_000)));
    assert!(!lease.is_standing_down(ms(12_000)));
}
