//! The start of a stream: the response to the caller begins with the first event.

use super::{Dispatch, build_response, loss_cause};
use crate::exchange::CompleteResponse;
use crate::response::{RefusalCause, ResponseBody};
use crate::stream::{CHANNEL_CAPACITY, EventSource, Pauses, Relay, StreamItem};
use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::timeout_at;

/// Result of waiting for the first event of a stream.
pub(super) enum StreamStart {
    /// A response for the caller.
    Responded(Response<ResponseBody>),
    /// The endpoint was lost before the first event; another one may be tried.
    Lost(Box<Dispatch>),
}

impl Dispatch {
    /// Waits for the first event of a stream, then responds with the stream.
    pub(super) async fn start_stream(mut self, mut source: EventSource) -> StreamStart {
        let first = timeout_at(self.deadline, source.next()).await;
        let events = match first {
            Err(_) => {
                return StreamStart::Responded(self.conclude(RefusalCause::Timeout));
            }
            Ok(StreamItem::Broken(loss)) => {
                self.log_endpoint_abandoned(source.endpoint(), loss);
                let endpoint = Arc::clone(source.endpoint());
                self.record_loss(&endpoint, loss).await;
                if !self.is_idempotent() {
                    return StreamStart::Responded(self.refuse(loss_cause(loss)));
                }
                return StreamStart::Lost(Box::new(self));
            }
            Ok(StreamItem::End) => {
                self.start_counter.count();
                let (status, headers) = response_head(&source);
                source.release();
                let bytes = Bytes::new();
                let space = self.shared.buffers.open();
                return StreamStart::Responded(self.deliver(CompleteResponse {
                    status,
                    headers,
                    bytes,
                    space,
                }));
            }
            Ok(StreamItem::Events(events)) => events,
        };
        self.start_counter.count();
        source.record_begun();
        self.record_stream_begun(source.endpoint());
        self.share_responded();
        let (status, headers) = response_head(&source);
        self.record().answered(status.as_u16());
        let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let record = self.record.take().expect("record already taken");
        let relay = Relay {
            last: None,
            dispatch: self,
            source: Some(source),
            sender,
            record,
            pauses: Pauses::start(),
        };
        tokio::spawn(relay.run(events));
        StreamStart::Responded(build_response(
            status,
            headers,
            ResponseBody::stream(receiver),
        ))
    }
}

fn response_head(source: &EventSource) -> (StatusCode, HeaderMap) {
    let response = source.response();
    (response.status, response.headers.clone())
}
