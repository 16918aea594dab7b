//! Running a call: the loop over tries.
//!
//! A try that was refused costs nothing and is repeated elsewhere. A try that
//! may have run is repeated only where the class allows it, nothing was
//! delivered yet, and the service's retry budget has a unit left.

use crate::attempt::{AttemptIds, Broken, Reading, Tried, message, send};
use crate::deliver::Opened;
use crate::pool::{Denied, Place, Pool};
use crate::refusal::{Cause, Refusal};
use crate::request::Call;
use bytes::Bytes;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::budget::Budget;
use dogwoodhill_policy::queue::Item;
use dogwoodhill_wire::client::PeerClient;
use dogwoodhill_wire::prelude::*;
use rand::RngExt;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;
use tokio::time::Instant;

/// Memory of a waiting request beside its body and headers.
const WAITING_OVERHEAD: usize = 1024;
/// Most that jitter adds to the advice when to come back, as a part of it.
const JITTER: f64 = 0.5;
/// Endpoints that may be lost under one call: it may be the request that ends them.
const MOST_LOST: u32 = 2;
/// Statuses of a model engine that say nothing about the request itself.
const ENGINE_FAULTS: [u16; 4] = [429, 500, 502, 503];

/// What running calls needs.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Client to agents.
    pub caller: PeerClient,
    /// Maker of attempt ids.
    pub ids: Arc<AttemptIds>,
    /// Newest revision that an agent's answer showed.
    pub heard: watch::Sender<Revision>,
}

/// What one service's calls share.
#[derive(Clone, Debug)]
pub struct Lane {
    /// Waiting and placement.
    pub pool: Pool,
    /// Retry budget.
    pub budget: Arc<Mutex<Budget>>,
}

impl Lane {
    fn earn(&self) {
        self.budget
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
            .earn();
    }

    fn spend(&self) -> bool {
        self.budget
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
            .spend()
    }
}

/// Counts of what a call cost beside its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Effort {
    /// Tries that were refused.
    pub refused: u32,
    /// Tries that may have run and whose answer was not used.
    pub wasted: u32,
}

/// A call that has come to its first answer bytes.
#[derive(Debug)]
pub struct Ran {
    /// The answer.
    pub opened: Opened,
    /// What it cost.
    pub effort: Effort,
}

impl Runner {
    /// Runs a call up to the first bytes of its answer, or to the whole
    /// answer where that is held.
    ///
    /// # Errors
    ///
    /// [`Refusal`] with the true outcome.
    pub async fn run(
        &self,
        call: &Call,
        lane: &Lane,
        deadline: Instant,
        held: usize,
    ) -> Result<Ran, Refusal> {
        lane.earn();
        let mut effort = Effort::default();
        let mut lost = None;
        let mut lost_with = 0;
        loop {
            let place = lane.pool.enter(item(call, &lane.pool, deadline)).await;
            let place = place.map_err(|denied| explain(denied, lost.as_ref()))?;
            let tried = self.place(call, place, deadline, &mut effort).await;
            let opened = match tried {
                Ok(open) => open.deliver(call, held).await,
                Err(Stopped::Denied(denied)) => {
                    return Err(explain(denied, lost.as_ref()));
                }
                Err(Stopped::Lost(broken)) => Err(broken),
            };
            match opened {
                Ok(opened) => return Ok(Ran { opened, effort }),
                Err(broken) => {
                    effort.wasted += 1;
                    // An engine that answers has outlived the request.
                    lost_with += u32::from(!matches!(broken, Broken::Engine { .. }));
                    let again = call.class.repeat == Repeat::Allowed
                        && broken != Broken::Late
                        && lost_with < MOST_LOST
                        && lane.spend();
                    if !again {
                        return Err(lost_refusal(&broken));
                    }
                    lost = Some(broken);
                }
            }
        }
    }

