//! Duties of one holder, seen by the platform that checks their fencing numbers.

use dogwoodhill_control::state::{Duties, DutyHolder, GiveUp, Hold, Holds};
use dogwoodhill_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;

const LEASE: Duration = Duration::from_secs(3);
/// How long a machine that stood still may act on what it believed.
const THAW: Duration = Duration::from_millis(300);
const SUBJECTS: [&str; 2] = ["east", "west"];

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn machine(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 7_000))
}

fn holder(number: usize, run: u64) -> DutyHolder {
    let machine = machine(number);
    DutyHolder { machine, run }
}

fn hold(holder: DutyHolder) -> Hold {
    Hold {
        duty: "usage".to_string(),
        subject: String::new(),
        holder,
        lasting: LEASE,
        refused: 0,
    }
}

fn give_up(holder: DutyHolder) -> GiveUp {
    GiveUp {
        duty: "usage".to_string(),
        subject: String::new(),
        holder,
    }
}

#[test]
fn hold_prolonged_keeps_its_number() {
    let mut duties = Duties::default();
    let a = hold(holder(1, 1));
    assert_eq!(duties.hold(7, ms(0), &a), Holds::Held(7));
    assert_eq!(duties.hold(9, ms(2_000), &a), Holds::Held(7));
    let b = hold(holder(2, 1));
    let other = Holds::Other(ms(1_000));
    assert_eq!(duties.hold(10, ms(4_000), &b), other, "prolonged at 2 s");
    assert_eq!(duties.hold(12, ms(5_000), &b), Holds::Held(12));
}

#[test]
fn hold_after_a_restart_has_another_number() {
    let mut duties = Duties::default();
    duties.hold(7, ms(0), &hold(holder(1, 1)));
    let again = duties.hold(8, ms(100), &hold(holder(1, 2)));
    assert_eq!(again, Holds::Held(8));
    let before = duties.hold(9, ms(200), &hold(holder(1, 1)));
    assert_eq!(before, Holds::Held(9), "never the one it had");
}

#[test]
fn hold_refused_number_is_not_given_again() {
    let mut duties = Duties::default();
    let mut a = hold(holder(1, 1));
    duties.hold(7, ms(0), &a);
    a.refused = 7;
    assert_eq!(duties.hold(9, ms(100), &a), Holds::Held(9));
    assert_eq!(duties.hold(11, ms(200), &a), Holds::Held(9), "7 is past");
}

/// Two machines that are stopped in turn, each giving its lease up.
#[test]
fn give_up_does_not_come_back_within_a_lease() {
    let mut duties = Duties::default();
    let (a, b) = (holder(1, 1), holder(2, 1));
    duties.hold(1, ms(0), &hold(a));
    duties.give_up(ms(500), &give_up(a));
    assert_eq!(duties.hold(3, ms(500), &hold(b)), Holds::Held(3), "at once");
    duties.give_up(ms(1_000), &give_up(b));
    let back = duties.hold(5, ms(1_000), &hold(holder(1, 2)));
    assert_eq!(back, Holds::Other(ms(2_500)), "a lease after it left");
    let third = duties.hold(6, ms(1_100), &hold(holder(3, 1)));
    assert_eq!(third, Holds::Held(6), "others may");
}

#[test]
fn give_up_of_a_former_holder_changes_nothing() {
    let mut duties = Duties::default();
    let (a, b) = (holder(1, 1), holder(2, 1));
    duties.hold(1, ms(0), &hold(a));
    duties.hold(2, LEASE, &hold(b));
    duties.give_up(LEASE, &give_up(a));
    let refused = duties.hold(4, LEASE, &hold(holder(3, 1)));
    assert_eq!(refused, Holds::Other(LEASE));
}

/// A call as the platform carries it out.
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
    /// Number, machine, in order.
    owners: Vec<(Fence, usize)>,
    /// Accepted calls of machines that were in touch: when, by whom.
    acted: Vec<(Duration, usize)>,
}

