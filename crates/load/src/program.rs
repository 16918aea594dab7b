//! What each command does.

use crate::experiment::{compare, head, line};
use crate::latency;
use crate::scenario::Suite;
use clap::ArgMatches;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::drain::Drain;
use dogwoodhill_daemon::run::describe;
use dogwoodhill_policy::placement::Policy;
use dogwoodhill_standin::engine::{Engine, Speed};
use dogwoodhill_standin::plain::Plain;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Runs the command that `matches` names.
///
/// # Errors
///
/// Text that says why it could not be run.
pub async fn run(matches: &ArgMatches, drain: Drain) -> Result<(), String> {
    match matches.subcommand() {
        Some(("engine", sub)) => engine(sub, drain).await,
        Some(("plain", sub)) => plain(sub, drain).await,
        _ => tokio::select! {
            measured = measure(matches) => measured,
            () = drain.wait_begun() => Err("stopped before the end".to_string()),
        },
    }
}

async fn measure(matches: &ArgMatches) -> Result<(), String> {
    match matches.subcommand() {
        Some(("run", sub)) => scenarios(sub).await,
        Some(("latency", sub)) => measure_latency(sub).await,
        Some(("slopes", sub)) => crate::slopes::run(sub.get_flag("routes")).await,
        _ => Err("name a command; see --help".to_string()),
    }
}

fn number(matches: &ArgMatches, name: &str) -> u32 {
    *matches.get_one::<u32>(name).expect("it has a default")
}

fn listen(matches: &ArgMatches) -> SocketAddr {
    *matches.get_one("listen").expect("clap requires it")
}

async fn engine(matches: &ArgMatches, drain: Drain) -> Result<(), String> {
    let speed = Speed {
        slots: number(matches, "slots"),
        gap: Duration::from_millis(number(matches, "gap-ms").into()),
        crowd: Duration::from_micros(number(matches, "crowd-us").into()),
        ..Speed::default()
    };
    let engine = Engine::bind(listen(matches), speed)
        .await
        .map_err(describe)?;
    engine.run(drain).await;
    Ok(())
}

async fn plain(matches: &ArgMatches, drain: Drain) -> Result<(), String> {
    let work = Duration::from_millis(number(matches, "work-ms").into());
    let plain = Plain::bind(listen(matches), work).await.map_err(describe)?;
    plain.run(drain).await;
    Ok(())
}

async fn scenarios(matches: &ArgMatches) -> Result<(), String> {
    let path: &PathBuf = matches.get_one("file").expect("clap requires it");
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("{file}: {error}; name a readable file"))?;
    let suite = Suite::parse(&file, &text).map_err(|faults| faults.to_string())?;
    if matches.get_flag("check") {
        println!("{file}: {} scenarios are valid", suite.scenarios.len());
        return Ok(());
    }
    let only = names(matches, "only");
    let policies = policies(&names(matches, "policy"))?;
    let seeds = u64::from(number(matches, "seeds"));
    println!(
        "{}: {:.0} tokens/s with every slot in use, {:.1} tokens a request\n",
        suite.name,
        suite.capacity(),
        suite.mean_tokens()
    );
    print!("{}", head(&suite));
    for scenario in &suite.scenarios {
        if !only.is_empty() && !only.contains(&scenario.name) {
            continue;
        }
        eprintln!("running {}", scenario.name);
        for row in compare(&suite, scenario, &policies, seeds).await {
            println!("{}", line(&row));
        }
    }
    Ok(())
}

fn names(matches: &ArgMatches, name: &str) -> Vec<String> {
    let given = matches.get_many::<String>(name);
    given.into_iter().flatten().cloned().collect()
}

fn policies(names: &[String]) -> Result<Vec<Policy>, String> {
    if names.is_empty() {
        return Ok(Policy::ALL.to_vec());
    }
    let find = |name: &String| {
        let at = Policy::NAMES.iter().position(|word| word == name);
        at.map(|at| Policy::ALL[at])
            .ok_or_else(|| format!("there is no policy {name}; use {:?}", Policy::NAMES))
    };
    names.iter().map(find).collect()
}

async fn measure_latency(matches: &ArgMatches) -> Result<(), String> {
    let lasting = Duration::from_secs(number(matches, "seconds").into());
    println!(
        "| streams | direct p50 us | p99 | routed p50 us | p99 | added p50 | req/s | added cpu us/request |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for streams in latency::STREAMS {
        let point = latency::measure(streams, lasting).await;
        println!(
            "| {streams} | {} | {} | {} | {} | {} | {:.0} | {} |",
            point.direct.p50,
            point.direct.p99,
            point.routed.p50,
            point.routed.p99,
            point.routed.p50.saturating_sub(point.direct.p50),
            point.rate,
            point.cost.as_micros()
        );
    }
    Ok(())
}
