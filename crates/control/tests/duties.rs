//! Duty leases as seen by a platform that checks fencing tokens.

use dogwoodhill_control::state::{
    AcquireDuty, AcquireOutcome, Duties, DutyHolder, ReleaseDuty,
};
use dogwoodhill_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;

const LEASE: Duration = Duration::from_secs(3);
/// How long a machine that was suspended may act on an expired lease.
const GRACE: Duration = Duration::from_millis(300);
const SUBJECTS: [&str; 2] = ["east", "west"];

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn machine_address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 7_000))
}

fn holder(number: usize, run: u64) -> DutyHolder {
    let machine = machine_address(number);
    DutyHolder { machine, run }
}

fn acquire(holder: DutyHolder) -> AcquireDuty {
    AcquireDuty {
        duty: "usage".to_string(),
        subject: String::new(),
        holder,
        duration: LEASE,
        refused_fence: 0,
    }
}

fn release(holder: DutyHolder) -> ReleaseDuty {
    ReleaseDuty {
        duty: "usage".to_string(),
        subject: String::new(),
        holder,
    }
}

#[test]
fn acquire_renewal_keeps_the_fence() {
    let mut duties = Duties::default();
    let a = acquire(holder(1, 1));
    assert_eq!(duties.acquire(7, ms(0), &a), AcquireOutcome::Held(7));
    assert_eq!(duties.acquire(9, ms(2_000), &a), AcquireOutcome::Held(7));
    let b = acquire(holder(2, 1));
    let other = AcquireOutcome::Other(ms(1_000));
    assert_eq!(duties.acquire(10, ms(4_000), &b), other, "renewed at 2 s");
    assert_eq!(duties.acquire(12, ms(5_000), &b), AcquireOutcome::Held(12));
}

#[test]
fn acquire_after_restart_has_a_new_fence() {
    let mut duties = Duties::default();
    duties.acquire(7, ms(0), &acquire(holder(1, 1)));
    let again = duties.acquire(8, ms(100), &acquire(holder(1, 2)));
    assert_eq!(again, AcquireOutcome::Held(8));
    let before = duties.acquire(9, ms(200), &acquire(holder(1, 1)));
    assert_eq!(before, AcquireOutcome::Held(9), "not its previous fence");
}

#[test]
fn acquire_after_rejected_fence_has_a_new_one() {
    let mut duties = Duties::default();
    let mut a = acquire(holder(1, 1));
    duties.acquire(7, ms(0), &a);
    a.refused_fence = 7;
    assert_eq!(duties.acquire(9, ms(100), &a), AcquireOutcome::Held(9));
    assert_eq!(
        duties.acquire(11, ms(200), &a),
        AcquireOutcome::Held(9),
        "7 is stale"
    );
}

/// Two machines that are stopped in turn, each of which releases its lease.
#[test]
fn release_bars_the_machine_for_one_lease() {
    let mut duties = Duties::default();
    let (a, b) = (holder(1, 1), holder(2, 1));
    duties.acquire(1, ms(0), &acquire(a));
    duties.release(ms(500), &release(a));
    assert_eq!(
        duties.acquire(3, ms(500), &acquire(b)),
        AcquireOutcome::Held(3),
        "immediately"
    );
    duties.release(ms(1_000), &release(b));
    let back = duties.acquire(5, ms(1_000), &acquire(holder(1, 2)));
    assert_eq!(
        back,
        AcquireOutcome::Other(ms(2_500)),
        "one lease after it lost the duty"
    );
    let third = duties.acquire(6, ms(1_100), &acquire(holder(3, 1)));
    assert_eq!(third, AcquireOutcome::Held(6), "others may");
}

#[test]
fn release_by_past_holder_is_ignored() {
    let mut duties = Duties::default();
    let (a, b) = (holder(1, 1), holder(2, 1));
    duties.acquire(1, ms(0), &acquire(a));
    duties.acquire(2, LEASE, &acquire(b));
    duties.release(LEASE, &release(a));
    let refused = duties.acquire(4, LEASE, &acquire(holder(3, 1)));
    assert_eq!(refused, AcquireOutcome::Other(LEASE));
}

/// A call as processed by the platform.
#[derive(Clone, Copy, Debug)]
struct Call {
    machine: usize,
    fence: Fence,
    subject: usize,
}

