//! Sending one request to one endpoint.

use crate::buffers::{BufferPool, BufferSpace};
use crate::dialect::{EndpointDialect, ForwardMeta, Prompt, ResponseMeta};
use crate::directory::{
    AdmissionError, Endpoint, InFlight, PrefixFetch, QueuePosition, RequestIdentity,
};
use crate::pool::{self, ConnectError, Connection};
use bytes::Bytes;
use derive_more::Display;
use dogwoodhill_core::prelude::*;
use dogwoodhill_intake::prelude::*;
use dogwoodhill_policy::permits::Permit;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use std::sync::Arc;
use tokio::time::{Instant, timeout_at};

/// Largest response that is buffered completely, in bytes.
const MAX_BUFFERED_RESPONSE: usize = 8 * 1024 * 1024;
/// Largest body of a refusal that is read for the sake of its connection, in bytes.
const MAX_REFUSAL_BODY: usize = 64 * 1024;
/// Time in which the body of a refusal is read.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// A request to be sent to endpoints; unchanged between attempts.
#[derive(Debug)]
pub struct OutboundRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: http::uri::PathAndQuery,
    /// Headers of the caller, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: WholeBody,
}

/// How an attempt at an endpoint ended.
#[derive(Debug)]
pub enum SendOutcome {
    /// The head of a response arrived.
    Answered(Box<EndpointResponse>),
    /// The endpoint reports that it did not run the request.
    Refused(Refusal),
    /// No byte of the request was sent.
    Unsent,
    /// The endpoint was chosen but no longer admits the request; no byte was sent.
    NotAdmitted(AdmissionError),
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
    ConnectionBroken,
    /// The response names another request.
    #[display("foreign-answer")]
    Mismatched,
    /// The response is not one that an endpoint sends: required headers are missing, the
    /// content is encoded, or the status means "not run" without the endpoint's
    /// confirmation.
    #[display("spoiled-answer")]
    Invalid,
    /// No response arrived in time.
    #[display("timeout")]
    Timeout,
    /// The response, or an event of it, is larger than the entry buffers.
    #[display("oversized-answer")]
    Oversized,
    /// The entry gave the request up because requests with the same content crash
    /// endpoints.
    #[display("withdrawn")]
    Withdrawn,
}

/// Head of a response, with the connection that carries its body.
#[derive(Debug)]
pub struct EndpointResponse {
    /// Status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Metadata parsed from the head.
    pub meta: ResponseMeta,
    /// The unread body.
    pub body: Incoming,
    /// Connection that carries the body.
    pub connection: Connection,
    /// Accounting of the request at the endpoint.
    pub in_flight: InFlight,
    /// Memory for what is buffered of the body.
    pub space: BufferSpace,
    /// Whether the body has neither a length nor chunks, so that it ends with its
    /// connection.
    pub unframed: bool,
}

impl EndpointResponse {
    /// Reads the whole body and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// [`Loss`] if the body is incomplete.
    pub async fn read_body(
        mut self,
        deadline: Instant,
    ) -> Result<CompleteResponse, Loss> {
        let endpoint = Arc::clone(self.in_flight.endpoint());
        let collect = collect_body(&mut self.body, &mut self.space);
        let bytes = match timeout_at(deadline, collect).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(loss)) => {
                endpoint.record_outcome(true);
                if loss == Loss::Oversized {
                    self.in_flight.resolve();
                }
                return Err(loss);
            }
            Err(_) => return Err(Loss::Timeout),
        };
        endpoint.record_activity();
        self.in_flight.resolve();
        self.connection.response_completed();
        if self.meta.reusable {
            endpoint
                .pool
                .release(self.connection, self.meta.idle_timeout);
        }
        Ok(CompleteResponse {
            status: self.status,
            headers: self.headers,
            bytes,
            space: self.space,
        })
    }
}

/// Reads a body to its end.
async fn collect_body(
    body: &mut Incoming,
    space: &mut BufferSpace,
) -> Result<Bytes, Loss> {
    let mut buffer = Buffer::new(MAX_BUFFERED_RESPONSE);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Loss::ConnectionBroken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let size = buffer.len() + data.len();
        if size > MAX_BUFFERED_RESPONSE {
            return Err(Loss::Oversized);
        }
        if size > buffer.capacity() {
            grow(&mut buffer, size, space).await?;
        }
        buffer.extend(&data);
    }
    Ok(buffer.freeze())
}

/// Grows a buffer to `size` bytes at least, of which all are accounted for.
async fn grow(
    buffer: &mut Buffer,
    size: usize,
    space: &mut BufferSpace,
) -> Result<(), Loss> {
    let doubled = buffer.next_capacity(size);
    let capacity = if space.fit(doubled) { doubled } else { size };
    if !space.fit_with_relief(capacity).await {
        return Err(Loss::Oversized);
    }
    buffer.grow(capacity).map_err(|error| {
        Event::new("buffer-unavailable")
            .field("bytes", capacity)
            .field("error", error)
            .warn();
        Loss::Oversized
    })
}

/// A complete response.
#[derive(Debug)]
pub struct CompleteResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub bytes: Bytes,
    /// Memory of the body.
    pub space: BufferSpace,
}

