//! Many users come at once, with bodies as long as the configuration allows.

use crate::Verdict;
use crate::client;
use crate::machines::Machines;
use crate::operator;
use crate::record::Record;
use crate::replica::{Replica, SERVICE, Work, serve_list};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Machines in use.
const MACHINES: usize = 3;
/// `memory_mb` of a front machine: a process that uses more is killed.
const MEMORY: u64 = 110 * 1024 * 1024;
/// `max_body_bytes` of the configuration.
const BODY: usize = 4_194_304;
/// Requests that are in flight at each entry as a rule.
const USUAL: usize = 9;
/// Strength of the burst, in percent of the usual traffic.
const BURST_PERCENT: usize = 230;
/// Waves of requests, and the time from one to the next.
const WAVES: usize = 6;
const WAVE_TIME: Duration = Duration::from_secs(4);
/// Waves of one burst, which lasts 9 s at most, and the pause after it.
const BURST_WAVES: usize = 3;
const PAUSE: Duration = Duration::from_secs(2);
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(1_200);
/// Time after which the platform restarts a process that was killed.
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// Ends of processes at one machine that make a fault, and machines where they do.
const FAULT_ENDS: usize = 3;
const FAULT_MACHINES: usize = 2;

fn config() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"r","host":"{}","path_prefix":"/a/",
            "kind":"unsafe","timeout_ms":6000,"slo_ms":1200,"priority":1,
            "service":"{SERVICE}","max_attempts":1}}],
            "services":[{{"name":"{SERVICE}","health_path":"/healthz"}}],
            "limits":{{"max_header_bytes":16384,"max_body_bytes":{BODY},
            "header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        client::HOST
    )
}

/// Watches the memory of the entries as the platform does, until `end`: kills a process
/// that uses more than it may, and restarts it. Returns the ends at each machine.
fn watch(machines: &mut Machines, end: Instant, record: &Record) -> Vec<usize> {
    let mut ends = vec![0; MACHINES];
    let mut peaks = vec![0; MACHINES];
    let mut restarts: Vec<(Instant, usize)> = Vec::new();
    while Instant::now() < end {
        for machine in 0..MACHINES {
            let used = machines.entry_memory(machine).unwrap_or(0);
            peaks[machine] = used.max(peaks[machine]);
            if used > MEMORY {
                machines.kill_entry(machine);
                ends[machine] += 1;
                let text = format!("entry {machine} uses {used} bytes and is killed");
                record.line(&text);
                restarts.push((Instant::now() + RESTART_AFTER, machine));
            }
        }
        restarts.retain(|(at, machine)| {
            let due = Instant::now() >= *at;
            if due {
                machines.start_entry(*machine);
            }
            !due
        });
        thread::sleep(Duration::from_millis(5));
    }
    record.line(&format!(
        "largest memory of each entry: {peaks:?} of {MEMORY}"
    ));
    ends
}

/// Plays the case.
pub fn play(trouble: bool, record: &Record) -> Verdict {
    let work = Work {
        time: WORK,
        bytes: 800,
    };
    let replicas: Vec<Replica> = (0..MACHINES)
        .map(|at| Replica::start(&format!("i-{at}"), work, record))
        .collect();
    let listed: Vec<_> = replicas.iter().map(Replica::listed).collect();
    let mut machines = Machines::new(MACHINES, serve_list(&listed));
    for machine in 0..MACHINES {
        machines.start_control(machine, true);
        machines.start_entry(machine);
    }
    let limit = Duration::from_secs(20);
    if operator::repeat(&machines, record, ("PUT", &config()), limit).is_none() {
        return Verdict::CannotRun("the configuration was not accepted".to_string());
    }
    thread::sleep(Duration::from_secs(3));
    let percent = if trouble { BURST_PERCENT } else { 100 };
    let count = USUAL * percent / 100;
    let (sender, answers) = mpsc::channel();
    let mut ends = vec![0; MACHINES];
    for wave in 1..=WAVES {
        record.line(&format!("{count} requests of {BODY} bytes to each entry"));
        for at in 0..count * MACHINES {
            let entry = machines.front(at % MACHINES);
            let (sender, record) = (sender.clone(), record.clone());
            thread::spawn(move || {
                let request = client::request("/a/x", 6_000, vec![b'x'; BODY]);
                let wait = Duration::from_secs(7);
                // The receiver is gone once the case has ended.
                let _ = sender.send(client::send(entry, &request, wait, &record));
            });
        }
        let pause = match wave % BURST_WAVES {
            0 => PAUSE,
            _ => Duration::ZERO,
        };
        let new = watch(&mut machines, Instant::now() + WAVE_TIME + pause, record);
        for (sum, new) in ends.iter_mut().zip(new) {
            *sum += new;
        }
    }
    let statuses: Vec<u16> = answers.try_iter().collect();
    let lost = statuses.iter().filter(|status| **status == 0).count();
    let text = format!(
        "ends of the entries' processes: {ends:?}, requests without an answer: {lost} of {}",
        WAVES * count * MACHINES
    );
    let faulty = ends.iter().filter(|ends| **ends >= FAULT_ENDS);
    match faulty.count() >= FAULT_MACHINES {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    }
}
