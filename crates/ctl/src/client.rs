//! HTTP client for the operators' API of the control instances.

use crate::{CommandError, Exit};
use bytes::Bytes;
use dogwoodhill_control::operators::ErrorBody;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Timeout of one call to one instance.
const INSTANCE_TIMEOUT: Duration = Duration::from_secs(4);
/// Number of times that all instances are tried before a command fails.
const MAX_ROUNDS: usize = 3;
/// Delay between two rounds.
const ROUND_DELAY: Duration = Duration::from_millis(500);

/// Client of the control instances, with an operator's key.
#[derive(Debug)]
pub struct OperatorClient {
    control: Vec<SocketAddr>,
    key: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A response with its whole body.
struct ControlResponse {
    status: StatusCode,
    body: Bytes,
}

impl OperatorClient {
    /// A client of the instances at `control`, which authenticates with `key`. No
    /// connection is made before the first call.
    pub fn new(control: Vec<SocketAddr>, key: String) -> Self {
        Self {
            control,
            key,
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Calls the instances in turn until one answers with a status other than 503. Calls
    /// are idempotent, so they may be repeated after a timeout or a lost response.
    ///
    /// # Errors
    ///
    /// [`CommandError`] with the exit code for the status of the response. If no response
    /// arrives, the exit code is [`Exit::Unconfirmed`] for `PUT`, since the change may have
    /// come into force, and [`Exit::Failed`] otherwise.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: &str,
    ) -> Result<Bytes, CommandError> {
        let mut last = CommandError::new(
            Exit::Failed,
            "no control instance answered; check --control and the network",
        );
        for round in 0..MAX_ROUNDS {
            if round > 0 {
                sleep(ROUND_DELAY).await;
            }
            for address in &self.control {
                let call = self.send(*address, method.clone(), path, body);
                match timeout(INSTANCE_TIMEOUT, call).await {
                    Ok(Some(response)) => match check_status(response) {
                        Err(error) if error.exit == Exit::Unconfirmed => {
                            last = error;
                        }
                        result => return result,
                    },
                    _ if method == Method::PUT => last.exit = Exit::Unconfirmed,
                    _ => {}
                }
            }
        }
        Err(last)
    }

    /// Sends a `GET` request and parses the response body as JSON.
    ///
    /// # Errors
    ///
    /// [`CommandError`] of [`OperatorClient::call`], or with [`Exit::Failed`] if the body
    /// can't be parsed.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        let body = self.call(Method::GET, path, "").await?;
        serde_json::from_slice(&body).map_err(|error| {
            let text = format!("unreadable answer: {error}; run one version everywhere");
            CommandError::new(Exit::Failed, text)
        })
    }

    async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: &str,
    ) -> Option<ControlResponse> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .body(Full::from(body.to_string()))
            .ok()?;
        let (head, body) = self.client.request(request).await.ok()?.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(ControlResponse {
            status: head.status,
            body,
        })
    }
}

/// Returns the body of a successful response; converts any other status to an error with
/// its exit code.
fn check_status(response: ControlResponse) -> Result<Bytes, CommandError> {
    if response.status.is_success() {
        return Ok(response.body);
    }
    let text = match serde_json::from_slice::<ErrorBody>(&response.body) {
        Ok(error) => error.error,
        Err(_) => format!("the instance answered {}", response.status),
    };
    let exit = match response.status {
        StatusCode::BAD_REQUEST => Exit::InvalidInput,
        StatusCode::CONFLICT => Exit::Conflict,
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => Exit::Forbidden,
        StatusCode::SERVICE_UNAVAILABLE => Exit::Unconfirmed,
        _ => Exit::Failed,
    };
    Err(CommandError::new(exit, text))
}
