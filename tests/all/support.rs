//! Fixtures and request helpers shared by the tests over sockets.

use bytes::Bytes;
use dogwoodhill::core::document::ServiceDocument;
use dogwoodhill::daemon::drain::Drain;
use dogwoodhill::entry::entry::Core;
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

/// The unique path of a temporary folder. The folder is not created here; it is removed
/// on drop.
pub(crate) struct TempFolder(pub(crate) PathBuf);

impl TempFolder {
    pub(crate) fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("dogwoodhill-test-{}-{number}", std::process::id());
        Self(std::env::temp_dir().join(name))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns a loopback address with port 0, for which the system selects a free port.
pub(crate) fn ephemeral_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The all-in-one deployment on ephemeral ports.
pub(crate) struct TestDeployment {
    pub(crate) local: LocalDeployment,
    pub(crate) drain: Drain,
    _data_folder: TempFolder,
}

impl TestDeployment {
    pub(crate) async fn start() -> Self {
        let drain = Drain::default();
        let data_folder = TempFolder::new();
        let config = LocalConfig {
            caller_address: ephemeral_address(),
            operator_address: ephemeral_address(),
            data_dir: data_folder.0.clone(),
        };
        let local = LocalDeployment::start(config, drain.clone()).await.unwrap();
        Self {
            local,
            drain,
            _data_folder: data_folder,
        }
    }

    pub(crate) async fn stop(self) {
        self.drain.begin();
        self.local.finish().await;
    }

    /// Sends a request to the entry and returns the complete response.
    pub(crate) async fn call_entry(
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

    /// Sends a request to the operators' address of the control instance, with the key of
    /// the sample team.
    pub(crate) async fn call_control(
        &self,
        method: &str,
        path: &str,
        body: &str,
    ) -> Response<String> {
        let mut request = request(method, self.local.operator_address, path, &[], body);
        let key = format!("Bearer {OPERATOR_KEY}").parse().unwrap();
        request.headers_mut().insert("authorization", key);
        send(request).await
    }

    /// Returns the text of the document in force for `service`.
    pub(crate) async fn document(&self, service: &str) -> String {
        let path = format!("/v1/services/{service}");
        self.call_control("GET", &path, "").await.into_body()
    }

    /// Sends a chat request to the entry and returns the complete response.
    pub(crate) async fn chat(
        &self,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Response<String> {
        self.call_entry("POST", "/v1/chat/completions", headers, body)
            .await
    }
}

/// An entry without control instances. It serves the sample model service, whose only
/// endpoint is behind the agent at `agent`.
pub(crate) struct StandaloneEntry {
    pub(crate) caller_address: SocketAddr,
    core: Arc<Core>,
    document: ServiceDocument,
    drain: Drain,
    task: tokio::task::JoinHandle<()>,
}

impl StandaloneEntry {
    pub(crate) async fn start(agent: SocketAddr) -> Self {
        let drain = Drain::default();
        let mut settings = Settings::new("alone".to_string(), "local".to_string());
        settings.linger = Duration::ZERO;
        let entry = Entry::bind(settings, drain.clone()).await.unwrap();
        let text = model_document(agent, agent);
        let document = ServiceDocument::parse("sample", &text).unwrap();
        let service = Service {
            revision: 1,
            document: Arc::new(document.clone()),
        };
        let core = entry.core();
        core.install(1, vec![service]);
        Self {
            caller_address: entry.address(),
            core,
            document,
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
        send(request("POST", self.caller_address, path, headers, body)).await
    }

    /// Installs the service without endpoints.
    pub(crate) fn withdraw_endpoints(&self) {
        let document = ServiceDocument {
            endpoints: Vec::new(),
            ..self.document.clone()
        };
        let service = Service {
            revision: 2,
            document: Arc::new(document),
        };
        self.core.install(2, vec![service]);
    }

    pub(crate) async fn stop(self) {
        self.drain.begin();
        self.task.await.unwrap();
    }
}

/// Builds a request to `address` that is authorized with the sample workspace key.
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

/// Sends `request` and returns the response with its complete body.
pub(crate) async fn send(request: Request<Full<Bytes>>) -> Response<String> {
    try_send(request).await.expect("a complete response")
}

/// Sends `request` and returns the response, or `None` if the connection fails, the body
/// is cut short or the body is not UTF-8.
pub(crate) async fn try_send(request: Request<Full<Bytes>>) -> Option<Response<String>> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let (head, body) = client.request(request).await.ok()?.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(Response::from_parts(
        head,
        String::from_utf8(body.to_vec()).ok()?,
    ))
}

/// Returns a header of `response`, or an empty string if the header is absent.
pub(crate) fn header<'r, B>(response: &'r Response<B>, name: &str) -> &'r str {
    let value = response.headers().get(name);
    value.map_or("", |value| value.to_str().unwrap())
}

/// Builds the body of a chat request with at most `max_tokens` tokens of output.
pub(crate) fn chat_body(prompt: &str, max_tokens: u32, stream: bool) -> String {
    format!(
        r#"{{"model":"chat","stream":{stream},"max_tokens":{max_tokens},
        "messages":[{{"role":"user","content":"{prompt}"}}]}}"#
    )
}

/// Returns the text that the events of a streamed response contain.
pub(crate) fn streamed_text(body: &str) -> String {
    let mut text = String::new();
    for line in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if let Ok(event) = serde_json::from_str::<serde_json::Value>(line) {
            let content = event["choices"][0]["delta"]["content"].as_str();
            text.push_str(content.unwrap_or(""));
        }
    }
    text
}
