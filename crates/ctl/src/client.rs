//! Calls to the operators' interface of the control instances.

use crate::{Exit, Failure};
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

/// Longest wait for one instance.
const PER_INSTANCE: Duration = Duration::from_secs(4);
/// Rounds over all instances before a command gives up.
const ROUNDS: usize = 3;
/// Pause between rounds.
const PAUSE: Duration = Duration::from_millis(500);

/// The control instances, as an operator sees them.
#[derive(Debug)]
pub struct Operator {
    control: Vec<SocketAddr>,
    key: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// An answer.
struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Operator {
    /// Calls the instances at `control` with `key`.
    pub fn new(control: Vec<SocketAddr>, key: String) -> Self {
        Self {
            control,
            key,
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Calls instances in turn until one answers. All calls may be repeated.
    ///
    /// # Errors
    ///
    /// [`Failure`] with the exit code of the answer.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: &str,
    ) -> Result<Bytes, Failure> {
        let mut last = Failure::new(
            Exit::Failed,
            "no control instance answered; check --control and the network",
        );
        for round in 0..ROUNDS {
            if round > 0 {
                sleep(PAUSE).await;
            }
            for address in &self.control {
                let sent = self.send(*address, method.clone(), path, body);
                match timeout(PER_INSTANCE, sent).await {
                    Ok(Some(answer)) => match judge(answer) {
                        Err(failure) if failure.exit == Exit::Unconfirmed => {
                            last = failure;
                        }
                        judged => return judged,
                    },
                    _ if method == Method::PUT => last.exit = Exit::Unconfirmed,
                    _ => {}
                }
            }
        }
        Err(last)
    }

    /// Calls, and reads the answer as JSON.
    ///
    /// # Errors
    ///
    /// [`Failure`].
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let body = self.call(Method::GET, path, "").await?;
        serde_json::from_slice(&body).map_err(|error| {
            let text = format!("unreadable answer: {error}; run one version everywhere");
            Failure::new(Exit::Failed, text)
        })
    }

    async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: &str,
    ) -> Option<Answer> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .body(Full::from(body.to_string()))
            .ok()?;
        let (head, body) = self.client.request(request).await.ok()?.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Answer {
            status: head.status,
            body,
        })
    }
}

fn judge(answer: Answer) -> Result<Bytes, Failure> {
    if answer.status.is_success() {
        return Ok(answer.body);
    }
    let text = match serde_json::from_slice::<ErrorBody>(&answer.body) {
        Ok(error) => error.error,
        Err(_) => format!("the instance answered {}", answer.status),
    };
    let exit = match answer.status {
        StatusCode::BAD_REQUEST => Exit::Faulty,
        StatusCode::CONFLICT => Exit::Conflict,
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => Exit::Forbidden,
        StatusCode::SERVICE_UNAVAILABLE => Exit::Unconfirmed,
        _ => Exit::Failed,
    };
    Err(Failure::new(exit, text))
}
