//! Tries that showed no fault that counts; the report names them.

use crate::desk::*;
use crate::kit::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

fn random(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state
}

static SEED: AtomicU64 = AtomicU64::new(0x9e3779b97f4a7c15);
fn seed() -> u64 {
    SEED.fetch_add(0x9e3779b97f4a7c15, Ordering::SeqCst) | 1
}

type Runs = Arc<Mutex<HashMap<String, Vec<String>>>>;

fn replica(address: SocketAddr, id: String, runs: Runs, bad: Arc<Mutex<Vec<String>>>) {
    serve(address, move |mut wire| {
        let mut r = seed()
            ^ (wire.stream.peer_addr().map(|a| a.port()).unwrap_or(0) as u64) << 20;
        let mut late: Option<Vec<u8>> = None;
        loop {
            wire.set_limit(ms(5 + random(&mut r) % 60));
            let Ok(head) = wire.read_head() else { return };
            if let Some(extra) = late.take() {
                let _ = wire.send(&extra);
            }
            let rid = head.header("request-id").unwrap_or("").to_string();
            let dice = random(&mut r) % 100;
            wire.set_limit(ms(2000));
            let refusal = encode(
                "HTTP/1.1 503 Service Unavailable",
                &[
                    ("Request-Id", &rid),
                    ("Not-Executed", "1"),
                    ("Replica-Load", "6,24,6"),
                ],
                b"full",
            );
            if dice < 8 {
                // Early: answered before the body is in; read on later.
                if wire.send(&refusal).is_err() {
                    return;
                }
                sleep(random(&mut r) % 20);
                let Ok(body) = wire.read_body(&head, false) else {
                    return;
                };
                if !body.iter().all(|b| *b == b'x') {
                    bad.lock()
                        .unwrap()
                        .push(format!("{rid}: other bytes in the body"));
                    return;
                }
                continue;
            }
            let Ok(body) = wire.read_body(&head, false) else {
                return;
            };
            if !body.iter().all(|b| *b == b'x') {
                bad.lock()
                    .unwrap()
                    .push(format!("{rid}: other bytes in the body"));
                return;
            }
            if head.header("expect-replica") != Some(&id) {
                let _ = wire.send(&encode(
                    "HTTP/1.1 421 M",
                    &[("Request-Id", &rid), ("Not-Executed", "1")],
                    b"",
                ));
                continue;
            }
            if dice < 16 {
                if wire.send(&refusal).is_err() {
                    return;
                }
                continue;
            }
            runs.lock()
                .unwrap()
                .entry(rid.clone())
                .or_default()
                .push(id.clone());
            sleep(random(&mut r) % 8);
            let seal = format!("{id}.{rid}");
            let text = format!("answer to {rid} from {id}");
            let ok = encode(
                "HTTP/1.1 200 OK",
                &[("Request-Id", &rid), ("Replica-Seal", &seal)],
                text.as_bytes(),
            );
            match dice {
                16..22 => {
                    let _ = wire.send(&ok);
                    return;
                }
                22..26 => return,
                26..30 => {
                    let _ = wire.send(&ok[..ok.len() - 3]);
                    return;
                }
                30..36 => {
                    let _ = wire.send(&ok);
                    late = Some(ok);
                }
                36..40 => {
                    let _ = wire.send(&[ok.clone(), ok].concat());
                }
                40..44 => {
                    let t = format!(
                        "HTTP/1.1 200 OK\r\nRequest-Id: {rid}\r\nReplica-Seal: {seal}\r\n\r\n{text}"
                    );
                    let _ = wire.send(t.as_bytes());
                    return;
                }
                44..47 => {
                    let _ = wire.send(&encode(
                        "HTTP/1.1 500 E",
                        &[("Request-Id", &rid), ("Replica-Seal", &seal)],
                        text.as_bytes(),
                    ));
                }
                _ => {
                    if wire.send(&ok).is_err() {
                        return;
                    }
                }
            }
        }
    });
}

