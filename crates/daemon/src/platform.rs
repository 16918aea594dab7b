//! The platform's list of live and leaving instances.
//!
//! The list lags, so it is only ever used to stop giving work to an instance,
//! never to decide that one is healthy. It is read through a trait because
//! each platform offers it in its own way; a file and an HTTP address are
//! provided. Both hold the same JSON:
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

/// Largest list that is read.
const MAX_LIST: usize = 16 * 1024 * 1024;
/// Longest wait for the list.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// One instance as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Instance {
    /// Its IP number.
    pub address: IpAddr,
    /// Whether the platform is about to stop it.
    #[serde(default)]
    pub leaving: bool,
}

/// The whole list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Instances {
    /// Listed instances.
    pub instances: Vec<Instance>,
}

impl Instances {
    /// Whether `address` is listed as leaving.
    pub fn leaving(&self, address: IpAddr) -> bool {
        let mut listed = self.instances.iter();
        listed.any(|instance| instance.address == address && instance.leaving)
    }
}

/// The list could not be read; the last one stays in use.
#[derive(Debug, Display, Error)]
#[display("can't read the platform's list; check `platform` in the settings")]
pub struct ListError;

/// A list being fetched.
pub type Fetch<'a> =
    Pin<Box<dyn Future<Output = Result<Instances, Report<ListError>>> + Send + 'a>>;

/// Source of the platform's list.
pub trait PlatformList: Send + Sync + Debug {
    /// Reads the list as it is now.
    fn fetch(&self) -> Fetch<'_>;
}

/// A list in a file that the platform rewrites.
#[derive(Debug)]
pub struct FileList {
    /// Path of the file.
    pub path: PathBuf,
}

impl PlatformList for FileList {
    fn fetch(&self) -> Fetch<'_> {
        Box::pin(async {
            let text = tokio::fs::read(&self.path)
                .await
                .change_context(ListError)?;
            serde_json::from_slice(&text).change_context(ListError)
        })
    }
}

/// A list that the platform serves over HTTP.
#[derive(Debug)]
pub struct HttpList {
    /// Address of the platform's server.
    pub address: SocketAddr,
    /// Path of the list, starting with a slash.
    pub path: String,
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl HttpList {
    /// Reads the list at `path` of `address`.
    pub fn new(address: SocketAddr, path: String) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self {
            address,
            path,
            client,
        }
    }

    async fn get(&self) -> Result<Instances, Report<ListError>> {
        let target = format!("http://{}{}", self.address, self.path);
        let target = target.parse().change_context(ListError)?;
        let response = self.client.get(target).await.change_context(ListError)?;
        if !response.status().is_success() {
            return Err(Report::new(ListError));
        }
        let body = Limited::new(response.into_body(), MAX_LIST);
        let bytes = body.collect().await.map_err(|_| ListError)?.to_bytes();
        serde_json::from_slice(&bytes).change_context(ListError)
    }
}

impl PlatformList for HttpList {
    fn fetch(&self) -> Fetch<'_> {
        Box::pin(async {
            let got = tokio::time::timeout(FETCH_TIMEOUT, self.get()).await;
            got.change_context(ListError)?
        })
    }
}