/// Sends a request to `endpoint` and waits for the head of the response.
pub async fn send(
    endpoint: &Arc<Endpoint>,
    dialect: &dyn EndpointDialect,
    outbound: &OutboundRequest,
    forward: &ForwardMeta<'_>,
    context: SendContext<'_>,
) -> SendOutcome {
    let mut in_flight =
        endpoint.begin_fetching(context.prompt, context.position, context.fetch);
    let request = build_request(dialect, outbound, forward, endpoint);
    let mut permit = None;
    let exposure = Exposure {
        in_flight: &mut in_flight,
        identity: context.identity,
    };
    let pooled =
        send_pooled(endpoint, request, &mut permit, exposure, context.deadline).await;
    // A pooled connection may have been closed before the request began to be written. A
    // new connection is tried once.
    let attempted = match pooled {
        Attempt::Unsent(request) => {
            let exposure = Exposure {
                in_flight: &mut in_flight,
                identity: context.identity,
            };
            send_new(endpoint, request, permit, exposure, context.deadline).await
        }
        other => other,
    };
    match attempted {
        Attempt::Head(response, connection) => {
            let space = context.buffers.open();
            let sent = Sent {
                in_flight,
                connection,
                space,
            };
            validate_head(dialect, response, sent, context.id)
        }
        Attempt::Unsent(_) => {
            endpoint.mark_unreachable();
            SendOutcome::Unsent
        }
        Attempt::ConnectFailed => SendOutcome::Unsent,
        Attempt::NotAdmitted(error) => SendOutcome::NotAdmitted(error),
        Attempt::Lost(Loss::Timeout) => {
            endpoint.record_timeout(false);
            SendOutcome::Lost(Loss::Timeout)
        }
        Attempt::Lost(loss) => {
            endpoint.record_outcome(true);
            SendOutcome::Lost(loss)
        }
    }
}

/// Result of one request on one connection.
enum Attempt {
    Head(Response<Incoming>, Connection),
    /// No byte was sent.
    Unsent(Request<Full<Bytes>>),
    /// No connection could be made; the endpoint's health record is already updated.
    ConnectFailed,
    /// The endpoint does not admit the request.
    NotAdmitted(AdmissionError),
    Lost(Loss),
}

/// Marks a request as exposed to the crash of its endpoint while it is sent.
struct Exposure<'a> {
    in_flight: &'a mut InFlight,
    identity: &'a Arc<RequestIdentity>,
}

/// Sends on a pooled connection, if there is one.
async fn send_pooled(
    endpoint: &Endpoint,
    request: Request<Full<Bytes>>,
    permit: &mut Option<Permit>,
    exposure: Exposure<'_>,
    deadline: Instant,
) -> Attempt {
    let Some(connection) = endpoint.pool.take() else {
        return Attempt::Unsent(request);
    };
    match endpoint.admit() {
        Ok(admitted) => *permit = Some(admitted),
        Err(error) => {
            endpoint.pool.release_unused(connection);
            return Attempt::NotAdmitted(error);
        }
    }
    attempt(connection, request, exposure, deadline).await
}

/// Sends on a new connection. The placement is older than the time to connect, and the
/// process may have been suspended meanwhile, so admission is checked again.
async fn send_new(
    endpoint: &Endpoint,
    request: Request<Full<Bytes>>,
    permit: Option<Permit>,
    exposure: Exposure<'_>,
    deadline: Instant,
) -> Attempt {
    let connection = match connect(endpoint, deadline).await {
        Ok(connection) => connection,
        Err(reason) => {
            match reason {
                ConnectError::Refused => endpoint.mark_unreachable(),
                ConnectError::TimedOut => endpoint.connect_timed_out(),
            }
            return Attempt::ConnectFailed;
        }
    };
    let admitted = match permit {
        Some(permit) => endpoint.readmit(permit),
        None => endpoint.admit().map(|_| ()),
    };
    match admitted {
        Ok(()) => attempt(connection, request, exposure, deadline).await,
        Err(error) => Attempt::NotAdmitted(error),
    }
}

async fn attempt(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    exposure: Exposure<'_>,
    deadline: Instant,
) -> Attempt {
    connection.request_started();
    exposure.in_flight.expose(exposure.identity);
    match timeout_at(deadline, connection.sender.try_send_request(request)).await {
        Err(_) => Attempt::Lost(Loss::Timeout),
        Ok(Ok(response)) => Attempt::Head(response, connection),
        Ok(Err(mut error)) => match error.take_message() {
            Some(request) => {
                exposure.in_flight.resolve();
                Attempt::Unsent(request)
            }
            None => Attempt::Lost(Loss::ConnectionBroken),
        },
    }
}

/// Properties of the caller's request that sending depends on.
#[derive(Clone, Copy, Debug)]
pub struct SendContext<'a> {
    /// Request id.
    pub id: &'a str,
    /// What is reported of the request if its endpoint ends under it.
    pub identity: &'a Arc<RequestIdentity>,
    /// Prompt.
    pub prompt: &'a Prompt,
    /// Position in the service's queue.
    pub position: &'a QueuePosition,
    /// Prefix that the endpoint fetches first.
    pub fetch: Option<&'a PrefixFetch>,
    /// Deadline.
    pub deadline: Instant,
    /// Memory for what is buffered of the response.
    pub buffers: &'a BufferPool,
}

