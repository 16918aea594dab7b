//! The cases. Each returns 1 if its rule was broken and 0 if it held.

use crate::desk::*;
use crate::kit::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// Another writer's entry of the list holds bytes that can't be read.
pub fn unreadable_entry(record: &Record) -> i32 {
    let desk = replicas(record, "desk", 100, 4);
    let (platform, mut deployment) = deploy(record, 3, 3, entries(&desk, "ready"));
    let fronts = deployment.fronts();
    // The name of the entry holds two control characters, as no JSON text may.
    let unreadable =
        b"{\"service\":\"desk\",\"id\":\"i-9\x01\x07\",\"state\":\"ready\"}".to_vec();
    let foreign = if trouble() {
        vec![unreadable]
    } else {
        Vec::new()
    };
    platform.set(page(&[entries(&desk, "ready"), foreign.clone()].concat()));
    record.line("the list holds the entry of another writer");
    sleep(2_000);

    let clients = Clients::start(record, &fronts, 4);
    sleep(1_000);
    let (leaving, staying) = desk.split_at(1);
    let list = [
        entries(leaving, "draining"),
        entries(staying, "ready"),
        foreign.clone(),
    ];
    leaving[0].leaving.store(true, Ordering::SeqCst);
    platform.set(page(&list.concat()));
    let shown = Instant::now();
    record.line(&format!("the list shows {} as draining", leaving[0].id));
    sleep(8_000);
    let (late, latest) = late_runs(leaving, shown);
    let (sent, served) = clients.finish();
    record.say(&format!(
        "DRAIN: {late} of {sent} requests ran at the leaving replica later than 3000 ms \
         after the list shows it, the last one after {latest} ms"
    ));
    leaving[0].down.store(true, Ordering::SeqCst);
    platform.set(page(&[entries(staying, "ready"), foreign].concat()));
    let before = served as f64 / sent.max(1) as f64;

    deployment.kill_all(ms(500));
    thread::sleep(RECOVER);
    let clients = Clients::start(record, &fronts, 4);
    sleep(5_000);
    let (sent, served) = clients.finish();
    let after = served as f64 / sent.max(1) as f64;
    record.say(&format!(
        "RECOVER: {:.0} of 100 requests served before all processes were killed, {served} of \
         {sent} from 12 s after their start on",
        before * 100.0
    ));
    let broken = late > 0 || (before >= 0.25 && after < 0.25);
    verdict(
        record,
        broken,
        "DRAIN and RECOVER, one entry of the list can't be read",
    )
}

/// The list loses more than half of its entries while replicas begin to leave.
pub fn shrunk_list(record: &Record) -> i32 {
    let desk = replicas(record, "desk", 100, 4);
    let voice = replicas(record, "voice", 120, 12);
    let all = [entries(&desk, "ready"), entries(&voice, "ready")].concat();
    let (platform, deployment) = deploy(record, 3, 8, all);
    let clients = Clients::start(record, &deployment.fronts(), 2);
    if trouble() {
        for one in &voice {
            one.down.store(true, Ordering::SeqCst);
        }
        record.line("all replicas of voice crash; they stay on the list for 5 s");
    }
    // Readers read once a second: any phase of theirs may meet the change.
    sleep(5_000 + u64::from(std::process::id()) % 1_000);
    let (leaving, staying) = desk.split_at(2);
    let mut list = [entries(leaving, "draining"), entries(staying, "ready")].concat();
    if !trouble() {
        list.extend(entries(&voice, "ready"));
    }
    platform.set(page(&list));
    let shown = Instant::now();
    record.line(&format!(
        "the list shows {} and {} as draining, and has {} entries",
        leaving[0].id,
        leaving[1].id,
        list.len()
    ));
    sleep(7_000);
    let (late, latest) = late_runs(leaving, shown);
    let (sent, served) = clients.finish();
    record.say(&format!(
        "{served} of {sent} requests served; {late} ran at a leaving replica later than \
         3000 ms after the list shows it, the last one after {latest} ms"
    ));
    verdict(
        record,
        late > 0,
        "DRAIN, most of the list is gone in the same moment",
    )
}

