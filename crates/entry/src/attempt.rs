//! One attempt at running a request, and the answer to it.

use crate::pool::Placement;
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

/// Path to which attempts are posted at an agent.
const ATTEMPT_PATH: &str = "/v1/attempt";

/// Generates attempt ids that are unique among entries and among runs of one entry: the
/// upper half is a random number of the run.
#[derive(Debug)]
pub struct AttemptIds {
    run: u64,
    next: AtomicU64,
}

impl AttemptIds {
    /// Starts the sequence of a run; `run` must be random.
    pub fn new(run: u64) -> Self {
        Self {
            run,
            next: AtomicU64::new(0),
        }
    }

    /// Returns a new id.
    pub fn next_id(&self) -> AttemptId {
        let sequence = self.next.fetch_add(1, Ordering::Relaxed);
        (AttemptId::from(self.run) << 64) | AttemptId::from(sequence)
    }
}

/// Why an attempt gave no complete answer. The request may have run.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No answer, or only a part of it, could be read from the agent, or the agent
    /// refused the attempt as [`RefusalReason::Repeated`].
    #[display("the connection to the agent broke")]
    Connection,
    /// The frames show that the answer is incomplete or belongs to another attempt.
    #[display("{error}")]
    InvalidAnswer {
        /// The defect of the answer.
        error: AnswerError,
    },
    /// The agent's response can't be decoded as frames.
    #[display("the agent's answer is unreadable")]
    Unreadable,
    /// The engine answered with a status that does not depend on the request itself.
    #[display("the engine answered with status {status}")]
    Engine {
        /// The HTTP status.
        status: u16,
    },
    /// The deadline passed.
    #[display("the deadline passed")]
    DeadlinePassed,
}

/// The result of one attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The request did not reach the endpoint.
    Refused {
        /// The reason of the refusal.
        reason: RefusalReason,
        /// The load report of the agent, if it answered.
        load: Option<Load>,
    },
    /// The request may have run, and there is no answer.
    Lost(AttemptFailure),
    /// The head of the endpoint's answer arrived.
    Open {
        /// HTTP status.
        status: u16,
        /// End-to-end headers of the answer.
        headers: Vec<Header>,
        /// Reader of the remaining answer.
        answer: AnswerReader,
    },
}

/// Reads and verifies the answer to one attempt.
#[derive(Debug)]
pub struct AnswerReader {
    body: Incoming,
    frames: FrameReader,
    verifier: AnswerValidator,
    load: Option<Load>,
    deadline: Instant,
}

impl AnswerReader {
    /// Returns the last load report that the agent sent with the answer.
    pub fn load(&self) -> Option<&Load> {
        self.load.as_ref()
    }

    /// Returns the next part of the answer.
    ///
    /// # Errors
    ///
    /// [`AttemptFailure`] if the answer can't become complete.
    pub async fn next(&mut self) -> Result<AnswerPart, AttemptFailure> {
        loop {
            if let Some(frame) = self.frames.pop() {
                self.load = frame.load.or(self.load);
                let part = self.verifier.accept(frame);
                return part.map_err(|error| AttemptFailure::InvalidAnswer { error });
            }
            let bytes = self.read().await?;
            self.frames
                .feed(&bytes)
                .map_err(|_| AttemptFailure::Unreadable)?;
        }
    }

    async fn read(&mut self) -> Result<Bytes, AttemptFailure> {
        match timeout_at(self.deadline, self.body.frame()).await {
            Err(_) => Err(AttemptFailure::DeadlinePassed),
            Ok(Some(Ok(frame))) => Ok(frame.into_data().unwrap_or_default()),
            Ok(None | Some(Err(_))) => Err(AttemptFailure::Connection),
        }
    }
}

/// Builds the message for one attempt of `call` at `placement`.
pub fn build_attempt(
    call: &Call,
    placement: &Placement,
    id: AttemptId,
    deadline: Instant,
) -> Attempt {
    Attempt {
        attempt: id,
        request: call.id.clone(),
        service: call.service.document.service.clone(),
        endpoint: placement.endpoint().clone(),
        class: call.class.name.clone(),
        tier: placement.item().tier,
        due: placement.due(),
        repeat: call.class.repeat,
        kind: call.service.document.kind,
        remaining: deadline.saturating_duration_since(Instant::now()),
        token_gap: call.class.target.token_gap,
        revision: call.service.revision,
        fence: placement.fence(),
        stream: call.stream,
        method: call.method.clone(),
        path: call.path.clone(),
        headers: call.headers.clone(),
        body: call.body.bytes.clone(),
    }
}

/// Sends one attempt to the agent at `address` and reads until the head of the answer.
pub async fn send(
    client: &PeerClient,
    address: SocketAddr,
    attempt: &Attempt,
    deadline: Instant,
) -> AttemptResult {
    let request = client.open(address, ATTEMPT_PATH, attempt);
    let response = match timeout_at(deadline, request).await {
        Err(_) => return AttemptResult::Lost(AttemptFailure::DeadlinePassed),
        Ok(Err(CallError::Connect { .. })) => return refused_before_start(),
        Ok(Err(_)) => return AttemptResult::Lost(AttemptFailure::Connection),
        Ok(Ok(response)) => response,
    };
    if !response.status().is_success() {
        // The agent checks the cluster key and the encoding before anything else, so
        // nothing has reached the endpoint.
        return refused_before_start();
    }
    let mut answer = AnswerReader {
        body: response.into_body(),
        frames: FrameReader::default(),
        verifier: AnswerValidator::new(attempt.attempt),
        load: None,
        deadline,
    };
    match answer.next().await {
        Ok(AnswerPart::Head { status, headers }) => AttemptResult::Open {
            status,
            headers,
            answer,
        },
        Ok(AnswerPart::Refused(RefusalReason::Repeated)) => {
            AttemptResult::Lost(AttemptFailure::Connection)
        }
        Ok(AnswerPart::Refused(reason)) => AttemptResult::Refused {
            reason,
            load: answer.load,
        },
        Ok(_) => AttemptResult::Lost(AttemptFailure::InvalidAnswer {
            error: AnswerError::Order,
        }),
        Err(failure) => AttemptResult::Lost(failure),
    }
}

fn refused_before_start() -> AttemptResult {
    AttemptResult::Refused {
        reason: RefusalReason::Unreachable,
        load: None,
    }
}