/// Many clients on kept connections before replicas that close, refuse and repeat at random.
pub fn faulty_replicas(record: &Record) -> i32 {
    let platform_at = free(host(200));
    let platform = Platform::start(platform_at);
    let runs: Runs = Arc::default();
    let bad: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut entries = Vec::new();
    for i in 0..4u8 {
        let address = free(host(100 + i));
        let id = format!("i-{i:04x}");
        replica(address, id.clone(), Arc::clone(&runs), Arc::clone(&bad));
        entries.push(listed(&id, "desk", address, "a", 64, "ready").into_bytes());
    }
    platform.set(page(&entries));
    let mut deployment = Deployment::new(record, 3, 2, platform_at);
    deployment.start(&[ZONE.to_string()]);
    if !put_config(
        record,
        &deployment.control_addresses(),
        &config(1),
        ms(15_000),
    ) {
        cannot_run(&"no ack");
    }
    sleep(3000);
    let end = Instant::now() + Duration::from_secs(20);
    let fronts = deployment.fronts();
    let counts: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let threads: Vec<_> = (0..24)
        .map(|n| {
            let (front, runs, bad, counts) = (
                fronts[n % 2],
                Arc::clone(&runs),
                Arc::clone(&bad),
                Arc::clone(&counts),
            );
            std::thread::spawn(move || {
                let mut r = seed();
                let mut wire: Option<Wire> = None;
                while Instant::now() < end {
                    let id = new_id();
                    let book = random(&mut r) % 3 > 0;
                    let path = if book {
                        "POST /book/1 HTTP/1.1"
                    } else {
                        "POST /look/1 HTTP/1.1"
                    };
                    let size = match random(&mut r) % 10 {
                        0 => 300_000,
                        1..4 => 20_000,
                        _ => 100,
                    };
                    let body = vec![b'x'; size];
                    let message = encode(
                        path,
                        &[
                            ("Host", "desk.example"),
                            ("Request-Id", &id),
                            ("Deadline-Ms", "700"),
                        ],
                        &body,
                    );
                    let mut w = match wire.take() {
                        Some(w) => w,
                        None => match Wire::connect(front, ms(1000)) {
                            Ok(w) => w,
                            Err(_) => {
                                sleep(10);
                                continue;
                            }
                        },
                    };
                    w.set_limit(ms(1500));
                    if w.send(&message).is_err() {
                        continue;
                    }
                    if random(&mut r) % 30 == 0 {
                        w.close();
                        continue;
                    }
                    let word;
                    match w.read_message(true) {
                        Ok(answer) => {
                            let status = answer.status();
                            word = format!(
                                "{} {status}",
                                if book { "book" } else { "look" }
                            );
                            let seal = answer.header("replica-seal").map(str::to_string);
                            if (200..300).contains(&status) {
                                let want = format!("answer to {id} from ");
                                if !answer.text().starts_with(&want)
                                    || seal.is_none_or(|s| !s.ends_with(&id))
                                {
                                    bad.lock().unwrap().push(format!(
                                        "{id}: MIXED {status} {} {:?}",
                                        answer.text(),
                                        answer.headers
                                    ));
                                }
                            }
                            if book && matches!(status, 429 | 503 | 408 | 421) {
                                let runs = Arc::clone(&runs);
                                let bad = Arc::clone(&bad);
                                let id = id.clone();
                                std::thread::spawn(move || {
                                    sleep(1500);
                                    if runs.lock().unwrap().contains_key(&id) {
                                        bad.lock().unwrap().push(format!(
                                            "{id}: REFUSED {status} and run"
                                        ));
                                    }
                                });
                            }
                            if answer
                                .header("connection")
                                .is_none_or(|c| !c.contains("close"))
                            {
                                wire = Some(w);
                            }
                        }
                        Err(error) => word = format!("cut {}", error.kind()),
                    }
                    *counts.lock().unwrap().entry(word).or_default() += 1;
                    if book {
                        let n = runs.lock().unwrap().get(&id).map_or(0, Vec::len);
                        if n > 1 {
                            bad.lock().unwrap().push(format!("{id}: TWICE {n}"));
                        }
                    }
                }
            })
        })
        .collect();
    for t in threads {
        let _ = t.join();
    }
    sleep(2000);
    record.say(&format!("{:?}", counts.lock().unwrap()));
    let bad = bad.lock().unwrap();
    for b in bad.iter().take(10) {
        record.say(b);
    }
    i32::from(!bad.is_empty())
}

/// Replicas are restarted in place one after the other, under the ids that they had. The
/// list has `born` unless `BORN=0`.
pub fn restart_in_place(record: &Record) -> i32 {
    let desk = replicas(record, "desk", 100, 4);
    let with_born = std::env::var("BORN").map_or(true, |value| value != "0");
    let show = |states: &[&str], born: &[u64]| {
        let mut list = Vec::new();
        for ((one, state), born) in desk.iter().zip(states).zip(born) {
            let text = listed(&one.id, "desk", one.address, ZONE, 6, state);
            let field = if with_born {
                format!("{{\"born\":{born},")
            } else {
                "{".to_string()
            };
            list.push(text.replacen('{', &field, 1).into_bytes());
        }
        list
    };
    let mut states = ["ready"; 4];
    let mut born = [1_777_000_000_000u64; 4];
    let (platform, deployment) = deploy(record, 3, 2, show(&states, &born));
    for at in 0..4 {
        states[at] = "draining";
        platform.set(page(&show(&states, &born)));
        desk[at].leaving.store(true, Ordering::SeqCst);
        sleep(4_000);
        desk[at].down.store(true, Ordering::SeqCst);
        sleep(300);
        desk[at].down.store(false, Ordering::SeqCst);
        desk[at].leaving.store(false, Ordering::SeqCst);
        states[at] = "ready";
        born[at] += 100_000;
        platform.set(page(&show(&states, &born)));
        sleep(3_000);
    }
    let clients = Clients::start(record, &deployment.fronts(), 2);
    sleep(5_000);
    let (sent, served) = clients.finish();
    record.say(&format!(
        "born on the list: {with_born}; {served} of {sent} requests served"
    ));
    i32::from(served * 4 < sent)
}