/// A first start at which the lowest of the three seeds has no disk.
pub fn first_start(record: &Record) -> i32 {
    let desk = replicas(record, "desk", 100, 2);
    let address = free(host(200));
    let platform = Platform::start(address);
    platform.set(page(&entries(&desk, "ready")));
    let mut deployment = Deployment::new(record, 4, 2, address);
    // The seeds are the addresses of the instances 0 to 2.
    deployment.diskless = vec![if trouble() { 0 } else { 3 }];
    deployment.start(&[ZONE.to_string()]);
    let control = deployment.control_addresses();
    let acknowledged = put_config(record, &control, &config(1), ms(40_000));
    let clients = Clients::start(record, &deployment.fronts(), 2);
    sleep(5_000);
    let (sent, served) = clients.finish();
    record.say(&format!(
        "the first configuration, sent for up to 40 s, is acknowledged: {acknowledged}; \
         {served} of {sent} requests served"
    ));
    let broken = !acknowledged || served == 0;
    verdict(
        record,
        broken,
        "Fault, no request is served after a first start",
    )
}

/// Configurations that PROTOCOL.md calls invalid.
pub fn invalid_config(record: &Record) -> i32 {
    let desk = replicas(record, "desk", 100, 2);
    let (_platform, deployment) = deploy(record, 3, 1, entries(&desk, "ready"));
    let control = deployment.control_addresses()[0];
    let service = "\"service\":\"desk\"";
    let split = |first: &str, second: &str| {
        format!(
            "\"traffic_split\":[{{\"service\":\"desk\",\"weight\":{first}}},\
             {{\"service\":\"desk\",\"weight\":{second}}}]"
        )
    };
    let bad = |invalid: &str, valid: &str| {
        (if trouble() { invalid } else { valid }).to_string()
    };
    let route = [
        (
            "a route names an unknown service beside its split",
            format!(
                "{},{}",
                bad("\"service\":\"gone\"", service),
                split("90", "10")
            ),
        ),
        ("a route's weights add up to 0", split("1", &bad("-1", "1"))),
        (
            "the text can't be read in full: bytes that are no UTF-8",
            format!("{service},\"note\":\"{}\"", bad("\u{1}\u{1}", "ok")),
        ),
    ];
    let mut broken = Vec::new();
    for (at, (what, fields)) in route.iter().enumerate() {
        let version = at as u64 + 2;
        let text = config(version).replace(service, fields);
        // The two control characters stand for bytes that no text of JSON holds.
        let byte = |byte: u8| if byte == 1 { 0xff } else { byte };
        let body: Vec<u8> = text.bytes().map(byte).collect();
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let put = attempt(control, "PUT /config HTTP/1.1", &headers, &body, ms(5_000));
        let get = attempt(control, "GET /config HTTP/1.1", &headers, b"", ms(5_000));
        let held = match &get {
            Outcome::Answer(answer) => answer.body == body,
            _ => false,
        };
        record.say(&format!(
            "{what}, version {version}: PUT is answered {}, GET {}; it is in force: {held}",
            put.short(),
            get.short()
        ));
        match (trouble(), put.status()) {
            (true, 200) => broken.push(*what),
            (false, status) if status != 200 => cannot_run(&"a valid one is refused"),
            _ => {}
        }
    }
    let text = format!(
        "CONFIG, invalid configurations acknowledged: {}",
        broken.len()
    );
    verdict(record, !broken.is_empty(), &text)
}

/// Requests with many short header fields, far below `max_header_bytes`.
pub fn many_fields(record: &Record) -> i32 {
    let desk = replicas(record, "desk", 100, 2);
    let (_platform, deployment) = deploy(record, 3, 2, entries(&desk, "ready"));
    let count = if trouble() { 120 } else { 80 };
    let names: Vec<String> = (0..count).map(|at| format!("X-Tag-{at}")).collect();
    let (mut sent, mut denied) = (0, 0);
    for front in deployment.fronts() {
        for _ in 0..100 {
            let id = new_id();
            let mut headers = vec![
                ("Host", HOST),
                ("Request-Id", id.as_str()),
                ("Deadline-Ms", "1500"),
            ];
            headers.extend(names.iter().map(|name| (name.as_str(), "1")));
            let outcome =
                attempt(front, "GET /look/1 HTTP/1.1", &headers, b"", ms(1_500));
            record.line(&format!("{id} to {front}: {}", outcome.short()));
            sent += 1;
            denied += usize::from((400..500).contains(&outcome.status()));
        }
    }
    record.say(&format!(
        "{denied} of {sent} requests with {count} fields more, some 1.5 KB, are denied"
    ));
    let broken = denied > 5 + sent / 500;
    verdict(
        record,
        broken,
        "DENIED, proper requests with many header fields",
    )
}

