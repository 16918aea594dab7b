//! Fetches the request counts of the entries over HTTP.

use bytes::Bytes;
use dogwoodhill_core::burn::Ring;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Longest wait for the whole response of one entry.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest response body that is accepted.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// HTTP client for the `/v1/burn` route of entries.
#[derive(Debug)]
pub struct EntryClient {
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl Default for EntryClient {
    fn default() -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { client }
    }
}

impl EntryClient {
    /// Fetches the counts of the entry at `address`; `None` on a timeout, a connection
    /// error or an invalid response.
    pub async fn rings(&self, address: SocketAddr) -> Option<Vec<Ring>> {
        timeout(ENTRY_TIMEOUT, self.get(address))
            .await
            .ok()
            .flatten()
    }

    async fn get(&self, address: SocketAddr) -> Option<Vec<Ring>> {
        let uri = format!("http://{address}/v1/burn").parse().ok()?;
        let response = self.client.get(uri).await.ok()?;
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES);
        let bytes = body.collect().await.ok()?.to_bytes();
        serde_json::from_slice(&bytes).ok()
    }
}