/// Peak memory of an entry while clients send the largest bodies that the limits allow.
pub fn large_bodies(record: &Record) -> i32 {
    let desk = replicas(record, "desk", 100, 4);
    let (_platform, deployment) = deploy(record, 3, 1, entries(&desk, "ready"));
    let front = deployment.fronts()[0];
    let status = format!("/proc/{}/status", deployment.entries[0].pid());
    for count in [12, 24, 45] {
        let send = move || {
            let id = new_id();
            let headers = [
                ("Host", HOST),
                ("Request-Id", id.as_str()),
                ("Deadline-Ms", "1500"),
            ];
            let body = vec![b'x'; 4_000_000];
            attempt(front, "POST /look/1 HTTP/1.1", &headers, &body, ms(1_500)).status()
        };
        let threads: Vec<_> = (0..count).map(|_| std::thread::spawn(send)).collect();
        let served = threads.into_iter().filter_map(|one| one.join().ok());
        let served = served.filter(|status| *status == 200).count();
        let text = std::fs::read_to_string(&status).unwrap_or_default();
        let peak = text
            .lines()
            .find(|line| line.starts_with("VmHWM"))
            .unwrap_or_default();
        record.say(&format!(
            "{count} clients with 4 MB each: {served} served, {peak}"
        ));
    }
    0
}

/// Thousands of changes, so that logs are compacted, while control instances are killed and
/// lose their disks in turn. Nothing acknowledged may be lost or read back older.
pub fn many_changes(record: &Record) -> i32 {
    let desk = replicas(record, "desk", 100, 2);
    let address = free(host(200));
    let platform = Platform::start(address);
    platform.set(page(&entries(&desk, "ready")));
    let mut deployment = Deployment::new(record, 4, 2, address);
    deployment.start(&[ZONE.to_string()]);
    let control = deployment.control_addresses();
    if !put_config(record, &control, &config(1), ms(20_000)) {
        cannot_run(&"the first configuration is not acknowledged");
    }
    let version = Arc::new(AtomicU64::new(2));
    // Acknowledged versions, with the time.
    let acknowledged = Arc::new(Mutex::new(vec![(Instant::now(), 1u64)]));
    let problems: Arc<Mutex<Vec<String>>> = Arc::default();
    let end = Instant::now() + Duration::from_secs(75);
    let headers = [("Host", "control"), ("Content-Type", "application/json")];
    let mut threads = Vec::new();
    for number in 0..8usize {
        let (control, version) = (control.clone(), Arc::clone(&version));
        let (acknowledged, problems) = (Arc::clone(&acknowledged), Arc::clone(&problems));
        threads.push(std::thread::spawn(move || {
            let mut state = seed();
            while Instant::now() < end {
                let at = control[random(&mut state) as usize % control.len()];
                if number < 2 {
                    let bound = Instant::now().checked_sub(ms(2_000));
                    let known = acknowledged.lock().unwrap().clone();
                    let old = known.iter().filter(|one| Some(one.0) < bound);
                    let least = old.map(|one| one.1).max().unwrap_or(0);
                    let get =
                        attempt(at, "GET /config HTTP/1.1", &headers, b"", ms(3_000));
                    if let Outcome::Answer(answer) = get
                        && answer.status() == 200
                    {
                        let text = answer.text();
                        let digits = text.trim_start_matches("{\"version\":");
                        let digits = digits.split(',').next().unwrap_or_default();
                        let read: u64 = digits.parse().unwrap_or(0);
                        if read < least {
                            let text =
                                format!("{at} has {read}, {least} was acknowledged");
                            problems.lock().unwrap().push(text);
                        }
                    }
                    sleep(20);
                    continue;
                }
                let next = version.fetch_add(1, Ordering::SeqCst);
                let mut text = config(next);
                if next % 50 == 0 {
                    let long = "x".repeat(300_000);
                    text = text.replacen(
                        "\"routes\"",
                        &format!("\"note\":\"{long}\",\"routes\""),
                        1,
                    );
                }
                let put = attempt(
                    at,
                    "PUT /config HTTP/1.1",
                    &headers,
                    text.as_bytes(),
                    ms(3_000),
                );
                match put.status() {
                    200 => acknowledged.lock().unwrap().push((Instant::now(), next)),
                    400..500 => problems.lock().unwrap().push(format!("{next} refused")),
                    _ => {}
                }
            }
        }));
    }
    let mut turn = 0;
    deployment.fields.set("bootstrap", "false");
    while Instant::now() + ms(9_000) < end {
        sleep(3_000);
        let at = turn % 4;
        let wipe = turn % 3 == 2;
        deployment.controls[at].kill();
        if wipe {
            let _ = std::fs::remove_dir_all(deployment.folder.join(format!("data-{at}")));
        }
        sleep(500);
        deployment.rewrite_control(at);
        deployment.controls[at].start();
        record.line(&format!("control-{at} is back, disk lost: {wipe}"));
        turn += 1;
        sleep(1_000);
    }
    for thread in threads {
        let _ = thread.join();
    }
    sleep(2_500);
    let newest = acknowledged
        .lock()
        .unwrap()
        .iter()
        .map(|one| one.1)
        .max()
        .unwrap_or(0);
    let count = acknowledged.lock().unwrap().len();
    for at in &control {
        let get = attempt(*at, "GET /config HTTP/1.1", &headers, b"", ms(5_000));
        let text = if let Outcome::Answer(answer) = &get {
            answer.text()
        } else {
            String::new()
        };
        let head: String = text.chars().take(20).collect();
        record.say(&format!("{at}: {} {head}", get.short()));
    }
    let compactions: usize = deployment
        .controls
        .iter()
        .map(|one| one.log().matches("log-compacted").count())
        .sum();
    let restarts: usize = deployment
        .controls
        .iter()
        .map(|one| {
            one.log().matches("control-restarts").count()
                + one.log().matches("panicked").count()
        })
        .sum();
    record.say(&format!(
        "{count} acknowledged, newest {newest}; {compactions} compactions, {restarts} restarts of \
         their own, {turn} kills; problems: {:?}",
        problems.lock().unwrap().iter().take(5).collect::<Vec<_>>()
    ));
    i32::from(!problems.lock().unwrap().is_empty())
}

