//! Machines of the deployment: each runs a control instance and an entry, as processes
//! with the commands of the deploy file.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Ports that are the same on all machines.
#[derive(Clone, Copy, Debug)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    internal: u16,
}

/// All machines of the core, and their ports.
#[derive(Debug)]
pub struct Machines {
    folder: PathBuf,
    ports: Ports,
    list: SocketAddr,
    addresses: Vec<Ipv4Addr>,
    control: Vec<Option<Child>>,
    entry: Vec<Option<Child>>,
}

/// A loopback address that this run alone uses.
fn loopback(machine: usize) -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + (high & 0x3f), low, machine as u8 + 1)
}

fn free_port(address: Ipv4Addr) -> u16 {
    let socket = TcpListener::bind((address, 0)).expect("a port is free");
    socket.local_addr().expect("the socket is bound").port()
}

/// Kills a process, if it runs.
fn end(child: &mut Option<Child>) {
    if let Some(mut child) = child.take() {
        // Fails only if the process has ended.
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Machines {
    /// `count` machines with empty disks; none is started. `list` is the platform.
    pub fn new(count: usize, list: SocketAddr) -> Self {
        let name = format!("dogwoodhill-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("the temporary folder is writable");
        let addresses: Vec<Ipv4Addr> = (0..count).map(loopback).collect();
        let ports = Ports {
            front: free_port(addresses[0]),
            ready: free_port(addresses[0]),
            control: free_port(addresses[0]),
            internal: free_port(addresses[0]),
        };
        Self {
            folder,
            ports,
            list,
            addresses,
            control: (0..count).map(|_| None).collect(),
            entry: (0..count).map(|_| None).collect(),
        }
    }

    /// Number of machines.
    pub fn count(&self) -> usize {
        self.addresses.len()
    }

    /// Address for clients.
    pub fn front(&self, machine: usize) -> SocketAddr {
        self.address(machine, self.ports.front)
    }

    /// Address for operators.
    pub fn operators(&self, machine: usize) -> SocketAddr {
        self.address(machine, self.ports.control)
    }

    fn address(&self, machine: usize, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.addresses[machine]), port)
    }

    /// A listener in place of a control instance that has no power yet: nothing answers
    /// there until it is dropped.
    pub fn silence(&self, machine: usize) -> TcpListener {
        let address = self.address(machine, self.ports.internal);
        TcpListener::bind(address).expect("the port is free")
    }

    /// Data folder of the control instance.
    pub fn data(&self, machine: usize) -> PathBuf {
        self.folder.join(format!("data-{machine}"))
    }

    fn seeds(&self) -> String {
        let seeds = (0..3).map(|seed| format!("\"{}\"", self.operators(seed)));
        seeds.collect::<Vec<String>>().join(",")
    }

    /// Starts the control instance, with settings as `deploy/control.json` renders them.
    pub fn start_control(&mut self, machine: usize, bootstrap: bool) {
        let text = format!(
            r#"{{"name":"{}","listen":"{}","internal":"{}","seeds":[{}],"seed_port":{},
                "founding":{bootstrap},"losses":1,"data":"{}","duties":[],
                "cluster_key":"one key for all processes of a deployment"}}"#,
            self.addresses[machine],
            self.operators(machine),
            self.address(machine, self.ports.internal),
            self.seeds(),
            self.ports.internal,
            self.data(machine).display(),
        );
        fs::create_dir_all(self.data(machine)).expect("the temporary folder is writable");
        self.control[machine] = Some(self.spawn("control", machine, &text));
    }

    /// Starts the entry, with settings as `deploy/entry.json` renders them.
    pub fn start_entry(&mut self, machine: usize) {
        let text = format!(
            r#"{{"name":"front-{machine}","domain":"zone-{machine}","listen":"{}",
                "status":"{}","control":[{}],"control_port":{},
                "cluster_key":"one key for all processes of a deployment","list":"{}",
                "leaving_within":"3000ms","second_share":0.2,"second_spare":58,
                "grace":"8s","shares":"yield","pace":true,"lending":false,
                "prefixes":true,"duties":[]}}"#,
            self.front(machine),
            self.address(machine, self.ports.ready),
            self.seeds(),
            self.ports.internal,
            self.list,
        );
        self.entry[machine] = Some(self.spawn("entry", machine, &text));
    }

    fn spawn(&self, role: &str, machine: usize, settings: &str) -> Child {
        let path = self.folder.join(format!("{role}-{machine}.json"));
        fs::write(&path, settings).expect("the temporary folder is writable");
        let log = path.with_extension("log");
        let log = File::options().create(true).append(true).open(log);
        let log = log.expect("the temporary folder is writable");
        let mut command =
            Command::new(format!("target/release/dogwoodhill-platform-{role}"));
        // As the platform sets it.
        command.env("MALLOC_ARENA_MAX", "1");
        command.arg("--settings").arg(path).stdin(Stdio::null());
        command
            .stderr(log.try_clone().expect("the log is open"))
            .stdout(log);
        let started = bind(&mut command, processor_of(machine)).spawn();
        started.expect("the programs of the deploy file are built")
    }

    /// Kills both processes of a machine, as a loss of power does.
    pub fn kill(&mut self, machine: usize) {
        end(&mut self.control[machine]);
        end(&mut self.entry[machine]);
    }

    /// Kills the entry of a machine.
    pub fn kill_entry(&mut self, machine: usize) {
        end(&mut self.entry[machine]);
    }

    /// Sends a signal, such as `TERM`, to the entry of a machine.
    pub fn signal_entry(&self, machine: usize, signal: &str) {
        if let Some(child) = &self.entry[machine] {
            let id = child.id().to_string();
            let sent = Command::new("kill").args(["-s", signal, &id]).status();
            sent.expect("the kill command runs");
        }
    }

    /// Waits until the entry of a machine exits, for `limit` at most.
    pub fn wait_entry(&mut self, machine: usize, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while let Some(child) = &mut self.entry[machine] {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.entry[machine] = None;
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        true
    }

    /// Resident memory of the entry of a machine, in bytes.
    pub fn entry_memory(&self, machine: usize) -> Option<u64> {
        let id = self.entry[machine].as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes * 1024)
    }
}

