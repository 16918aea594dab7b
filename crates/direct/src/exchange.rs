//! Sending one request to one endpoint.

use crate::dialect::{EndpointDialect, Prompt, Said, Tell};
use crate::directory::{Endpoint, Hold, Sent, Standing};
use crate::pool::{self, Line, Unconnected};
use bytes::Bytes;
use derive_more::Display;
use dogwoodhill_policy::permits::Permit;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use std::sync::Arc;
use tokio::time::{Instant, timeout_at};

/// Largest response that is buffered completely, in bytes.
const MAX_ANSWER: usize = 8 * 1024 * 1024;

/// A request to be sent to endpoints; unchanged between attempts.
#[derive(Clone, Debug)]
pub struct Outbound {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: http::uri::PathAndQuery,
    /// Headers of the caller, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// How an attempt at an endpoint ended.
#[derive(Debug)]
pub enum Ended {
    /// The head of a response arrived.
    Answered(Box<Answer>),
    /// The endpoint reports that it did not run the request.
    Refused(Refusal),
    /// No byte of the request was sent.
    Unsent,
    /// The endpoint was chosen but no longer admits the request; no byte was sent.
    Held(Hold),
    /// The request was sent; whether it ran is unknown.
    Lost(Loss),
}

/// Why an endpoint refused a request without running it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// The endpoint is at its limit.
    #[display("full")]
    Full,
    /// The endpoint is not the intended one.
    #[display("misdirected")]
    Misdirected,
    /// The deadline passed while the request was queued at the endpoint.
    #[display("expired")]
    Expired,
}

/// Why there is no valid response.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Loss {
    /// The connection broke.
    #[display("connection-broke")]
    Broke,
    /// The response names another request.
    #[display("foreign-answer")]
    Foreign,
    /// The response does not come from this endpoint.
    #[display("spoiled-answer")]
    Spoiled,
    /// No response arrived in time.
    #[display("timeout")]
    Timeout,
    /// The entry gave the request up because requests with the same content crash
    /// endpoints.
    #[display("withdrawn")]
    Withdrawn,
}

/// Head of a response, with the connection that carries its body.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Metadata parsed from the head.
    pub said: Said,
    /// The unread body.
    pub body: Incoming,
    /// Connection that carries the body.
    pub line: Line,
    /// Accounting of the request at the endpoint.
    pub sent: Sent,
}

impl Answer {
    /// Reads the whole body and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// [`Loss`] if the body is incomplete.
    pub async fn whole(self, until: Instant) -> Result<Whole, Loss> {
        let endpoint = Arc::clone(self.sent.endpoint());
        let body = Limited::new(self.body, MAX_ANSWER).collect();
        let collected = timeout_at(until, body).await;
        let bytes = match collected {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => {
                endpoint.judged(true);
                return Err(Loss::Broke);
            }
            Err(_) => return Err(Loss::Timeout),
        };
        endpoint.heard();
        self.line.answered();
        if self.said.keeps {
            endpoint.pool.give(self.line, self.said.idle);
        }
        Ok(Whole {
            status: self.status,
            headers: self.headers,
            bytes,
        })
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Whole {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub bytes: Bytes,
}

/// Sends a request to `endpoint` and waits for the head of the response.
pub async fn send(
    endpoint: &Arc<Endpoint>,
    dialect: &dyn EndpointDialect,
    outbound: &Outbound,
    tell: &Tell<'_>,
    ask: Asked<'_>,
) -> Ended {
    let mut sent = endpoint.enter(ask.prompt, ask.standing);
    let request = request(dialect, outbound, tell, endpoint);
    let mut permit = None;
    let kept = send_kept(endpoint, request, &mut permit, ask.until).await;
    // A pooled connection may have been closed before the request began to be written. A
    // new connection is tried once.
    let tried = match kept {
        Attempt::Unsent(request) => send_new(endpoint, request, permit, ask.until).await,
        other => other,
    };
    match tried {
        Attempt::Head(response, line) => {
            endpoint.heard();
            sent.begun();
            read(dialect, response, line, sent, ask.id)
        }
        Attempt::Unsent(_) => {
            endpoint.unreached();
            Ended::Unsent
        }
        Attempt::Unconnected => Ended::Unsent,
        Attempt::Held(hold) => Ended::Held(hold),
        Attempt::Lost(Loss::Timeout) => {
            endpoint.timed_out(false);
            Ended::Lost(Loss::Timeout)
        }
        Attempt::Lost(loss) => {
            endpoint.judged(true);
            Ended::Lost(loss)
        }
    }
}

/// Result of one request on one connection.
enum Attempt {
    Head(Response<Incoming>, Line),
    /// No byte was sent.
    Unsent(Request<Full<Bytes>>),
    /// No connection could be made; the endpoint's health record is already updated.
    Unconnected,
    /// The endpoint does not admit the request.
    Held(Hold),
    Lost(Loss),
}

/// Sends on a pooled connection, if there is one.
async fn send_kept(
    endpoint: &Endpoint,
    request: Request<Full<Bytes>>,
    permit: &mut Option<Permit>,
    until: Instant,
) -> Attempt {
    let Some(line) = endpoint.pool.take() else {
        return Attempt::Unsent(request);
    };
    match endpoint.admit() {
        Ok(admitted) => *permit = Some(admitted),
        Err(hold) => {
            endpoint.pool.give_back(line);
            return Attempt::Held(hold);
        }
    }
    attempt(line, request, until).await
}

/// Sends on a new connection. The placement is older than the time to connect, and the
/// process may have been suspended meanwhile, so admission is checked again.
async fn send_new(
    endpoint: &Endpoint,
    request: Request<Full<Bytes>>,
    permit: Option<Permit>,
    until: Instant,
) -> Attempt {
    let line = match connect(endpoint, until).await {
        Ok(line) => line,
        Err(reason) => {
            match reason {
                Unconnected::Refused => endpoint.unreached(),
                Unconnected::Unanswered => endpoint.unanswered(),
            }
            return Attempt::Unconnected;
        }
    };
    let admitted = match permit {
        Some(permit) => endpoint.admit_late(permit),
        None => endpoint.admit().map(|_| ()),
    };
    match admitted {
        Ok(()) => attempt(line, request, until).await,
        Err(hold) => Attempt::Held(hold),
    }
}

async fn attempt(
    mut line: Line,
    request: Request<Full<Bytes>>,
    until: Instant,
) -> Attempt {
    line.asked();
    match timeout_at(until, line.sender.try_send_request(request)).await {
        Err(_) => Attempt::Lost(Loss::Timeout),
        Ok(Ok(response)) => Attempt::Head(response, line),
        Ok(Err(mut error)) => match error.take_message() {
            Some(request) => Attempt::Unsent(request),
            None => Attempt::Lost(Loss::Broke),
        },
    }
}

/// Properties of the caller's request that sending depends on.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// Request id.
    pub id: &'a str,
    /// Prompt.
    pub prompt: &'a Prompt,
    /// Position in the service's queue.
    pub standing: &'a Standing,
    /// Deadline.
    pub until: Instant,
}

async fn connect(endpoint: &Endpoint, until: Instant) -> Result<Line, Unconnected> {
    let connected = timeout_at(until, pool::connect(endpoint.address)).await;
    connected.unwrap_or(Err(Unconnected::Unanswered))
}

fn request(
    dialect: &dyn EndpointDialect,
    outbound: &Outbound,
    tell: &Tell<'_>,
    endpoint: &Endpoint,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outbound.body.clone()));
    *request.method_mut() = outbound.method.clone();
    *request.uri_mut() = outbound.target.clone().into();
    let headers = request.headers_mut();
    *headers = outbound.headers.clone();
    dialect.write(headers, tell);
    if !headers.contains_key(header::HOST)
        && let Ok(host) = endpoint.address.to_string().parse()
    {
        headers.insert(header::HOST, host);
    }
    request
}