    /// Tries endpoints until one takes the request.
    async fn place(
        &self,
        call: &Call,
        mut place: Place,
        deadline: Instant,
        effort: &mut Effort,
    ) -> Result<Open, Stopped> {
        let mut tried = Vec::new();
        loop {
            let load = match self.attempt(call, &place, deadline).await {
                Tried::Open {
                    status,
                    headers,
                    answer,
                } => {
                    if let Some(load) = answer.load() {
                        self.hear(load);
                        place.report(load);
                    }
                    return Open::new(call, place, status, headers, answer);
                }
                Tried::Lost(broken) => {
                    if broken == Broken::Connection {
                        place.unreachable();
                    }
                    return Err(Stopped::Lost(broken));
                }
                Tried::Refused { reason, load } => {
                    load.iter().for_each(|load| self.hear(load));
                    if matches!(
                        reason,
                        RefusalReason::Unreachable | RefusalReason::Misdirected
                    ) {
                        place.unreachable();
                    }
                    load
                }
            };
            effort.refused += 1;
            tried.push(place.view());
            let next = place.refused(load.as_ref(), &tried).await;
            place = next.map_err(Stopped::Denied)?;
        }
    }

    /// Notes the revision an agent knows.
    fn hear(&self, load: &Load) {
        self.heard.send_if_modified(|newest| {
            let newer = load.revision > *newest;
            *newest = load.revision.max(*newest);
            newer
        });
    }

    async fn attempt(&self, call: &Call, place: &Place, deadline: Instant) -> Tried {
        let document = &call.service.document;
        let Some(endpoint) = document.endpoint(place.endpoint()) else {
            // The endpoint joined with a later document than the call's own.
            return Tried::Refused {
                reason: RefusalReason::Misdirected,
                load: None,
            };
        };
        let attempt = message(call, place, self.ids.make(), deadline);
        send(&self.caller, endpoint.agent, &attempt, deadline).await
    }
}

/// Why the loop over endpoints ended without an answer.
enum Stopped {
    Denied(Denied),
    Lost(Broken),
}

/// An answer whose head arrived.
pub(crate) struct Open {
    pub(crate) place: Place,
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) answer: Reading,
}

impl Open {
    fn new(
        call: &Call,
        place: Place,
        status: u16,
        headers: Vec<Header>,
        answer: Reading,
    ) -> Result<Self, Stopped> {
        let model = call.service.document.kind == Kind::Model;
        let repeat = call.class.repeat == Repeat::Allowed;
        if model && repeat && ENGINE_FAULTS.contains(&status) {
            return Err(Stopped::Lost(Broken::Engine { status }));
        }
        Ok(Self {
            place,
            status,
            headers,
            answer,
        })
    }
}

fn item(call: &Call, pool: &Pool, deadline: Instant) -> Item {
    let target = &call.class.target;
    let aim = target.first_token.or(target.finish);
    let headers: usize = call.headers.iter().map(header_bytes).sum();
    Item {
        class: call.class.name.clone(),
        tier: call.class.priority,
        workspace: call.workspace.name.clone(),
        weight: call.workspace.weight,
        target: aim.unwrap_or(call.timeout),
        deadline: pool.now() + deadline.saturating_duration_since(Instant::now()),
        bytes: call.body.len() + headers + WAITING_OVERHEAD,
    }
}

fn header_bytes(header: &Header) -> usize {
    header.name.len() + header.value.len() + size_of::<Header>() + size_of::<Bytes>()
}

/// What a caller is told when it got no place. After a lost try the outcome
/// is unknown, however the wait ended.
fn explain(denied: Denied, lost: Option<&Broken>) -> Refusal {
    let refusal = match denied {
        Denied::Shed(after) => {
            let spread = rand::rng().random_range(0.0..JITTER);
            Refusal::not_run(
                Cause::Shed,
                "more requests wait than fit, and this one is the least urgent",
                "come back after the time in Retry-After",
            )
            .come_back(after.mul_f64(1.0 + spread))
        }
        Denied::Expired => Refusal::not_run(
            Cause::DeadlinePassed,
            "the deadline passed while the request waited",
            "allow more time, or send the request again later",
        ),
    };
    match lost {
        None => refusal,
        Some(_) => Refusal {
            outcome: Outcome::Unknown,
            ..refusal
        },
    }
}

fn lost_refusal(broken: &Broken) -> Refusal {
    if *broken == Broken::Late {
        return Refusal::unknown(
            Cause::DeadlinePassed,
            "the deadline passed while the request ran",
            "allow more time; the request may have run",
        );
    }
    Refusal::unknown(
        Cause::BrokenAnswer,
        &broken.to_string(),
        "the request may have run; send it again only if that does no harm",
    )
}