/// An entry gets SIGTERM again and again while clients send on kept connections. No request
/// that was passed on may end without an answer.
pub fn planned_stops(record: &Record) -> i32 {
    let desk = replicas_with(record, "desk", 100, 4, ms(60));
    let (_platform, mut deployment) = deploy(record, 3, 2, entries(&desk, "ready"));
    let front = deployment.fronts()[0];
    let stop = Arc::new(AtomicU64::new(0));
    let cut: Arc<Mutex<Vec<String>>> = Arc::default();
    let answered = Arc::new(AtomicU64::new(0));
    let threads: Vec<_> = (0..24)
        .map(|_| {
            let (stop, cut) = (Arc::clone(&stop), Arc::clone(&cut));
            let answered = Arc::clone(&answered);
            std::thread::spawn(move || {
                let mut state = seed();
                let mut kept: Option<Wire> = None;
                while stop.load(Ordering::SeqCst) == 0 {
                    let Some(mut wire) =
                        kept.take().or_else(|| Wire::connect(front, ms(300)).ok())
                    else {
                        sleep(20);
                        continue;
                    };
                    wire.set_limit(ms(2_500));
                    let id = new_id();
                    let headers = [
                        ("Host", HOST),
                        ("Request-Id", id.as_str()),
                        ("Deadline-Ms", "1500"),
                    ];
                    let message = encode("POST /book/1 HTTP/1.1", &headers, b"x");
                    if wire.send(&message).is_err() {
                        continue;
                    }
                    match wire.read_message(true) {
                        Ok(answer) => {
                            answered.fetch_add(1, Ordering::SeqCst);
                            let close = answer.header("connection") == Some("close");
                            kept = (!close).then_some(wire);
                        }
                        Err(_) => cut.lock().unwrap().push(id),
                    }
                    sleep(random(&mut state) % 30);
                }
            })
        })
        .collect();
    for _ in 0..6 {
        sleep(3_000);
        deployment.entries[0].signal(SIGTERM);
        let end = Instant::now() + ms(9_000);
        while deployment.entries[0].ended().is_none() && Instant::now() < end {
            sleep(10);
        }
        deployment.entries[0].kill();
        sleep(300);
        deployment.entries[0].start();
    }
    stop.store(1, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let run: Vec<String> = desk
        .iter()
        .flat_map(|one| one.runs.lock().unwrap().clone())
        .map(|run| run.id)
        .collect();
    let cut = cut.lock().unwrap();
    let lost = cut.iter().filter(|id| run.contains(id)).count();
    record.say(&format!(
        "{} answered, {} connections cut, {lost} of them with a request that ran",
        answered.load(Ordering::SeqCst),
        cut.len()
    ));
    i32::from(lost > 0)
}

/// All processes at once are stopped with SIGTERM, killed or frozen, and are back; what was
/// acknowledged has to be read back and requests to be served 12 s later.
pub fn all_at_once(record: &Record) -> i32 {
    let desk = replicas(record, "desk", 100, 4);
    let (_platform, mut deployment) = deploy(record, 4, 2, entries(&desk, "ready"));
    let control = deployment.control_addresses();
    let mut failed = 0;
    deployment.fields.set("bootstrap", "false");
    for at in 0..4 {
        deployment.rewrite_control(at);
    }
    for (round, how) in ["term", "kill", "freeze", "term", "kill"]
        .iter()
        .enumerate()
    {
        let version = round as u64 + 2;
        let acknowledged = put_config(record, &control, &config(version), ms(10_000));
        let all = deployment
            .controls
            .iter_mut()
            .chain(&mut deployment.entries);
        let mut all: Vec<&mut Process> = all.collect();
        match *how {
            "freeze" => {
                all.iter().for_each(|one| one.signal(SIGSTOP));
                sleep(4_000);
                all.iter().for_each(|one| one.signal(SIGCONT));
            }
            how => {
                if how == "term" {
                    all.iter().for_each(|one| one.signal(SIGTERM));
                    let end = Instant::now() + ms(8_000);
                    while Instant::now() < end
                        && all.iter_mut().any(|one| one.ended().is_none())
                    {
                        sleep(20);
                    }
                }
                all.iter_mut().for_each(|one| one.kill());
                sleep(300);
                all.iter_mut().for_each(|one| one.start());
            }
        }
        let start = Instant::now();
        let mut served = None;
        while served.is_none() && start.elapsed() < Duration::from_secs(12) {
            let fronts = deployment.fronts();
            if fronts
                .iter()
                .all(|front| look(*front, &new_id()).status() == 200)
            {
                served = Some(start.elapsed().as_millis());
            }
            sleep(20);
        }
        let headers = [("Host", "control")];
        let want = format!("{{\"version\":{version},");
        let mut reads = Vec::new();
        for at in &control {
            let get = attempt(*at, "GET /config HTTP/1.1", &headers, b"", ms(5_000));
            let same = matches!(&get, Outcome::Answer(answer) if answer.text().starts_with(&want));
            reads.push(format!("{} {same}", get.short()));
            failed += usize::from(acknowledged && !same);
        }
        failed += usize::from(served.is_none());
        record.say(&format!(
            "{how}: acknowledged {acknowledged}, served after {served:?} ms, reads {reads:?}"
        ));
    }
    i32::from(failed > 0)
}

/// The routes of [`config`], and one to streams that may be resumed and one that may not.
fn stream_config() -> String {
    let route = |name: &str, resumable: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"stream\",\"timeout_ms\":6000,\"slo_ms\":600,\"priority\":0,\
             \"service\":\"desk\",\"max_attempts\":2,\"public\":true,\"sticky\":true,\
             \"resumable\":{resumable},\"gap_target_ms\":200}},"
        )
    };
    let routes = format!("\"routes\":[{}{}", route("cue", true), route("note", false));
    config(2).replacen("\"routes\":[", &routes, 1)
}

