//! Running a scenario with every policy and seed, and the table of it.

use crate::bench::Bench;
use crate::driver::{Callers, plan};
use crate::outcome::{Outcome, Result};
use crate::scenario::{Kind, Scenario, Suite};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::placement::Policy;
use dogwoodhill_standin::faults::Fault;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// Longest time for answers after the last request started.
const PATIENCE: Duration = Duration::from_secs(45);
/// How much slower a straggler is.
const SLOWNESS: u32 = 6;

/// Runs one scenario once.
pub async fn run(
    suite: &Suite,
    scenario: &Scenario,
    policy: Policy,
    seed: u64,
) -> Outcome {
    let mut suite = suite.clone();
    suite.speed.lag = scenario.lag;
    let mut bench = Bench::start(&suite, policy).await;
    let entries = Arc::new(RwLock::new(bench.entries()));
    let callers = Callers::default();
    let planned = plan(&suite, scenario, seed);
    let start = Instant::now();
    let driving = tokio::spawn(drive(
        callers,
        suite.clone(),
        planned,
        Arc::clone(&entries),
        start,
    ));
    inflict(&mut bench, scenario, &entries, start).await;
    let results = driving.await.unwrap_or_default();
    let outcome = Outcome::new(&suite, &results, bench.made(), start.elapsed());
    bench.stop().await;
    outcome
}

async fn drive(
    callers: Callers,
    suite: Suite,
    planned: Vec<crate::driver::Planned>,
    entries: Arc<RwLock<Vec<SocketAddr>>>,
    start: Instant,
) -> Vec<Result> {
    let mut tasks = JoinSet::new();
    let count = planned.len();
    for (number, request) in planned.into_iter().enumerate() {
        let due = start + request.at;
        sleep_until(due).await;
        let entry = {
            let entries = entries.read().expect("no holder panics");
            entries[number % entries.len()]
        };
        let callers = callers.clone();
        let class = suite.classes[request.class].name.clone();
        tasks.spawn(async move { callers.send(entry, &class, &request, due).await });
    }
    let end = Instant::now() + PATIENCE;
    let mut results = Vec::with_capacity(count);
    while let Ok(Some(done)) = tokio::time::timeout_at(end, tasks.join_next()).await {
        results.extend(done);
    }
    // What has not ended by now counts as lost.
    results.extend((0..tasks.len()).map(|_| Result::new(0)));
    results
}

/// Brings the scenario's faults about.
async fn inflict(
    bench: &mut Bench,
    scenario: &Scenario,
    entries: &RwLock<Vec<SocketAddr>>,
    start: Instant,
) {
    let mut faults = scenario.faults.clone();
    faults.sort_by_key(|fault| fault.at);
    for fault in &faults {
        sleep_until(start + fault.at).await;
        let at = fault.target as usize % bench.endpoints.len();
        let switches = bench.endpoints[at].faults.clone();
        match fault.kind {
            Kind::Slow => switches.slow(SLOWNESS),
            Kind::Crash => switches.set(Fault::CloseMiddle),
            Kind::Restart => {
                bench.restart(fault.target).await;
                *entries.write().expect("no holder panics") = bench.entries();
            }
        }
        let until = start + fault.at + fault.lasting;
        tokio::spawn(async move {
            sleep_until(until).await;
            switches.slow(1);
            switches.set(Fault::None);
        });
    }
}

/// Outcomes of one scenario and policy, one for each seed.
#[derive(Clone, Debug)]
pub struct Row {
    /// Scenario.
    pub scenario: String,
    /// Policy.
    pub policy: Policy,
    /// Outcomes.
    pub outcomes: Vec<Outcome>,
}

/// Runs `scenario` with all `policies` at a time, seed after seed.
pub async fn compare(
    suite: &Suite,
    scenario: &Scenario,
    policies: &[Policy],
    seeds: u64,
) -> Vec<Row> {
    let mut rows: Vec<Row> = policies
        .iter()
        .map(|policy| Row {
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

/// The table's head, in Markdown.
pub fn head(suite: &Suite) -> String {
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

/// One row: the mean over seeds, with the spread of attainment.
pub fn line(row: &Row) -> String {
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
    let of =
        |value: fn(&Outcome) -> f64| mean(&runs.iter().map(value).collect::<Vec<_>>());
    let p99 = of(|run| run.classes[0].first.value_at_quantile(0.99) as f64 / 1000.0);
    let slow_first = of(|run| run.classes[0].slow_first as f64);
    let slow_gap = of(|run| run.classes[0].slow_gap as f64);
    let _ = write!(line, " {p99:.0} | {slow_first:.0}/{slow_gap:.0} |");
    let attained = of(|run| run.attained() as f64);
    let goodput = of(|run| run.good as f64 / run.lasting.as_secs_f64());
    let wasted = of(|run| run.wasted() * 100.0);
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