/// Validates the head of a response.
fn read(
    dialect: &dyn EndpointDialect,
    response: Response<Incoming>,
    line: Line,
    sent: Sent,
    id: &str,
) -> Ended {
    let (parts, body) = response.into_parts();
    let said = dialect.read(parts.status, &parts.headers);
    let endpoint = sent.endpoint();
    if said.request.as_deref().is_some_and(|other| other != id) {
        endpoint.judged(true);
        return Ended::Lost(Loss::Foreign);
    }
    if let Some(load) = said.load {
        endpoint.loaded(load);
    }
    let misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
    if said.request.is_some() && !misdirected {
        if said.leaving {
            endpoint.mark(true);
        }
        endpoint.heard_limit(said.limit);
        if turns_away(parts.status) {
            endpoint.turned_away(said.retry);
        }
    }
    if said.refused {
        let reason = match parts.status {
            StatusCode::MISDIRECTED_REQUEST => Refusal::Misdirected,
            StatusCode::SERVICE_UNAVAILABLE => Refusal::Full,
            StatusCode::TOO_MANY_REQUESTS => Refusal::Full,
            _ => Refusal::Expired,
        };
        if reason == Refusal::Misdirected {
            endpoint.misdirected();
        }
        keep(body, line, &said, Arc::clone(endpoint));
        return Ended::Refused(reason);
    }
    // These statuses mean "not run", but the endpoint did not confirm it.
    let unfounded =
        turns_away(parts.status) || parts.status == StatusCode::REQUEST_TIMEOUT;
    let foreign = unfounded
        || said.request.is_none()
        || parts.headers.contains_key(header::CONTENT_ENCODING);
    if foreign || (parts.status.is_success() && !said.proof) {
        endpoint.judged(true);
        return Ended::Lost(Loss::Spoiled);
    }
    endpoint.judged(parts.status.is_server_error());
    let mut headers = parts.headers;
    strip(&mut headers);
    Ended::Answered(Box::new(Answer {
        status: parts.status,
        headers,
        said,
        body,
        line,
        sent,
    }))
}

/// Whether the status means that the endpoint takes no further requests at the moment.
fn turns_away(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

/// Reads the body of a refusal to its end, so that the connection can be reused.
fn keep(body: Incoming, line: Line, said: &Said, endpoint: Arc<Endpoint>) {
    if !said.keeps {
        return;
    }
    let idle = said.idle;
    tokio::spawn(async move {
        let end = Instant::now() + std::time::Duration::from_secs(1);
        let collected = timeout_at(end, Limited::new(body, MAX_ANSWER).collect()).await;
        if matches!(collected, Ok(Ok(_))) {
            endpoint.pool.give(line, idle);
        }
    });
}

/// Removes hop-by-hop headers.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(&name);
    }
    for name in [
        header::CONNECTION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::CONTENT_LENGTH,
        header::UPGRADE,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::EXPECT,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
