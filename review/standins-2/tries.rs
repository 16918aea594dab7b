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
