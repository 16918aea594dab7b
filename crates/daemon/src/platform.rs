//! The platform's list of live and leaving instances.
//!
//! The list lags behind the instances. It is therefore used only to stop sending work to
//! an instance, never as evidence that one is healthy. Platforms publish it in different
//! ways, so it is read through the trait [`PlatformList`]; implementations for a file and
//! for an HTTP URL are provided. Both read the same JSON:
//! `{"instances":[{"address":"10.0.0.7","leaving":true}]}`.

use bytes::Bytes;
use derive_more::{Display, Error};
use error_stack::{Report, ResultExt};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use std::fmt::Debug;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::pin::Pin;
use std::time::Duration;

/// Largest body that is accepted from an HTTP server.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;
/// Timeout of one HTTP read, body included.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// One instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Instance {
    /// IP address, without a port: it covers everything on that instance.
    pub address: IpAddr,
    /// Whether the platform is about to stop the instance; `false` if the key is absent.
    #[serde(default)]
    pub leaving: bool,
}

/// The whole list, the top-level JSON object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Instances {
    /// Listed instances, in no particular order.
    pub instances: Vec<Instance>,
}

impl Instances {
    /// Whether `address` is listed as leaving.
    pub fn is_leaving(&self, address: IpAddr) -> bool {
        let mut listed = self.instances.iter();
        listed.any(|instance| instance.address == address && instance.leaving)
    }
}

/// The list can't be read; the list read last stays in use.
#[derive(Debug, Display, Error)]
#[display("can't read the platform's list; check `platform` in the settings")]
pub struct PlatformListError;

/// Future of [`PlatformList::fetch`].
pub type FetchFuture<'a> = Pin<
    Box<dyn Future<Output = Result<Instances, Report<PlatformListError>>> + Send + 'a>,
>;

/// A source of the platform's list.
pub trait PlatformList: Send + Sync + Debug {
    /// Reads the current list. The future fails with [`PlatformListError`] if the source
    /// can't be read or its content is not a valid list.
    fn fetch(&self) -> FetchFuture<'_>;
}

/// A list in a file, which the platform rewrites.
#[derive(Debug)]
pub struct FileList {
    /// Path of the JSON file.
    pub path: PathBuf,
}

impl PlatformList for FileList {
    fn fetch(&self) -> FetchFuture<'_> {
        Box::pin(async {
            let text = tokio::fs::read(&self.path)
                .await
                .change_context(PlatformListError)?;
            serde_json::from_slice(&text).change_context(PlatformListError)
        })
    }
}

/// A list that the platform serves over HTTP.
#[derive(Debug)]
pub struct HttpList {
    /// Address of the HTTP server of the platform.
    pub address: SocketAddr,
    /// Path of the list, starting with a slash.
    pub path: String,
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl HttpList {
    /// A list at `http://{address}{path}`. No connection is made before the first fetch.
    pub fn new(address: SocketAddr, path: String) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self {
            address,
            path,
            client,
        }
    }

    async fn get(&self) -> Result<Instances, Report<PlatformListError>> {
        let target = format!("http://{}{}", self.address, self.path);
        let target = target.parse().change_context(PlatformListError)?;
        let response = self
            .client
            .get(target)
            .await
            .change_context(PlatformListError)?;
        if !response.status().is_success() {
            return Err(Report::new(PlatformListError));
        }
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES);
        let bytes = body
            .collect()
            .await
            .map_err(|_| PlatformListError)?
            .to_bytes();
        serde_json::from_slice(&bytes).change_context(PlatformListError)
    }
}

impl PlatformList for HttpList {
    fn fetch(&self) -> FetchFuture<'_> {
        Box::pin(async {
            let result = tokio::time::timeout(FETCH_TIMEOUT, self.get()).await;
            result.change_context(PlatformListError)?
        })
    }
}