/// Events of a stream, and the pause between two.
const EVENTS: u64 = 12;
const PAUSE: u64 = 30;

fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} piece {number}\n\n")
}

fn whole_stream(id: &str) -> String {
    (1..=EVENTS).map(|number| event(id, number)).collect()
}

/// What the replicas of a stream service share: the sends of each request, and how many
/// failures and broken answers they may still produce.
#[derive(Default)]
struct Faults {
    sends: HashMap<String, u64>,
    failed: Vec<String>,
    cut: Vec<String>,
    served_by_garbling: u64,
}

/// Most failures and most broken answers in a run.
const MOST_FAILED: usize = 8;
const MOST_CUT: usize = 5;
/// Answers of the garbling replicas for each one that is broken off: 0.03 of them.
const ANSWERS_PER_CUT: u64 = 34;

/// A replica of a stream service. Its answers have no length and end with their connection.
/// Replica 0 fails every third first send that it gets with a 500 (not with `TROUBLE=0`).
/// Replicas 1 to 4 break off an answer inside its sixth event: that of a second send or, with
/// `TROUBLE=0`, that of a first one.
fn stream_replica(
    record: &Record,
    number: u8,
    name: String,
    address: SocketAddr,
    faults: Arc<Mutex<Faults>>,
) {
    let record = record.clone();
    let got = std::sync::atomic::AtomicU64::new(0);
    serve(address, move |mut wire| {
        let Ok(request) = wire.read_message(false) else {
            return;
        };
        let id = request.header("request-id").unwrap_or_default().to_string();
        let seal = format!("{name}.{id}");
        let ids = [("Request-Id", id.as_str()), ("Replica-Seal", seal.as_str())];
        if request.path().starts_with("/look/") {
            let _ = wire.send(&encode("HTTP/1.1 200 OK", &ids, b"ok"));
            return;
        }
        let (fails, cut) = {
            let mut faults = faults.lock().unwrap();
            let send = faults.sends.entry(id.clone()).or_default();
            *send += 1;
            let send = *send;
            let third = number == 0 && got.fetch_add(1, Ordering::SeqCst) % 3 == 2;
            let fails =
                trouble() && send == 1 && third && faults.failed.len() < MOST_FAILED;
            if fails {
                faults.failed.push(id.clone());
            }
            let garbling = (1..=4).contains(&number);
            faults.served_by_garbling += u64::from(garbling);
            let allowed = (faults.cut.len() as u64 + 1) * ANSWERS_PER_CUT;
            let due = send == if trouble() { 2 } else { 1 };
            let cut = garbling
                && due
                && faults.cut.len() < MOST_CUT
                && faults.served_by_garbling >= allowed;
            if cut {
                faults.cut.push(id.clone());
            }
            (fails, cut)
        };
        if fails {
            record.line(&format!("{name} runs {id} and fails with 500"));
            let _ = wire.send(&encode("HTTP/1.1 500 Failed", &ids, b"failed"));
            return;
        }
        let after = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok());
        let after: u64 = after.unwrap_or(0);
        record.line(&format!("{name} runs {id} from event {}", after + 1));
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nReplica-Seal: {seal}\r\n\
             Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        );
        let _ = wire.send(head.as_bytes());
        if id.ends_with("-e") {
            record.line(&format!("{name} ends {id} before its first event"));
            return;
        }
        for number in after + 1..=EVENTS {
            let text = event(&id, number);
            sleep(PAUSE);
            if cut && number == 6 {
                let _ = wire.send(&text.as_bytes()[..text.len() / 2]);
                record.line(&format!("{name} breaks {id} off inside event 6"));
                return;
            }
            if wire.send(text.as_bytes()).is_err() {
                return;
            }
        }
    });
}

