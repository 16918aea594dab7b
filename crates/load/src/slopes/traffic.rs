//! Processor time of entry and agent per request and per token.

use super::Table;
use crate::latency::router_cpu_per_request;
use dogwoodhill_core::prelude::*;

/// Answer lengths in tokens.
const ANSWER_TOKENS: [u32; 4] = [1, 8, 32, 128];
/// Concurrent streams; enough that writes are shared, too few to saturate the machine.
const STREAMS: u32 = 64;
/// Length of each measurement.
const DURATION: Duration = Duration::from_secs(4);

/// Measures the processor time of entry and agent together. The slope is the cost of a
/// token, the intercept that of a request.
pub async fn measure() -> Table {
    let mut table = Table::new(
        "Traffic (entry and agent together, 64 streams)",
        &["tokens a request", "cpu us/request"],
    );
    for tokens in ANSWER_TOKENS {
        let cpu = router_cpu_per_request(STREAMS, tokens, DURATION).await;
        table.add_row(&[f64::from(tokens), cpu.as_micros() as f64]);
    }
    table
}
