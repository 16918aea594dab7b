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
    let mut reply = ControlReply::Ok(true);
    let mut promised = false;
    while start.elapsed() < SEAT_TIMEOUT {
        let call = service.forward::<_, bool>(RELEASE_PATH, &id);
        let answer = timeout(CALL_TIMEOUT, call).await;
        reply = answer.unwrap_or(Err(ControlUnavailable::NoMajority));
        // Without an answer all instances may be stopping, unless one promised to take
        // over.
        promised |= matches!(reply, Ok(true));
        if matches!(reply, Ok(false)) || (reply.is_err() && !promised) {
            break;
        }
        sleep(SEAT_RETRY_DELAY).await;
    }
    Event::new("seat-released")
        .field("ms", start.elapsed().as_millis())
        .field("pending", !matches!(reply, Ok(false)))
        .info();
}
