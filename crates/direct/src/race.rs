//! Racing a response against a reason to abandon its endpoint, with priority to the
//! response.
//!
//! While a request waits at an endpoint, the entry checks repeatedly whether the endpoint
//! is lost or another one is likely to respond earlier. If the response is ready at the
//! time of such a check, abandoning the endpoint would discard finished work and run an
//! idempotent request twice without need.

/// Which future completed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Winner<A, L> {
    /// The response.
    Response(A),
    /// The reason to abandon the endpoint; no response was ready.
    Abandon(L),
}

/// Waits for either future. If both are ready, the response wins and `abandon` is not
/// polled, so that its side effects do not happen.
pub async fn race_response<A, L>(
    response: impl Future<Output = A>,
    abandon: impl Future<Output = L>,
) -> Winner<A, L> {
    tokio::select! {
        biased;
        response = response => Winner::Response(response),
        reason = abandon => Winner::Abandon(reason),
    }
}
