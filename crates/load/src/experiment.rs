//! Runs scenarios with several placement policies and seeds, and formats the comparison.

use crate::deployment::Deployment;
use crate::driver::{LoadClient, plan};
use crate::outcome::{RequestResult, RunOutcome};
use crate::scenario::{FaultKind, Scenario, Suite};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::placement::Policy;
use dogwoodhill_standin::faults::Fault;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// Time limit for outstanding answers after the last request was sent.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(45);
/// Factor by which [`FaultKind::Slow`] slows an endpoint down.
const SLOWDOWN_FACTOR: u32 = 6;

/// Runs `scenario` once, on a new deployment of `suite`.
pub async fn run(
    suite: &Suite,
    scenario: &Scenario,
    policy: Policy,
    seed: u64,
) -> RunOutcome {
    let mut suite = suite.clone();
    suite.engine.report_lag = scenario.report_lag;
    let mut deployment = Deployment::start(&suite, policy).await;
    let entries = Arc::new(RwLock::new(deployment.entries()));
    let client = LoadClient::default();
    let planned = plan(&suite, scenario, seed);
    let start = Instant::now();
    let sending = tokio::spawn(send_requests(
        client,
        suite.clone(),
        planned,
        Arc::clone(&entries),
        start,
    ));
    inject_faults(&mut deployment, scenario, &entries, start).await;
    let results = sending.await.unwrap_or_default();
    let outcome = RunOutcome::new(
        &suite,
        &results,
        deployment.generated_tokens(),
        start.elapsed(),
    );
    deployment.stop().await;
    outcome
}

async fn send_requests(
    client: LoadClient,
    suite: Suite,
    planned: Vec<crate::driver::PlannedRequest>,
    entries: Arc<RwLock<Vec<SocketAddr>>>,
    start: Instant,
) -> Vec<RequestResult> {
    let mut tasks = JoinSet::new();
    let count = planned.len();
    for (number, request) in planned.into_iter().enumerate() {
        let due = start + request.at;
        sleep_until(due).await;
        let entry = {
            let entries = entries.read().expect("not poisoned");
            entries[number % entries.len()]
        };
        let client = client.clone();
        let class = suite.classes[request.class].name.clone();
        tasks.spawn(async move { client.send(entry, &class, &request, due).await });
    }
    let end = Instant::now() + ANSWER_TIMEOUT;
    let mut results = Vec::with_capacity(count);
    while let Ok(Some(done)) = tokio::time::timeout_at(end, tasks.join_next()).await {
        results.extend(done);
    }
    // Requests that are still running count as unanswered, in the first class.
    results.extend((0..tasks.len()).map(|_| RequestResult::new(0)));
    results
}

/// Injects the faults of the scenario at their times.
async fn inject_faults(
    deployment: &mut Deployment,
    scenario: &Scenario,
    entries: &RwLock<Vec<SocketAddr>>,
    start: Instant,
) {
    let mut faults = scenario.faults.clone();
    faults.sort_by_key(|fault| fault.at);
    for fault in &faults {
        sleep_until(start + fault.at).await;
        let index = fault.target as usize % deployment.endpoints.len();
        let switches = deployment.endpoints[index].faults.clone();
        match fault.kind {
            FaultKind::Slow => switches.set_slowdown(SLOWDOWN_FACTOR),
            FaultKind::Crash => switches.set(Fault::CloseMiddle),
            FaultKind::Restart => {
                deployment.restart_entry(fault.target).await;
                *entries.write().expect("not poisoned") = deployment.entries();
            }
        }
        let until = start + fault.at + fault.duration;
        tokio::spawn(async move {
            sleep_until(until).await;
            switches.set_slowdown(1);
            switches.set(Fault::None);
        });
    }
}

/// Outcomes of one scenario with one policy.
#[derive(Clone, Debug)]
pub struct ComparisonRow {
    /// Scenario name.
    pub scenario: String,
    /// Placement policy of the entries.
    pub policy: Policy,
    /// One outcome per seed, in the order of the seeds.
    pub outcomes: Vec<RunOutcome>,
}

/// Runs `scenario` with the seeds 1 to `seeds`, one after the other, each with all
/// `policies` concurrently.
pub async fn compare(
    suite: &Suite,
    scenario: &Scenario,
    policies: &[Policy],
    seeds: u64,
) -> Vec<ComparisonRow> {
    let mut rows: Vec<ComparisonRow> = policies
        .iter()
        .map(|policy| ComparisonRow {
            scenario: scenario.name.clone(),
            policy: *policy,
            outcomes: Vec::new(),
        })
        .collect();
    for seed in 1..=seeds {
        let runs = rows.iter().map(|row| {
            let (suite, scenario) = (suite.clone(), scenario.clone());
            let policy = row.policy;
            tokio::spawn(async move { run(&suite, &scenario, policy, seed).await })
        });
        let runs: Vec<_> = runs.collect();
        for (row, run) in rows.iter_mut().zip(runs) {
            row.outcomes.extend(run.await);
        }
    }
    rows
}

/// Head of the results table, in Markdown.
pub fn table_head(suite: &Suite) -> String {
    let mut line = String::from("| scenario | policy |");
    let mut rule = String::from("| --- | --- |");
    for class in &suite.classes {
        let _ = write!(line, " {} |", class.name);
        rule.push_str(" --- |");
    }
    line.push_str(" top p99 first ms | top slow first/gap | in target | goodput tok/s | wasted | wrong | not whole |");
    rule.push_str(" --- | --- | --- | --- | --- | --- | --- |");
    format!("{line}\n{rule}\n")
}

/// Row of the results table, in Markdown: means over the seeds, for the attainment of
/// each class with minimum and maximum in percent.
pub fn table_row(row: &ComparisonRow) -> String {
    let runs = &row.outcomes;
    let mut line = format!("| {} | {} |", row.scenario, row.policy);
    let classes = runs.first().map_or(0, |run| run.classes.len());
    for class in 0..classes {
        let shares: Vec<f64> = runs
            .iter()
            .map(|run| run.classes[class].attainment() * 100.0)
            .collect();
        let low = shares.iter().copied().fold(f64::INFINITY, f64::min);
        let high = shares.iter().copied().fold(0.0, f64::max);
        let _ = write!(line, " {:.1} ({low:.1}-{high:.1}) |", mean(&shares));
    }
    let mean_of =
        |value: fn(&RunOutcome) -> f64| mean(&runs.iter().map(value).collect::<Vec<_>>());
    let p99 = mean_of(|run| run.classes[0].first.value_at_quantile(0.99) as f64 / 1000.0);
    let slow_first = mean_of(|run| run.classes[0].slow_first as f64);
    let slow_gap = mean_of(|run| run.classes[0].slow_gap as f64);
    let _ = write!(line, " {p99:.0} | {slow_first:.0}/{slow_gap:.0} |");
    let attained = mean_of(|run| run.attained() as f64);
    let goodput = mean_of(|run| run.good_tokens as f64 / run.duration.as_secs_f64());
    let wasted = mean_of(|run| run.wasted_share() * 100.0);
    let sum = |value: fn(&crate::outcome::ClassOutcome) -> u64| -> u64 {
        runs.iter().flat_map(|run| &run.classes).map(value).sum()
    };
    let wrong = sum(|class| class.wrong);
    let broken = sum(|class| class.shed + class.failed);
    let _ = write!(
        line,
        " {attained:.0} | {goodput:.0} | {wasted:.2}% | {wrong} | {broken} |"
    );
    line
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