/// Number of events of a stream.
const EVENTS: u64 = 30;

fn event(id: &str, number: u64) -> String {
    let long = "z".repeat((number as usize * 37) % 500);
    format!("id: {number}\ndata: {id} {number} {long}\n\n")
}

fn stream_replica(address: SocketAddr, name: String, runs: Runs) {
    serve(address, move |mut wire| {
        let mut state = seed();
        while let Ok(request) = wire.read_message(false) {
            let id = request.header("request-id").unwrap_or_default().to_string();
            runs.lock()
                .unwrap()
                .entry(id.clone())
                .or_default()
                .push(name.clone());
            let after = request
                .header("last-event-id")
                .and_then(|text| text.parse().ok());
            let after: u64 = after.unwrap_or(0);
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nReplica-Seal: {name}.{id}\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            if wire.send(head.as_bytes()).is_err() {
                return;
            }
            let breaks =
                (random(&mut state) % 2 == 0).then(|| 1 + random(&mut state) % EVENTS);
            let mut bytes = Vec::new();
            for number in after + 1..=EVENTS {
                let text = event(&id, number);
                if breaks == Some(number) {
                    let part = random(&mut state) as usize % text.len();
                    bytes.extend_from_slice(&text.as_bytes()[..part]);
                    let _ = wire.send(&chunk(&bytes));
                    if random(&mut state) % 2 == 0 {
                        sleep(random(&mut state) % 400);
                    }
                    return;
                }
                bytes.extend_from_slice(text.as_bytes());
                if random(&mut state) % 3 > 0 {
                    // Chunks end anywhere, also within an event.
                    let cut =
                        bytes.len() - random(&mut state) as usize % bytes.len().min(20);
                    let rest = bytes.split_off(cut.max(1));
                    if wire.send(&chunk(&bytes)).is_err() {
                        return;
                    }
                    bytes = rest;
                    sleep(random(&mut state) % 12);
                }
            }
            let end = [chunk(&bytes), b"0\r\n\r\n".to_vec()].concat();
            if wire.send(&end).is_err() {
                return;
            }
        }
    });
}