impl Seen {
    fn carry_out(&mut self, at: Duration, call: Call, in_touch: bool) {
        let owner = self.owners.iter().find(|owner| owner.0 == call.fence);
        match owner {
            Some(owner) => assert_eq!(owner.1, call.machine, "one holder a number"),
            None => self.owners.push((call.fence, call.machine)),
        }
        if call.fence < self.highest {
            return;
        }
        self.highest = call.fence;
        if in_touch {
            self.acted.push((at, call.machine));
            self.check_turns(at);
        }
    }

    /// Nobody acts again within a lease after another has acted since.
    fn check_turns(&mut self, at: Duration) {
        self.acted.retain(|(then, _)| at - *then < LEASE);
        let machines: Vec<usize> = self.acted.iter().map(|acted| acted.1).collect();
        let mut turns = machines.clone();
        turns.dedup();
        let mut sorted = turns.clone();
        sorted.sort_unstable();
        sorted.dedup();
        assert_eq!(turns.len(), sorted.len(), "{machines:?} act in turns");
    }
}

/// A machine that may hold the duties, and what it believes.
#[derive(Clone, Copy, Debug, Default)]
struct Believes {
    run: u64,
    held: [Option<(Fence, Duration)>; SUBJECTS.len()],
    frozen: Duration,
}

/// Machines that take leases, act, freeze, restart, stop and lose what they knew; calls that
/// are carried out late; a log whose place only rises, and a cluster's time that is behind.
#[test]
fn walk_one_holder_as_the_platform_sees_it() {
    const STEPS: usize = 1_000_000;
    const MACHINES: usize = 4;
    let mut random = SmallRng::seed_from_u64(39);
    let mut duties = Duties::default();
    let mut machines = [Believes::default(); MACHINES];
    let mut seen: [Seen; SUBJECTS.len()] = Default::default();
    let mut late: Vec<(Duration, Call)> = Vec::new();
    let (mut now, mut behind, mut index) = (ms(10_000), ms(0), 0);
    for _ in 0..STEPS {
        now += ms(random.random_range(0..120));
        index += random.random_range(1..4);
        if random.random_ratio(1, 500) {
            // A new leader goes on from the last command's time.
            behind += ms(random.random_range(0..400)).min(now - behind);
        }
        let cluster = now - behind;
        while let Some(at) = late.iter().position(|(due, _)| *due <= now) {
            let (_, call) = late.swap_remove(at);
            // Whoever sent it may have lost the lease since: its number decides.
            seen[call.subject].carry_out(now, call, false);
        }
        let number = random.random_range(0..MACHINES);
        let subject = random.random_range(0..SUBJECTS.len());
        let me = &mut machines[number];
        if now < me.frozen {
            continue;
        }
        let mut hold = hold(holder(number, me.run));
        hold.subject = SUBJECTS[subject].to_string();
        hold.lasting = LEASE + THAW;
        match random.random_range(0..100) {
            0..30 => {
                let answer = duties.hold(index, cluster, &hold);
                let lost = random.random_ratio(1, 10);
                if let (Holds::Held(fence), false) = (answer, lost) {
                    me.held[subject] = Some((fence, now + LEASE));
                }
            }
            30..80 => {
                let valid = me.held[subject].filter(|(_, until)| now < *until);
                let Some((fence, _)) = valid else { continue };
                let call = Call {
                    machine: number,
                    fence,
                    subject,
                };
                if random.random_ratio(1, 8) {
                    late.push((now + ms(random.random_range(100..12_000)), call));
                } else {
                    seen[subject].carry_out(now, call, true);
                }
            }
            80..84 => me.frozen = now + ms(random.random_range(100..8_000)),
            84..88 => {
                // Killed, with or without its disk: another run, which knows nothing.
                let run = me.run + 1;
                *me = Believes {
                    run,
                    ..Believes::default()
                };
            }
            88..92 => {
                me.held[subject] = None;
                let mut given = give_up(holder(number, me.run));
                given.subject = SUBJECTS[subject].to_string();
                duties.give_up(cluster, &given);
            }
            _ => {}
        }
    }
    for seen in &seen {
        assert!(seen.owners.len() > 1_000, "{} numbers", seen.owners.len());
    }
}
