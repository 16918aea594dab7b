//! Reading the entries' counts.

use bytes::Bytes;
use dogwoodhill_core::burn::Ring;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Longest wait for one entry.
const PATIENCE: Duration = Duration::from_secs(5);
/// Largest answer.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// Client of the entries.
#[derive(Debug)]
pub struct Entries {
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl Default for Entries {
    fn default() -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { client }
    }
}

impl Entries {
    /// The counts of the entry at `address`; `None` where it can't be read.
    pub async fn rings(&self, address: SocketAddr) -> Option<Vec<Ring>> {
        timeout(PATIENCE, self.get(address)).await.ok().flatten()
    }

    async fn get(&self, address: SocketAddr) -> Option<Vec<Ring>> {
        let target = format!("http://{address}/v1/burn").parse().ok()?;
        let response = self.client.get(target).await.ok()?;
        let body = Limited::new(response.into_body(), MAX_ANSWER);
        let bytes = body.collect().await.ok()?.to_bytes();
        serde_json::from_slice(&bytes).ok()
    }
}
