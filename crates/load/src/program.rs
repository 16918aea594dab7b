//! The commands of `dogwoodhill-load`.

use crate::experiment::{compare, table_head, table_row};
use crate::latency;
use crate::scenario::Suite;
use clap::ArgMatches;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::drain::Drain;
use dogwoodhill_daemon::run::describe;
use dogwoodhill_policy::placement::Policy;
use dogwoodhill_standin::engine::{Engine, EngineConfig};
use dogwoodhill_standin::plain::PlainService;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Runs the command that `matches` names.
///
/// # Errors
///
/// A message for the operator if an argument or the scenario file is invalid, an address
/// can't be bound, a measurement fails, or `drain` begins before a measurement is
/// complete.
pub async fn run(matches: &ArgMatches, drain: Drain) -> Result<(), String> {
    match matches.subcommand() {
        Some(("engine", arguments)) => run_engine(arguments, drain).await,
        Some(("plain", arguments)) => run_plain(arguments, drain).await,
        _ => tokio::select! {
            measured = measure(matches) => measured,
            () = drain.wait_begun() => Err("stopped before the end".to_string()),
        },
    }
}

async fn measure(matches: &ArgMatches) -> Result<(), String> {
    match matches.subcommand() {
        Some(("run", arguments)) => run_scenarios(arguments).await,
        Some(("latency", arguments)) => measure_latency(arguments).await,
        Some(("slopes", arguments)) => {
            crate::slopes::run(arguments.get_flag("routes")).await
        }
        _ => Err("name a command; see --help".to_string()),
    }
}

fn number_argument(matches: &ArgMatches, name: &str) -> u32 {
    *matches
        .get_one::<u32>(name)
        .expect("the argument has a default")
}

fn listen_argument(matches: &ArgMatches) -> SocketAddr {
    *matches.get_one("listen").expect("the argument is required")
}

async fn run_engine(matches: &ArgMatches, drain: Drain) -> Result<(), String> {
    let config = EngineConfig {
        slots: number_argument(matches, "slots"),
        token_gap: Duration::from_millis(number_argument(matches, "gap-ms").into()),
        gap_per_request: Duration::from_micros(
            number_argument(matches, "crowd-us").into(),
        ),
        ..EngineConfig::default()
    };
    let engine = Engine::bind(listen_argument(matches), config)
        .await
        .map_err(describe)?;
    engine.run(drain).await;
    Ok(())
}

async fn run_plain(matches: &ArgMatches, drain: Drain) -> Result<(), String> {
    let work_time = Duration::from_millis(number_argument(matches, "work-ms").into());
    let service = PlainService::bind(listen_argument(matches), work_time)
        .await
        .map_err(describe)?;
    service.run(drain).await;
    Ok(())
}

async fn run_scenarios(matches: &ArgMatches) -> Result<(), String> {
    let path: &PathBuf = matches.get_one("file").expect("the argument is required");
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("{file}: {error}; name a readable file"))?;
    let suite =
        Suite::parse(&file, &text).map_err(|diagnostics| diagnostics.to_string())?;
    if matches.get_flag("check") {
        println!("{file}: {} scenarios are valid", suite.scenarios.len());
        return Ok(());
    }
    let only = string_arguments(matches, "only");
    let policies = parse_policies(&string_arguments(matches, "policy"))?;
    let seeds = u64::from(number_argument(matches, "seeds"));
    println!(
        "{}: {:.0} tokens/s with every slot in use, {:.1} tokens a request\n",
        suite.name,
        suite.capacity(),
        suite.mean_tokens()
    );
    print!("{}", table_head(&suite));
    for scenario in &suite.scenarios {
        if !only.is_empty() && !only.contains(&scenario.name) {
            continue;
        }
        eprintln!("running {}", scenario.name);
        for row in compare(&suite, scenario, &policies, seeds).await {
            println!("{}", table_row(&row));
        }
    }
    Ok(())
}

fn string_arguments(matches: &ArgMatches, name: &str) -> Vec<String> {
    let values = matches.get_many::<String>(name);
    values.into_iter().flatten().cloned().collect()
}

fn parse_policies(names: &[String]) -> Result<Vec<Policy>, String> {
    if names.is_empty() {
        return Ok(Policy::ALL.to_vec());
    }
    let find = |name: &String| {
        let index = Policy::NAMES.iter().position(|known| known == name);
        index
            .map(|index| Policy::ALL[index])
            .ok_or_else(|| format!("there is no policy {name}; use {:?}", Policy::NAMES))
    };
    names.iter().map(find).collect()
}

async fn measure_latency(matches: &ArgMatches) -> Result<(), String> {
    let duration = Duration::from_secs(number_argument(matches, "seconds").into());
    println!(
        "| streams | direct p50 us | p99 | routed p50 us | p99 | added p50 | req/s | added cpu us/request |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for streams in latency::STREAMS {
        let point = latency::measure(streams, duration).await;
        println!(
            "| {streams} | {} | {} | {} | {} | {} | {:.0} | {} |",
            point.direct.p50,
            point.direct.p99,
            point.routed.p50,
            point.routed.p99,
            point.routed.p50.saturating_sub(point.direct.p50),
            point.requests_per_second,
            point.router_cpu.as_micros()
        );
    }
    Ok(())
}