/// What a request that was sent holds until its response is complete.
struct Sent {
    in_flight: InFlight,
    connection: Connection,
    space: BufferSpace,
}

async fn connect(
    endpoint: &Endpoint,
    deadline: Instant,
) -> Result<Connection, ConnectError> {
    let connected = timeout_at(deadline, pool::connect(endpoint.address)).await;
    connected.unwrap_or(Err(ConnectError::TimedOut))
}

fn build_request(
    dialect: &dyn EndpointDialect,
    outbound: &OutboundRequest,
    forward: &ForwardMeta<'_>,
    endpoint: &Endpoint,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outbound.body.bytes.clone()));
    *request.method_mut() = outbound.method.clone();
    *request.uri_mut() = outbound.target.clone().into();
    let headers = request.headers_mut();
    *headers = outbound.headers.clone();
    dialect.write(headers, forward);
    if !headers.contains_key(header::HOST)
        && let Ok(host) = endpoint.address.to_string().parse()
    {
        headers.insert(header::HOST, host);
    }
    request
}

/// Validates the head of a response.
fn validate_head(
    dialect: &dyn EndpointDialect,
    response: Response<Incoming>,
    sent: Sent,
    id: &str,
) -> SendOutcome {
    let Sent {
        mut in_flight,
        connection,
        space,
    } = sent;
    let (parts, body) = response.into_parts();
    let meta = dialect.read(parts.status, &parts.headers);
    let endpoint = Arc::clone(in_flight.endpoint());
    let endpoint = &endpoint;
    if meta.request_id.as_deref().is_some_and(|other| other != id) {
        endpoint.record_outcome(true);
        return SendOutcome::Lost(Loss::Mismatched);
    }
    // Only a response to this very request shows that the intended run is alive: at the
    // address of a run that has ended, its successor refuses as misdirected.
    let misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
    if meta.request_id.is_some() && !misdirected {
        endpoint.record_activity();
        in_flight.record_answered();
        in_flight.record_first_byte();
        if let Some(load) = meta.load {
            endpoint.set_load(load);
        }
        if meta.leaving {
            endpoint.update_leaving(true);
        }
        endpoint.apply_announced_limit(meta.limit);
        if is_overloaded(parts.status) {
            endpoint.record_rejection(meta.retry);
        }
    }
    if meta.not_run {
        let reason = match parts.status {
            StatusCode::MISDIRECTED_REQUEST => Refusal::Misdirected,
            StatusCode::SERVICE_UNAVAILABLE => Refusal::Full,
            StatusCode::TOO_MANY_REQUESTS => Refusal::Full,
            _ => Refusal::Expired,
        };
        in_flight.resolve();
        if reason == Refusal::Misdirected {
            // The connection leads to another run.
            endpoint.record_misdirected();
        } else {
            drain_refusal(body, connection, &meta, Arc::clone(endpoint));
        }
        return SendOutcome::Refused(reason);
    }
    // These statuses mean "not run", but the endpoint did not confirm it.
    let unconfirmed =
        is_overloaded(parts.status) || parts.status == StatusCode::REQUEST_TIMEOUT;
    let invalid = unconfirmed
        || meta.request_id.is_none()
        || parts.headers.contains_key(header::CONTENT_ENCODING);
    if invalid || (parts.status.is_success() && !meta.proof) {
        endpoint.record_outcome(true);
        return SendOutcome::Lost(Loss::Invalid);
    }
    endpoint.record_outcome(parts.status.is_server_error());
    if parts.status.is_success() {
        in_flight.record_prefix();
    }
    let mut headers = parts.headers;
    let unframed = !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING);
    strip_hop_by_hop(&mut headers);
    SendOutcome::Answered(Box::new(EndpointResponse {
        status: parts.status,
        headers,
        meta,
        body,
        connection,
        in_flight,
        space,
        unframed,
    }))
}

/// Whether the status means that the endpoint accepts no requests at the moment.
fn is_overloaded(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

/// Reads the body of a refusal to its end, so that the connection can be reused.
fn drain_refusal(
    mut body: Incoming,
    connection: Connection,
    meta: &ResponseMeta,
    endpoint: Arc<Endpoint>,
) {
    if !meta.reusable {
        return;
    }
    let idle_timeout = meta.idle_timeout;
    tokio::spawn(async move {
        let end = Instant::now() + REFUSAL_TIMEOUT;
        if let Ok(true) = timeout_at(end, discard_body(&mut body)).await {
            endpoint.pool.release(connection, idle_timeout);
        }
    });
}

/// Reads a short body and drops it. Returns whether it ended.
async fn discard_body(body: &mut Incoming) -> bool {
    let mut size = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        size += frame.data_ref().map_or(0, Bytes::len);
        if size > MAX_REFUSAL_BODY {
            return false;
        }
    }
    true
}

/// Removes hop-by-hop headers.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
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
