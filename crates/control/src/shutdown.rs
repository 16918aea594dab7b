//! What an instance gives up before it stops: the reporting duty, leadership and its
//! seat.
//!
//! An instance does not know whether it will return. If a replacement has caught up, its
//! seat passes to the replacement before it exits. The cluster then has no voter that is
//! gone, and tolerates another loss at once. An instance that returns becomes the next
//! replacement.

use crate::internal::RELEASE_PATH;
use crate::replica::Input;
use crate::service::Service;
use dogwoodhill_consensus::NodeId;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_wire::control::{ControlReply, ControlUnavailable};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

/// Longest wait for the release of the reporting duty.
const DUTY_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for another instance to become leader.
const LEADER_TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the transfer is requested again: one request may be lost.
const LEADER_TRANSFER_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the seat to pass to a replacement: the time after which the seat of
/// another member that has just failed passes first, and that of an election.
const SEAT_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait for a leader, which may just have been elected.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of one request.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between requests for the seat to be passed on.
const SEAT_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Waits for the drain, and then gives up the duty, the leadership and the seat of the
/// instance `id`.
pub(crate) async fn shut_down(
    service: Service,
    id: NodeId,
    drain: Drain,
    reporter: Option<AbortOnDropHandle<()>>,
) {
    drain.wait_begun().await;
    if let Some(reporter) = reporter {
        // A lease that is not released in time expires.
        let _ = timeout(DUTY_TIMEOUT, reporter).await;
    }
    transfer_leadership(&service).await;
    release_seat(&service, id).await;
}

async fn transfer_leadership(service: &Service) {
    let replica = service.replica();
    let mut status = replica.status.clone();
    let end = Instant::now() + LEADER_TRANSFER_TIMEOUT;
    while status.borrow().leads && Instant::now() < end {
        replica.input(Input::TransferLeadership).await;
        let other = status.wait_for(|status| !status.leads);
        // After a timeout the transfer is requested again.
        let _ = timeout(LEADER_TRANSFER_INTERVAL, other).await;
    }
}

/// Requests of the leader that the seat pass to a replacement, and waits until it has.
async fn release_seat(service: &Service, id: NodeId) {
    let start = Instant::now();
    let mut replaced = false;
    let mut promised = false;
    while !replaced && start.elapsed() < SEAT_TIMEOUT {
        let reply = request_release(service, id).await;
        replaced = matches!(reply, Ok(false));
        promised |= matches!(reply, Ok(true));
        // Without a leader for that long, all instances may be stopping.
        if reply.is_err() && !promised && start.elapsed() >= ELECTION_TIMEOUT {
            break;
        }
        sleep(SEAT_RETRY_DELAY).await;
    }
    Event::new("seat-released")
        .field("ms", start.elapsed().as_millis())
        .field("replaced", replaced)
        .info();
}

/// Whether a replacement will take over, but `id` still votes.
async fn request_release(service: &Service, id: NodeId) -> ControlReply<bool> {
    let call = service.forward::<_, bool>(RELEASE_PATH, &id);
    let answer = timeout(CALL_TIMEOUT, call).await;
    answer.unwrap_or(Err(ControlUnavailable::NoMajority))
}
