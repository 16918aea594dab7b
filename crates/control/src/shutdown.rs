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
use dogwoodhill_wire::control::ControlReply;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

/// Longest wait for the release of the reporting duty.
const DUTY_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for another instance to become leader.
const LEADER_TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the transfer is requested again: one request may be lost.
const LEADER_TRANSFER_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the seat to pass to a replacement.
const SEAT_TIMEOUT: Duration = Duration::from_secs(1);
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
    while start.elapsed() < SEAT_TIMEOUT {
        let call = service.forward::<_, bool>(RELEASE_PATH, &id);
        reply = match timeout(SEAT_TIMEOUT, call).await {
            Ok(reply) => reply,
            Err(_) => break,
        };
        let elects = service.replica().status.borrow().leader.is_none();
        // Without a leader, all instances may be stopping.
        if matches!(reply, Ok(false)) || elects {
            break;
        }
        sleep(SEAT_RETRY_DELAY).await;
    }
    Event::new("seat-released")
        .field("ms", start.elapsed().as_millis())
        .field("pending", !matches!(reply, Ok(false)))
        .info();
}