/// What the platform has seen of one subject.
#[derive(Debug, Default)]
struct Seen {
    highest: Fence,
    /// Fencing token and machine, in order.
    holders: Vec<(Fence, usize)>,
    /// Accepted calls that were not delayed: time and machine.
    actions: Vec<(Duration, usize)>,
}

impl Seen {
    fn process(&mut self, at: Duration, call: Call, in_time: bool) {
        let owner = self.holders.iter().find(|owner| owner.0 == call.fence);
        match owner {
            Some(owner) => assert_eq!(owner.1, call.machine, "one holder per fence"),
            None => self.holders.push((call.fence, call.machine)),
        }
        if call.fence < self.highest {
            return;
        }
        self.highest = call.fence;
        if in_time {
            self.actions.push((at, call.machine));
            self.check_alternation(at);
        }
    }

    /// No machine acts again within one lease after another machine has acted.
    fn check_alternation(&mut self, at: Duration) {
        self.actions.retain(|(then, _)| at - *then < LEASE);
        let machines: Vec<usize> = self.actions.iter().map(|action| action.1).collect();
        let mut turns = machines.clone();
        turns.dedup();
        let mut sorted = turns.clone();
        sorted.sort_unstable();
        sorted.dedup();
        assert_eq!(turns.len(), sorted.len(), "{machines:?} alternate");
    }
}

/// Local state of a machine.
#[derive(Clone, Copy, Debug, Default)]
struct Machine {
    run: u64,
    held: [Option<(Fence, Duration)>; SUBJECTS.len()],
    suspended_until: Duration,
}

/// Random walk over machines that acquire leases, act, are suspended, restart, stop and
/// lose their state, with calls that are processed late, a log index that only increases
/// and a cluster time that lags behind real time.
#[test]
fn random_walk_has_one_holder_per_fence() {
    const STEPS: usize = 1_000_000;
    const MACHINES: usize = 4;
    let mut random = SmallRng::seed_from_u64(39);
    let mut duties = Duties::default();
    let mut machines = [Machine::default(); MACHINES];
    let mut seen: [Seen; SUBJECTS.len()] = Default::default();
    let mut delayed: Vec<(Duration, Call)> = Vec::new();
    let (mut now, mut lag, mut index) = (ms(10_000), ms(0), 0);
    for _ in 0..STEPS {
        now += ms(random.random_range(0..120));
        index += random.random_range(1..4);
        if random.random_ratio(1, 500) {
            // A new leader continues from the time of the last command.
            lag += ms(random.random_range(0..400)).min(now - lag);
        }
        let cluster = now - lag;
        while let Some(at) = delayed.iter().position(|(due, _)| *due <= now) {
            let (_, call) = delayed.swap_remove(at);
            // The sender may have lost the lease since; its token decides.
            seen[call.subject].process(now, call, false);
        }
        let number = random.random_range(0..MACHINES);
        let subject = random.random_range(0..SUBJECTS.len());
        let local = &mut machines[number];
        if now < local.suspended_until {
            continue;
        }
        let mut request = acquire(holder(number, local.run));
        request.subject = SUBJECTS[subject].to_string();
        request.duration = LEASE + GRACE;
        match random.random_range(0..100) {
            0..30 => {
                let outcome = duties.acquire(index, cluster, &request);
                let lost = random.random_ratio(1, 10);
                if let (AcquireOutcome::Held(fence), false) = (outcome, lost) {
                    local.held[subject] = Some((fence, now + LEASE));
                }
            }
            30..80 => {
                let valid = local.held[subject].filter(|(_, until)| now < *until);
                let Some((fence, _)) = valid else { continue };
                let call = Call {
                    machine: number,
                    fence,
                    subject,
                };
                if random.random_ratio(1, 8) {
                    delayed.push((now + ms(random.random_range(100..12_000)), call));
                } else {
                    seen[subject].process(now, call, true);
                }
            }
            80..84 => local.suspended_until = now + ms(random.random_range(100..8_000)),
            84..88 => {
                // Killed, with or without its disk: the next run starts without state.
                let run = local.run + 1;
                *local = Machine {
                    run,
                    ..Machine::default()
                };
            }
            88..92 => {
                local.held[subject] = None;
                let mut request = release(holder(number, local.run));
                request.subject = SUBJECTS[subject].to_string();
                duties.release(cluster, &request);
            }
            _ => {}
        }
    }
    for seen in &seen {
        assert!(seen.holders.len() > 1_000, "{} fences", seen.holders.len());
    }
}
