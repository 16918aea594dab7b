//! Waiting for an answer and for a reason to leave, where the answer goes first.
//!
//! A request that waits at an endpoint is looked at every now and then: whether the
//! endpoint is lost, whether another one would do better. In the instant in which that
//! is decided the answer may be there already. Leaving then would throw work away that
//! is done, and run an idempotent request twice for nothing.

/// What came first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum First<A, L> {
    /// The answer.
    Answer(A),
    /// The reason to leave, and no answer until then.
    Leave(L),
}

/// Waits for either; where both are there, it is the answer that counts, and nothing
/// that `leave` would do at its end is done.
pub async fn answer_first<A, L>(
    answer: impl Future<Output = A>,
    leave: impl Future<Output = L>,
) -> First<A, L> {
    tokio::select! {
        biased;
        answer = answer => First::Answer(answer),
        reason = leave => First::Leave(reason),
    }
}
