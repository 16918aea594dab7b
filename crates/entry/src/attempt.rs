//! One try at running a request, and its answer.

use crate::pool::Place;
use crate::request::Call;
use bytes::Bytes;
use derive_more::{Display, Error};
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::client::{CallError, PeerClient};
use dogwoodhill_wire::prelude::*;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::time::{Instant, timeout_at};

/// Path of attempts at the agent.
const ATTEMPT_PATH: &str = "/v1/attempt";

/// Makes attempt ids that no other entry, and no earlier run of this one,
/// makes: a random upper half names the run.
#[derive(Debug)]
pub struct AttemptIds {
    run: u64,
    next: AtomicU64,
}

impl AttemptIds {
    /// Starts counting for the run named by `run`, which must be random.
    pub fn new(run: u64) -> Self {
        Self {
            run,
            next: AtomicU64::new(0),
        }
    }

    /// A new id.
    pub fn make(&self) -> AttemptId {
        let low = self.next.fetch_add(1, Ordering::Relaxed);
        (AttemptId::from(self.run) << 64) | AttemptId::from(low)
    }
}

/// Why an answer is not whole. The request may have run.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Broken {
    /// The agent's connection broke.
    #[display("the connection to the agent broke")]
    Connection,
    /// Frames prove that the answer is not whole or not one's own.
    #[display("{flaw}")]
    Flawed {
        /// What is wrong.
        flaw: AnswerError,
    },
    /// The bytes are no frames.
    #[display("the agent's answer is unreadable")]
    Unreadable,
    /// The engine answered with a status that says nothing about the request itself.
    #[display("the engine answered with status {status}")]
    Engine {
        /// The status.
        status: u16,
    },
    /// The deadline passed.
    #[display("the deadline passed")]
    Late,
}

/// What one try came to.
#[derive(Debug)]
pub enum Tried {
    /// Nothing reached the endpoint.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// The agent's load, where it answered.
        load: Option<Load>,
    },
    /// It may have run, and there is no answer.
    Lost(Broken),
    /// The endpoint answers.
    Open {
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<Header>,
        /// The rest.
        answer: Reading,
    },
}

/// An answer being read.
#[derive(Debug)]
pub struct Reading {
    source: Incoming,
    frames: FrameReader,
    check: Answer,
    load: Option<Load>,
    deadline: Instant,
}

impl Reading {
    /// The last load report the agent sent with the answer.
    pub fn load(&self) -> Option<&Load> {
        self.load.as_ref()
    }

    /// The next piece.
    ///
    /// # Errors
    ///
    /// [`Broken`] where the answer can't become whole.
    pub async fn next(&mut self) -> Result<AnswerPart, Broken> {
        loop {
            if let Some(frame) = self.frames.pop() {
                self.load = frame.load.or(self.load);
                let piece = self.check.accept(frame);
                return piece.map_err(|flaw| Broken::Flawed { flaw });
            }
            let bytes = self.read().await?;
            self.frames.feed(&bytes).map_err(|_| Broken::Unreadable)?;
        }
    }

    async fn read(&mut self) -> Result<Bytes, Broken> {
        match timeout_at(self.deadline, self.source.frame()).await {
            Err(_) => Err(Broken::Late),
            Ok(Some(Ok(frame))) => Ok(frame.into_data().unwrap_or_default()),
            Ok(None | Some(Err(_))) => Err(Broken::Connection),
        }
    }
}

/// Builds the message for one try of `call` at `place`.
pub fn message(call: &Call, place: &Place, id: AttemptId, deadline: Instant) -> Attempt {
    Attempt {
        attempt: id,
        request: call.id.clone(),
        service: call.service.document.service.clone(),
        endpoint: place.endpoint().clone(),
        class: call.class.name.clone(),
        tier: place.item().tier,
        due: place.due(),
        repeat: call.class.repeat,
        kind: call.service.document.kind,
        remaining: deadline.saturating_duration_since(Instant::now()),
        gap: call.class.target.token_gap,
        revision: call.service.revision,
        fence: place.fence(),
        stream: call.stream,
        method: call.method.clone(),
        path: call.path.clone(),
        headers: call.headers.clone(),
        body: call.body.clone(),
    }
}

/// Sends one try to the agent at `address` and reads up to the answer's head.
pub async fn send(
    caller: &PeerClient,
    address: SocketAddr,
    attempt: &Attempt,
    deadline: Instant,
) -> Tried {
    let opening = caller.open(address, ATTEMPT_PATH, attempt);
    let response = match timeout_at(deadline, opening).await {
        Err(_) => return Tried::Lost(Broken::Late),
        Ok(Err(CallError::Connect { .. })) => return unsent(),
        Ok(Err(_)) => return Tried::Lost(Broken::Connection),
        Ok(Ok(response)) => response,
    };
    if !response.status().is_success() {
        // The agent checks key and form before anything else.
        return unsent();
    }
    let mut answer = Reading {
        source: response.into_body(),
        frames: FrameReader::default(),
        check: Answer::new(attempt.attempt),
        load: None,
        deadline,
    };
    match answer.next().await {
        Ok(AnswerPart::Head { status, headers }) => Tried::Open {
            status,
            headers,
            answer,
        },
        Ok(AnswerPart::Refused(RefusalReason::Repeated)) => {
            Tried::Lost(Broken::Connection)
        }
        Ok(AnswerPart::Refused(reason)) => Tried::Refused {
            reason,
            load: answer.load,
        },
        Ok(_) => Tried::Lost(Broken::Flawed {
            flaw: AnswerError::Order,
        }),
        Err(broken) => Tried::Lost(broken),
    }
}

fn unsent() -> Tried {
    Tried::Refused {
        reason: RefusalReason::Unreachable,
        load: None,
    }
}
