//! Places at endpoints with few slots, shared among many entries.
//!
//! Where an entry has less than one slot of each endpoint on average, it cannot tell
//! which endpoint has room: endpoints reject requests while slots of others are free, and
//! a request that may be sent once or twice is refused although it could have waited some
//! milliseconds. A *place* allows an entry one request in flight at one endpoint. One
//! control instance lends the places of a service ([`Lender`]), each entry counts its
//! requests against those it holds ([`Places`]), and requests that find none wait in the
//! entry ([`WaitQueue`]).
//!
//! Invariants:
//!
//! * The unexpired loans of one instance at an endpoint are at most [`capacity`], or
//!   [`MAX_OVERBOOKING`] times its slots where each entry has only one place, for any
//!   order, loss or repetition of reports. Two instances lend at most
//!   twice that while entries move from one to the other, for [`LOAN_VALIDITY`]; after
//!   that each lends only the part of the entries that report to it.
//! * All places are lent while any entry reports: what entries want goes first, divided
//!   max-min, and the rest is spread evenly.
//! * Where there are fewer places than entries even so, the entry that has waited longest
//!   for one is first.
//! * An entry without a valid loan takes its part by the number of entries, in turns.
//! * A service that does not reject requests is not restricted. Lending begins with a
//!   rejection and ends [`QUIET_TIME`] after the last request that found no room.

mod lender;
mod places;
mod wait_queue;

pub use lender::{Lender, ServiceLoan, SlotReport, UseReport};
pub use places::{EndpointSlots, Places};
pub use wait_queue::{Drain, Priority, Verdict, WaitQueue, Waiting};

use dogwoodhill_core::prelude::*;

/// Places of an endpoint, in multiples of its slots. One place per slot would leave slots
/// empty while an entry does not use its place; the excess waits in the endpoint's queue
/// for at most the time of one request, during which requests of a more urgent tier cannot
/// pass it.
pub const OVERBOOKING: u32 = 2;
/// Upper bound where each entry has only one place, in multiples of the slots: an entry
/// uses its only place for a small part of the time.
pub const MAX_OVERBOOKING: u32 = 4;
/// Part of the queue that an endpoint named when it rejected a request for which places
/// are lent, in quarters. The rest is for requests that outlive a place.
const QUEUE_QUARTERS: u32 = 3;
/// How long a loan is valid, counted from the report that it answers: a little over twice
/// the interval at which entries report, so that one lost report ends no loan.
pub const LOAN_VALIDITY: Duration = Duration::from_millis(1_200);
/// Time without a rejection or a waiting request after which lending of a service ends.
/// Several times the pause between the bursts of one caller, so that lending does not
/// begin and end with each of them.
pub const QUIET_TIME: Duration = Duration::from_secs(10);
/// Most endpoints of a service whose places are lent. With more, each entry has enough
/// choice among them, and messages would grow with their number.
pub const MAX_ENDPOINTS: usize = 64;
/// Upper bound of the slots of an endpoint, so that a wrong value does not overflow.
pub const MAX_SLOTS: u32 = 4_096;

/// Places of an endpoint that names `slots`, of which at least one is assumed: up to
/// [`OVERBOOKING`], but no more than its queue takes. `queue` is the number of requests
/// that waited there when it rejected one; 0 if unknown.
pub fn capacity(slots: u32, queue: u32) -> u32 {
    let slots = slots.clamp(1, MAX_SLOTS);
    let excess = slots * (OVERBOOKING - 1);
    let queued = u64::from(queue) * u64::from(QUEUE_QUARTERS) / 4;
    match queue {
        0 => slots + excess,
        _ => slots + u64::from(excess).min(queued) as u32,
    }
}
