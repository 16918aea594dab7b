//! The machine with the lowest seed address loses power while the whole system starts for
//! the first time, and comes back.

use crate::Verdict;
use crate::client;
use crate::machines::Machines;
use crate::operator;
use crate::record::Record;
use crate::replica::{Replica, SERVICE, Work, serve_list};
use std::thread;
use std::time::Duration;

/// Machines of the core; the loss of one is to be borne.
const MACHINES: usize = 3;
/// The machine that starts first, and is lost.
const FIRST: usize = 0;
/// Time from the first start until the machine loses power.
const LOST_AFTER: Duration = Duration::from_millis(150);
/// Time from then until the other machines start. All start within 0.3 s.
const OTHERS_AFTER: Duration = Duration::from_millis(100);
/// Time for which the lost machine is dark.
const DARK: Duration = Duration::from_secs(3);
/// Time for which the operator resends the first configuration after all machines are
/// back: ten times `ack_ms`.
const SEND_LIMIT: Duration = Duration::from_secs(40);
/// Time for which the operator reads it back: over three times `contact_ms`.
const READ_LIMIT: Duration = Duration::from_secs(10);
/// Requests of clients at the end.
const REQUESTS: usize = 9;

fn config() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"r","host":"{}","path_prefix":"/a/",
            "kind":"unsafe","timeout_ms":2000,"slo_ms":150,"priority":1,
            "service":"{SERVICE}","max_attempts":1}}],
            "services":[{{"name":"{SERVICE}","health_path":"/healthz"}}]}}"#,
        client::HOST
    )
}

fn start(machines: &mut Machines, machine: usize, bootstrap: bool, record: &Record) {
    record.line(&format!(
        "machine {machine} starts, bootstrap = {bootstrap}"
    ));
    machines.start_control(machine, bootstrap);
    machines.start_entry(machine);
}

/// Plays the case.
pub fn play(trouble: bool, record: &Record) -> Verdict {
    let work = Work {
        time: Duration::from_millis(20),
        bytes: 800,
    };
    let replicas: Vec<Replica> = (0..MACHINES)
        .map(|at| Replica::start(&format!("i-{at}"), work, record))
        .collect();
    let listed: Vec<_> = replicas.iter().map(Replica::listed).collect();
    let mut machines = Machines::new(MACHINES, serve_list(&listed));
    let others = FIRST + 1..MACHINES;
    let without_power: Vec<_> = others.clone().map(|at| machines.silence(at)).collect();
    start(&mut machines, FIRST, true, record);
    thread::sleep(LOST_AFTER);
    if trouble {
        machines.kill(FIRST);
        record.line(&format!("machine {FIRST} loses power"));
        if machines.data(FIRST).join("identity").exists() {
            return Verdict::CannotRun("the machine was lost too late".to_string());
        }
    }
    thread::sleep(OTHERS_AFTER);
    drop(without_power);
    for machine in others {
        start(&mut machines, machine, true, record);
    }
    if trouble {
        thread::sleep(DARK);
        let bootstrap = std::env::var("BOOTSTRAP").as_deref() == Ok("1");
        start(&mut machines, FIRST, bootstrap, record);
    }
    let config = config();
    let sent = operator::repeat(&machines, record, ("PUT", &config), SEND_LIMIT);
    let read = operator::repeat(&machines, record, ("GET", ""), READ_LIMIT);
    thread::sleep(Duration::from_secs(3));
    let wait = Duration::from_secs(3);
    let served = (0..REQUESTS).filter(|at| {
        let request = client::request("/a/x", 2_000, Vec::new());
        client::send(machines.front(at % MACHINES), &request, wait, record) == 200
    });
    let served = served.count();
    let text = format!(
        "configuration acknowledged: {}, read back: {}, requests served: {served} of {REQUESTS}",
        sent.is_some(),
        read.is_some()
    );
    match read.is_some_and(|read| read.body == config.as_bytes()) {
        true => Verdict::Held(text),
        false => Verdict::Broken(text),
    }
}
