//! Ways from a process to the cluster that lead over instances without a disk or over
//! instances that look for the cluster themselves, over loopback and real data folders.

mod site;
mod support;

use site::{Instance, addresses, put, start_members, wait_for_entry};
use std::net::SocketAddr;
use support::address;

/// Version of the route set that is in force before a test looks for a way to it.
const VERSION: u64 = 5;

/// Starts an instance without a disk that names `seeds`.
fn forwarder(name: &str, seeds: &[SocketAddr]) -> Instance {
    let mut forwarder = Instance::without_disk(name);
    forwarder.start(seeds, false);
    forwarder
}

/// Starts an instance with an empty disk that names `seeds`.
fn newcomer(name: &str, seeds: &[SocketAddr]) -> Instance {
    let mut newcomer = Instance::with_disk(name);
    newcomer.start(seeds, false);
    newcomer
}

/// Guards against instances without a disk that ignore their own seeds: no member named
/// them, and an instance that had no other seeds never joined.
#[tokio::test(flavor = "multi_thread")]
async fn newcomer_joins_through_forwarders() {
    let members = start_members(["new-1", "new-2", "new-3"], VERSION).await;
    let first = forwarder("new-f1", &addresses(&members));
    let second = forwarder("new-f2", &addresses(&members));
    let newcomer = newcomer("new-4", &[first.internal(), second.internal()]);
    newcomer.wait_for_version(VERSION).await;
}

/// Guards against the same after a loss of power: the instance that lost its disk never
/// returned, and the next lost disk ended the majority.
#[tokio::test(flavor = "multi_thread")]
async fn lost_disk_returns_through_forwarders() {
    let mut members = start_members(["power-1", "power-2", "power-3"], VERSION).await;
    let seeds = addresses(&members);
    let mut forwarders = [forwarder("power-f1", &seeds), forwarder("power-f2", &seeds)];
    let named = addresses(&forwarders);
    for instance in members.iter_mut().chain(&mut forwarders) {
        instance.kill().await;
    }
    members[1].wipe();
    members[1].settings.seeds.addresses = named;
    for instance in members.iter_mut().chain(&mut forwarders) {
        instance.start_again();
    }
    members[1].wait_for_version(VERSION).await;
    put(&members, VERSION + 1).await;
    for member in &members {
        member.wait_for_version(VERSION + 1).await;
    }
}

/// Guards against an entry without routes: its seeds answered, but named no member.
#[tokio::test(flavor = "multi_thread")]
async fn entry_finds_control_through_forwarders() {
    let members = start_members(["entry-1", "entry-2", "entry-3"], VERSION).await;
    let first = forwarder("entry-f1", &addresses(&members));
    let second = forwarder("entry-f2", &addresses(&members));
    wait_for_entry(&[first.internal(), second.internal()], VERSION).await;
}

/// Guards against a search that ends after one step.
#[tokio::test(flavor = "multi_thread")]
async fn chain_of_forwarders_leads_to_members() {
    let members = start_members(["chain-1", "chain-2", "chain-3"], VERSION).await;
    let near = forwarder("chain-f1", &addresses(&members)[..1]);
    let middle = forwarder("chain-f2", &[near.internal()]);
    let far = forwarder("chain-f3", &[middle.internal()]);
    let newcomer = newcomer("chain-4", &[far.internal()]);
    wait_for_entry(&[far.internal()], VERSION).await;
    newcomer.wait_for_version(VERSION).await;
}

/// Guards against a search that goes round in a circle, or waits for addresses at which
/// nobody listens or nobody answers.
#[tokio::test(flavor = "multi_thread")]
async fn circle_with_dead_addresses_leads_to_members() {
    let members = start_members(["circle-1", "circle-2", "circle-3"], VERSION).await;
    let silent = std::net::TcpListener::bind((address().ip(), 0)).expect("a free port");
    let silent = silent.local_addr().map(|address| (silent, address));
    let (_socket, silent) = silent.expect("is bound");
    let mut first = Instance::without_disk("circle-f1");
    let mut second = Instance::without_disk("circle-f2");
    let member = members[2].internal();
    first.start(&[silent, address(), second.internal()], false);
    second.start(&[silent, first.internal(), address(), member], false);
    let newcomer = newcomer("circle-4", &[silent, address(), first.internal()]);
    wait_for_entry(&[first.internal()], VERSION).await;
    newcomer.wait_for_version(VERSION).await;
}

/// Guards against instances that wait for each other: the one that lost its disk was
/// silent until it had found the cluster, so it missed the members that named it, and
/// whoever had no other seed found nothing.
#[tokio::test(flavor = "multi_thread")]
async fn searching_instance_leads_to_members() {
    let mut members = start_members(["seek-1", "seek-2", "seek-3"], VERSION).await;
    let mut wiped = Instance::with_disk("seek-4");
    for member in &mut members {
        member.reload_seeds(&[wiped.internal()]);
    }
    let forwarder = forwarder("seek-f1", &[wiped.internal()]);
    wiped.start(&[forwarder.internal()], false);
    let newcomer = newcomer("seek-5", &[forwarder.internal()]);
    wait_for_entry(&[forwarder.internal()], VERSION).await;
    wiped.wait_for_version(VERSION).await;
    newcomer.wait_for_version(VERSION).await;
}

/// Guards against an instance without a disk that keeps the seeds of its start.
#[tokio::test(flavor = "multi_thread")]
async fn changed_seeds_of_forwarder_lead_to_members() {
    let members = start_members(["reload-1", "reload-2", "reload-3"], VERSION).await;
    let mut forwarder = forwarder("reload-f1", &[address()]);
    let newcomer = newcomer("reload-4", &[forwarder.internal()]);
    forwarder.reload_seeds(&addresses(&members)[..1]);
    wait_for_entry(&[forwarder.internal()], VERSION).await;
    newcomer.wait_for_version(VERSION).await;
}