/// Sends a stream request; its body, whether it ended properly, and its first byte's time.
fn read_cue(front: SocketAddr, id: &str) -> Option<(u16, String, bool, u128)> {
    let own = id.trim_end_matches("-e");
    let parts = format!("{own}:100,{own}1:100");
    let headers = [
        ("Host", HOST),
        ("Request-Id", id),
        ("Deadline-Ms", "6000"),
        ("Model", "m"),
        ("Token-Usage", "200,48"),
        ("Prompt-Prefix", &parts),
    ];
    let start = Instant::now();
    let mut wire = Wire::connect(front, ms(1_000)).ok()?;
    wire.set_limit(ms(6_000));
    wire.send(&encode("POST /cue/1 HTTP/1.1", &headers, b"prompt"))
        .ok()?;
    let head = wire.read_head().ok()?;
    let first = start.elapsed().as_millis();
    let (body, ended) = wire.read_stream(&head);
    let text = String::from_utf8_lossy(&body).into_owned();
    Some((head.status(), text, ended, first))
}

/// Starts eight replicas of streams and a deployment with a route to them.
fn deploy_streams(record: &Record) -> (Platform, Deployment, Arc<Mutex<Faults>>) {
    let faults = Arc::new(Mutex::new(Faults::default()));
    let mut list = Vec::new();
    for number in 0..8u8 {
        let address = free(host(100 + number));
        let name = format!("i-{number:04x}");
        stream_replica(record, number, name.clone(), address, Arc::clone(&faults));
        list.push(listed(&name, "desk", address, ZONE, 64, "ready").into_bytes());
    }
    let (platform, deployment) = deploy(record, 3, 1, list);
    let route = format!(
        "\"routes\":[{{\"name\":\"r-cue\",\"host\":\"{HOST}\",\"path_prefix\":\"/cue/\",\
         \"kind\":\"stream\",\"timeout_ms\":6000,\"slo_ms\":600,\"priority\":0,\
         \"service\":\"desk\",\"max_attempts\":2,\"public\":true,\"sticky\":true,\
         \"resumable\":true,\"gap_target_ms\":120}},"
    );
    let text = config(2).replacen("\"routes\":[", &route, 1);
    if !put_config(record, &deployment.control_addresses(), &text, ms(10_000)) {
        cannot_run(&"the route for streams is not acknowledged");
    }
    sleep(2_500);
    (platform, deployment, faults)
}

/// Streams without a length whose replica ends the connection before the first event.
pub fn empty_stream(record: &Record) -> i32 {
    let (_platform, deployment, _faults) = deploy_streams(record);
    let front = deployment.fronts()[0];
    for _ in 0..3 {
        let id = format!("{}-e", new_id());
        record.say(&format!("{id}: {:?}", read_cue(front, &id)));
    }
    0
}

/// A stream whose first send fails is sent again, and that answer is cut off inside an event.
pub fn cut_after_failure(record: &Record) -> i32 {
    let (_platform, deployment, faults) = deploy_streams(record);
    let front = deployment.fronts()[0];
    let client = move || {
        let read = |_| {
            let id = new_id();
            read_cue(front, &id).map(|read| (id, read))
        };
        (0..60).filter_map(read).collect::<Vec<_>>()
    };
    let threads: Vec<_> = (0..16).map(|_| thread::spawn(client)).collect();
    let all: Vec<_> = threads
        .into_iter()
        .flat_map(|one| one.join().unwrap())
        .collect();
    let faults = faults.lock().unwrap();
    let (mut short, mut whole) = (0, 0);
    for (id, (status, text, ended, first)) in &all {
        whole += usize::from(*ended && *text == whole_stream(id));
        let is_short = *status == 200 && *ended && *text != whole_stream(id);
        short += usize::from(is_short);
        if faults.cut.contains(id) || is_short {
            let events = text.matches("\n\n").count();
            record.say(&format!(
                "{id}: {status}, {events} of {EVENTS} whole events, the first byte after \
                 {first} ms; ended as complete: {ended}"
            ));
        }
    }
    record.say(&format!(
        "{} streams, {} sends failed, {} of {} answers of garbling replicas broken off; {whole} \
         streams are whole, {short} end as complete before their last piece",
        all.len(),
        faults.failed.len(),
        faults.cut.len(),
        faults.served_by_garbling
    ));
    verdict(
        record,
        short > 0,
        "ORDER, a stream that is cut off after a failed first send",
    )
}
