//! What tests over sockets share.

use bytes::Bytes;
use dogwoodhill::daemon::drain::Drain;
use dogwoodhill::local::{Local, Places, SAMPLE_KEY};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::time::Duration;

/// Starts the all-in-one deployment on free ports.
pub(crate) async fn local() -> (Local, Drain) {
    let drain = Drain::default();
    let places = Places {
        callers: SocketAddr::from(([127, 0, 0, 1], 0)),
        linger: Duration::ZERO,
    };
    let local = Local::start(places, drain.clone()).await.unwrap();
    (local, drain)
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
    let client = Client::builder(TokioExecutor::new()).build_http();
    let (head, body) = client.request(request).await.unwrap().into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    Response::from_parts(head, String::from_utf8(body.to_vec()).unwrap())
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