impl Drop for Machines {
    fn drop(&mut self) {
        for machine in 0..self.count() {
            self.kill(machine);
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Processors that a mask has room for, in words.
const MASK_WORDS: usize = 16;
/// A set of processors.
type Mask = [u64; MASK_WORDS];

unsafe extern "C" {
    fn sched_getaffinity(process: i32, length: usize, mask: *mut Mask) -> i32;
    fn sched_setaffinity(process: i32, length: usize, mask: *const Mask) -> i32;
}

/// One of the processors of this process; the machines use different ones if they can.
fn processor_of(machine: usize) -> Mask {
    let mut usable = [0; MASK_WORDS];
    // SAFETY: the length is that of the mask.
    let read = unsafe { sched_getaffinity(0, size_of::<Mask>(), &mut usable) };
    assert!(read >= 0, "the system names the processors");
    let numbers = (0..MASK_WORDS * 64).filter(|at| usable[at / 64] >> (at % 64) & 1 == 1);
    let numbers: Vec<usize> = numbers.collect();
    let number = numbers[machine % numbers.len()];
    let mut mask = [0; MASK_WORDS];
    mask[number / 64] = 1 << (number % 64);
    mask
}

/// Makes a process see one processor, as those of the platform do.
fn bind(command: &mut Command, mask: Mask) -> &mut Command {
    let call = move || {
        // SAFETY: the length is that of the mask.
        match unsafe { sched_setaffinity(0, size_of::<Mask>(), &mask) } {
            0 => Ok(()),
            _ => Err(std::io::Error::last_os_error()),
        }
    };
    // SAFETY: the closure makes one call of the system and allocates nothing.
    unsafe { command.pre_exec(call) }
}
