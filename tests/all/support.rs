//! What tests over sockets share.

use bytes::Bytes;
use dogwoodhill::core::document::ServiceDocument;
use dogwoodhill::daemon::drain::Drain;
use dogwoodhill::entry::table::Service;
use dogwoodhill::entry::{Entry, Settings};
use dogwoodhill::local::{
    LocalConfig, LocalDeployment, OPERATOR_KEY, SAMPLE_KEY, model_document,
};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// A folder of its own for one test, removed when it is dropped.
pub(crate) struct Folder(pub(crate) PathBuf);

impl Folder {
    pub(crate) fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("dogwoodhill-test-{}-{number}", std::process::id());
        Self(std::env::temp_dir().join(name))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// An address with a free port.
pub(crate) fn free() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The all-in-one deployment on free ports.
pub(crate) struct Running {
    pub(crate) local: LocalDeployment,
    pub(crate) drain: Drain,
    _folder: Folder,
}

impl Running {
    pub(crate) async fn start() -> Self {
        let drain = Drain::default();
        let folder = Folder::new();
        let config = LocalConfig {
            caller_address: free(),
            operator_address: free(),
            data_dir: folder.0.clone(),
        };
        let local = LocalDeployment::start(config, drain.clone()).await.unwrap();
        Self {
            local,
            drain,
            _folder: folder,
        }
    }

    pub(crate) async fn stop(self) {
        self.drain.begin();
        self.local.finish().await;
    }

    /// Calls the entry.
    pub(crate) async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Response<String> {
        send(request(
            method,
            self.local.caller_address,
            path,
            headers,
            body,
        ))
        .await
    }

    /// Calls the control instance as the sample team.
    pub(crate) async fn operate(
        &self,
        method: &str,
        path: &str,
        body: &str,
    ) -> Response<String> {
        let mut asked = request(method, self.local.operator_address, path, &[], body);
        let key = format!("Bearer {OPERATOR_KEY}").parse().unwrap();
        asked.headers_mut().insert("authorization", key);
        send(asked).await
    }

    /// The document in force.
    pub(crate) async fn document(&self, service: &str) -> String {
        let path = format!("/v1/services/{service}");
        self.operate("GET", &path, "").await.into_body()
    }

    /// Sends a chat request.
    pub(crate) async fn chat(
        &self,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Response<String> {
        self.call("POST", "/v1/chat/completions", headers, body)
            .await
    }
}

/// An entry alone, with the sample model service on the agent at `agent`.
pub(crate) struct Alone {
    pub(crate) callers: SocketAddr,
    drain: Drain,
    task: tokio::task::JoinHandle<()>,
}

impl Alone {
    pub(crate) async fn start(agent: SocketAddr) -> Self {
        let drain = Drain::default();
        let mut settings = Settings::new("alone".to_string(), "local".to_string());
        settings.linger = Duration::ZERO;
        let entry = Entry::bind(settings, drain.clone()).await.unwrap();
        let text = model_document(agent, agent);
        let service = Service {
            revision: 1,
            document: Arc::new(ServiceDocument::parse("sample", &text).unwrap()),
        };
        entry.core().install(1, vec![service]);
        Self {
            callers: entry.address(),
            drain,
            task: tokio::spawn(entry.run()),
        }
    }

    pub(crate) async fn chat(
        &self,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Response<String> {
        let path = "/v1/chat/completions";
        send(request("POST", self.callers, path, headers, body)).await
    }

    pub(crate) async fn stop(self) {
        self.drain.begin();
        self.task.await.unwrap();
    }
}

/// A request to `address` with the sample key.
pub(crate) fn request(
    method: &str,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {SAMPLE_KEY}"));
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::from(body.to_string())).unwrap()
}

/// Sends a request and reads the whole answer.
pub(crate) async fn send(request: Request<Full<Bytes>>) -> Response<String> {
    try_send(request).await.expect("an answer")
}

/// The same where there may be no answer.
pub(crate) async fn try_send(request: Request<Full<Bytes>>) -> Option<Response<String>> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let (head, body) = client.request(request).await.ok()?.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(Response::from_parts(
        head,
        String::from_utf8(body.to_vec()).ok()?,
    ))
}

/// A header of an answer, or an empty text.
pub(crate) fn header<'r, B>(response: &'r Response<B>, name: &str) -> &'r str {
    let value = response.headers().get(name);
    value.map_or("", |value| value.to_str().unwrap())
}

/// Body of a chat request.
pub(crate) fn chat(prompt: &str, tokens: u32, stream: bool) -> String {
    format!(
        r#"{{"model":"chat","stream":{stream},"max_tokens":{tokens},
        "messages":[{{"role":"user","content":"{prompt}"}}]}}"#
    )
}

/// The text a streamed answer carries.
pub(crate) fn streamed_text(body: &str) -> String {
    let mut text = String::new();
    for line in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if let Ok(event) = serde_json::from_str::<serde_json::Value>(line) {
            let piece = event["choices"][0]["delta"]["content"].as_str();
            text.push_str(piece.unwrap_or(""));
        }
    }
    text
}