fn chunk(bytes: &[u8]) -> Vec<u8> {
    if bytes.is_empty() {
        return Vec::new();
    }
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// Streams from replicas that break off anywhere. No event may be missing, doubled or cut,
/// and none that may not be resumed may run twice.
pub fn broken_streams(record: &Record) -> i32 {
    let runs: Runs = Arc::default();
    let mut list = Vec::new();
    for number in 0..4u8 {
        let address = free(host(100 + number));
        let name = format!("i-{number:04x}");
        stream_replica(address, name.clone(), Arc::clone(&runs));
        list.push(listed(&name, "desk", address, ZONE, 64, "ready").into_bytes());
    }
    let platform_at = free(host(201));
    let platform = Platform::start(platform_at);
    platform.set(page(&list));
    let mut deployment = Deployment::new(record, 3, 2, platform_at);
    deployment.start(&[ZONE.to_string()]);
    if !put_config(
        record,
        &deployment.control_addresses(),
        &stream_config(),
        ms(15_000),
    ) {
        cannot_run(&"no configuration is acknowledged");
    }
    sleep(3_000);
    let fronts = deployment.fronts();
    let end = Instant::now() + Duration::from_secs(25);
    let bad: Arc<Mutex<Vec<String>>> = Arc::default();
    let counts: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let threads: Vec<_> = (0..24)
        .map(|number: usize| {
            let front = fronts[number % 2];
            let (runs, bad) = (Arc::clone(&runs), Arc::clone(&bad));
            let counts = Arc::clone(&counts);
            std::thread::spawn(move || {
                let mut state = seed();
                while Instant::now() < end {
                    let id = new_id();
                    let route = if random(&mut state) % 3 == 0 {
                        "note"
                    } else {
                        "cue"
                    };
                    let headers = [
                        ("Host", HOST),
                        ("Request-Id", id.as_str()),
                        ("Deadline-Ms", "6000"),
                        ("Token-Usage", "200,90"),
                        ("Prompt-Prefix", "a1:100,b2:100"),
                        ("Model", "m"),
                    ];
                    let first = format!("POST /{route}/1 HTTP/1.1");
                    let Ok(mut wire) = Wire::connect(front, ms(1_000)) else {
                        continue;
                    };
                    wire.set_limit(ms(6_500));
                    if wire.send(&encode(&first, &headers, b"prompt")).is_err() {
                        continue;
                    }
                    let Ok(head) = wire.read_head() else {
                        let word = format!("{route} no head");
                        *counts.lock().unwrap().entry(word).or_default() += 1;
                        continue;
                    };
                    let (body, whole) = wire.read_stream(&head);
                    let word = format!("{route} {} whole {whole}", head.status());
                    *counts.lock().unwrap().entry(word).or_default() += 1;
                    if head.status() != 200 {
                        continue;
                    }
                    let text = String::from_utf8_lossy(&body).into_owned();
                    let all: String = (1..=EVENTS).map(|at| event(&id, at)).collect();
                    let ends_well = text.is_empty() || text.ends_with("\n\n");
                    if !all.starts_with(&text) || !ends_well || (whole && text != all) {
                        bad.lock()
                            .unwrap()
                            .push(format!("{id} {route}: ORDER, whole {whole}"));
                    }
                    let times = runs.lock().unwrap().get(&id).map_or(0, Vec::len);
                    if (route == "note" && times > 1) || times > 2 {
                        bad.lock()
                            .unwrap()
                            .push(format!("{id} {route}: ran {times} times"));
                    }
                }
            })
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
    record.say(&format!("{:?}", counts.lock().unwrap()));
    let bad = bad.lock().unwrap();
    bad.iter().take(10).for_each(|one| record.say(one));
    i32::from(!bad.is_empty())
}

/// A call of the duty that the platform took in.
#[derive(Clone, Debug)]
struct Report {
    at: Instant,
    holder: String,
    fence: u64,
    window: u64,
    counts: String,
}

/// The usage duty: the platform leaves calls unanswered and carries them out late, and holders
/// are frozen and killed. Checks ONE from what the platform sees.
pub fn usage_duty(record: &Record) -> i32 {
    let desk = replicas(record, "desk", 100, 4);
    let address = free(host(200));
    let body = Arc::new(Mutex::new(page(&entries(&desk, "ready"))));
    let taken: Arc<Mutex<Vec<Report>>> = Arc::default();
    let calls = Arc::new(AtomicU64::new(0));
    let problems: Arc<Mutex<Vec<String>>> = Arc::default();
    let (shared, found, count) = (
        Arc::clone(&taken),
        Arc::clone(&problems),
        Arc::clone(&calls),
    );
    let carry_out = move |report: Report| -> bool {
        let mut taken = shared.lock().unwrap();
        if taken.iter().any(|known| known.fence > report.fence) {
            return false;
        }
        let mut found = found.lock().unwrap();
        for known in taken.iter() {
            if known.window == report.window && known.counts != report.counts {
                found.push(format!("window {}: two counts", known.window));
            }
            if known.fence == report.fence && known.holder != report.holder {
                found.push(format!("fence {}: two holders", known.fence));
            }
        }
        let other = taken
            .iter()
            .rposition(|known| known.holder != report.holder);
        let before = other.and_then(|other| {
            taken[..other]
                .iter()
                .rev()
                .find(|known| known.holder == report.holder)
        });
        if before.is_some_and(|before| report.at - before.at < ms(3_000)) {
            found.push(format!(
                "{} acts, another one, and it again within a lease",
                report.holder
            ));
        }
        taken.push(report);
        true
    };
    let carry_out = Arc::new(carry_out);
    serve(address, move |mut wire| {
        let mut state = seed();
        while let Ok(request) = wire.read_message(false) {
            if request.path().starts_with("/replicas") {
                let bytes = encode("HTTP/1.1 200 OK", &[], &body.lock().unwrap());
                if wire.send(&bytes).is_err() {
                    return;
                }
                continue;
            }
            count.fetch_add(1, Ordering::SeqCst);
            let text = request.text();
            let number = |name: &str| -> u64 {
                let rest = text.split(&format!("\"{name}\":")).nth(1).unwrap_or("0");
                let digits: String =
                    rest.chars().take_while(char::is_ascii_digit).collect();
                digits.parse().unwrap_or(0)
            };
            let counts = text.split("\"counts\":").nth(1).unwrap_or_default();
            let counts = counts.split('}').next().unwrap_or_default().to_string();
            let report = Report {
                at: Instant::now(),
                holder: request
                    .header("duty-holder")
                    .unwrap_or_default()
                    .to_string(),
                fence: request
                    .header("fence-token")
                    .and_then(|f| f.parse().ok())
                    .unwrap_or(0),
                window: number("window"),
                counts,
            };
            let status = match random(&mut state) % 20 {
                0..3 => {
                    let (late, report) = (Arc::clone(&carry_out), report.clone());
                    let after = random(&mut state) % 4_000;
                    std::thread::spawn(move || {
                        sleep(after);
                        late(Report {
                            at: Instant::now(),
                            ..report
                        });
                    });
                    sleep(4_000);
                    return;
                }
                3..5 => "503 Service Unavailable",
                5 => "429 Too Many Requests",
                6..8 => {
                    carry_out(report);
                    return;
                }
                _ => match carry_out(report) {
                    true => "200 OK",
                    false => "409 Conflict",
                },
            };
            if wire
                .send(&encode(&format!("HTTP/1.1 {status}"), &[], b"{}"))
                .is_err()
            {
                return;
            }
        }
    });
    let mut deployment = Deployment::new(record, 3, 2, address);
    for (name, value) in [
        ("bounds.report_window_s", "2"),
        ("bounds.usage_late_s", "10"),
        ("bounds.lease_ms", "3000"),
        ("bounds.thaw_ms", "300"),
        ("bounds.require_fence", "true"),
        ("cloud.duty_per_s", "4"),
    ] {
        deployment.fields.set(name, value);
    }
    deployment
        .fields
        .set_list("cloud.duties", &["usage".to_string()]);
    deployment.start(&[ZONE.to_string()]);
    let tenants = ",\"tenants\":[{\"name\":\"one\",\"api_keys\":[\"k1\"]},\
                   {\"name\":\"two\",\"api_keys\":[\"k2\"]}]}";
    let text = config(1);
    let text = format!("{}{tenants}", &text[..text.len() - 1])
        .replace("true,\"sticky", "false,\"sticky");
    if !put_config(record, &deployment.control_addresses(), &text, ms(20_000)) {
        cannot_run(&"the configuration is not acknowledged");
    }
    let stop = Arc::new(AtomicU64::new(0));
    let threads: Vec<_> = (0..8usize)
        .map(|number| {
            let front = deployment.fronts()[number % 2];
            let stop = Arc::clone(&stop);
            std::thread::spawn(move || {
                let key = if number % 3 == 0 { "k1" } else { "k2" };
                while stop.load(Ordering::SeqCst) == 0 {
                    let id = new_id();
                    let headers = [
                        ("Host", HOST),
                        ("Request-Id", &*id),
                        ("Deadline-Ms", "800"),
                        ("Key", key),
                    ];
                    attempt(front, "GET /look/1 HTTP/1.1", &headers, b"", ms(800));
                    sleep(15);
                }
            })
        })
        .collect();
    deployment.fields.set("bootstrap", "false");
    for at in 0..3 {
        deployment.rewrite_control(at);
    }
    let mut state = seed();
    for round in 0..16 {
        sleep(1_500);
        let holder = taken.lock().unwrap().last().map(|last| last.holder.clone());
        let at = holder.and_then(|holder| holder.strip_prefix("control-")?.parse().ok());
        let at: usize = if round % 4 == 3 {
            random(&mut state) as usize % 3
        } else {
            at.unwrap_or(0)
        };
        if round % 3 == 2 {
            deployment.controls[at].kill();
            sleep(200);
            deployment.controls[at].start();
        } else {
            deployment.controls[at].signal(SIGSTOP);
            sleep(2_000 + random(&mut state) % 3_000);
            deployment.controls[at].signal(SIGCONT);
        }
    }
    sleep(6_000);
    stop.store(1, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let taken = taken.lock().unwrap();
    let mut windows: Vec<u64> = taken.iter().map(|one| one.window).collect();
    windows.sort_unstable();
    windows.dedup();
    let mut fences: Vec<u64> = taken.iter().map(|one| one.fence).collect();
    fences.dedup();
    let problems = problems.lock().unwrap();
    record.say(&format!(
        "{} calls, {} taken in, {} windows, {} changes of the fence; problems: {problems:?}",
        calls.load(Ordering::SeqCst),
        taken.len(),
        windows.len(),
        fences.len()
    ));
    i32::from(!problems.is_empty())
}

/// Clients leave in the middle of plain requests and streams. Replicas note for how long they
/// are still at work after that, as they see the connection end.
pub fn callers_leave(record: &Record) -> i32 {
    let late = Arc::new(AtomicU64::new(0));
    let seen = Arc::new(AtomicU64::new(0));
    let left: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let mut list = Vec::new();
    for number in 0..4u8 {
        let address = free(host(100 + number));
        let name = format!("i-{number:04x}");
        let (late, seen, left) =
            (Arc::clone(&late), Arc::clone(&seen), Arc::clone(&left));
        let own = name.clone();
        serve(address, move |mut wire| {
            while let Ok(request) = wire.read_message(false) {
                let id = request.header("request-id").unwrap_or_default().to_string();
                let seal = format!("{own}.{id}");
                let ids = [("Request-Id", id.as_str()), ("Replica-Seal", seal.as_str())];
                if !id.ends_with("-g") {
                    let _ = wire.send(&encode("HTTP/1.1 200 OK", &ids, b"ok"));
                    continue;
                }
                if left
                    .lock()
                    .unwrap()
                    .get(&id)
                    .is_some_and(|at| at.elapsed() > ms(500))
                {
                    late.fetch_add(1, Ordering::SeqCst);
                }
                // Works until its connection ends, for five seconds at most.
                wire.set_limit(ms(5_000));
                let ended = wire.take_bytes(1).is_err();
                seen.fetch_add(1, Ordering::SeqCst);
                let at = left.lock().unwrap().get(&id).copied();
                if !ended || at.is_none_or(|at| at.elapsed() > ms(500)) {
                    late.fetch_add(1, Ordering::SeqCst);
                }
                return;
            }
        });
        list.push(listed(&name, "desk", address, ZONE, 64, "ready").into_bytes());
    }
    let (_platform, deployment) = deploy(record, 3, 2, list);
    if !put_config(
        record,
        &deployment.control_addresses(),
        &stream_config(),
        ms(10_000),
    ) {
        cannot_run(&"no configuration is acknowledged");
    }
    sleep(2_500);
    let fronts = deployment.fronts();
    let threads: Vec<_> = (0..12usize)
        .map(|number| {
            let (front, left) = (fronts[number % 2], Arc::clone(&left));
            std::thread::spawn(move || {
                let mut state = seed();
                for _ in 0..15 {
                    let id = format!("{}-g", new_id());
                    let path = ["look", "cue", "book"][random(&mut state) as usize % 3];
                    let headers = [
                        ("Host", HOST),
                        ("Request-Id", id.as_str()),
                        ("Deadline-Ms", "6000"),
                    ];
                    let Ok(mut wire) = Wire::connect(front, ms(1_000)) else {
                        continue;
                    };
                    let first = format!("POST /{path}/1 HTTP/1.1");
                    let _ = wire.send(&encode(&first, &headers, b"x"));
                    sleep(50 + random(&mut state) % 200);
                    left.lock().unwrap().insert(id, Instant::now());
                    wire.close();
                    sleep(100);
                }
            })
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
    sleep(2_000);
    let (late, seen) = (late.load(Ordering::SeqCst), seen.load(Ordering::SeqCst));
    record.say(&format!(
        "{seen} runs of callers that left, {late} at work over 0.5 s later"
    ));
    i32::from(late > 3)
}
