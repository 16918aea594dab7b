//! Random steps of a cluster.

use proptest::prelude::*;

/// Point in the processing of a [`Ready`] at which an instance crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashPoint {
    Never,
    BeforeSync,
    AfterSync,
}

/// One event. Numbers select an instance or a message, modulo how many there are.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Time passes, in milliseconds.
    Advance(u16),
    /// Time passes for one instance only, as after a paused process or with a fast clock.
    AdvanceOne(usize, u16),
    Isolate(usize),
    Deliver(usize),
    DeliverAll,
    Drop(usize),
    Repeat(usize),
    Crash(usize, CrashPoint),
    Restart(usize),
    LoseDisk(usize),
    /// An instance fails permanently, and an empty one of another name joins.
    Replace(usize),
    Propose(usize),
    Read(usize),
    Compact(usize),
    BlockLink(usize, usize),
    Heal,
    TransferLeadership(usize),
    Remove(usize, usize),
}

pub(crate) fn step() -> impl Strategy<Value = Step> {
    let crash = prop_oneof![
        Just(CrashPoint::Never),
        Just(CrashPoint::BeforeSync),
        Just(CrashPoint::AfterSync)
    ];
    prop_oneof![
        4 => (20u16..300).prop_map(Step::Advance),
        12 => (any::<usize>(), 100u16..1500).prop_map(|(n, ms)| Step::AdvanceOne(n, ms)),
        40 => any::<usize>().prop_map(Step::Deliver),
        3 => Just(Step::DeliverAll),
        6 => any::<usize>().prop_map(Step::Drop),
        4 => any::<usize>().prop_map(Step::Repeat),
        4 => (any::<usize>(), crash).prop_map(|(n, at)| Step::Crash(n, at)),
        6 => any::<usize>().prop_map(Step::Restart),
        1 => any::<usize>().prop_map(Step::Isolate),
        1 => any::<usize>().prop_map(Step::LoseDisk),
        1 => any::<usize>().prop_map(Step::Replace),
        10 => any::<usize>().prop_map(Step::Propose),
        2 => any::<usize>().prop_map(Step::Read),
        1 => any::<usize>().prop_map(Step::Compact),
        1 => any::<(usize, usize)>().prop_map(|(a, b)| Step::BlockLink(a, b)),
        2 => Just(Step::Heal),
        1 => any::<usize>().prop_map(Step::TransferLeadership),
        1 => any::<(usize, usize)>().prop_map(|(a, b)| Step::Remove(a, b)),
    ]
}
