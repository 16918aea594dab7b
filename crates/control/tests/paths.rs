//! Ways from a process to the cluster that lead over instances without a disk or over
//! instances that look for the cluster themselves, over loopback and real data folders.

mod site;
mod support;

use dogwoodhill_core::prelude::*;
use site::{
    Instance, addresses, get, poll, put, start_members, wait_for_entry, wait_until,
};
use std::net::{SocketAddr, TcpListener};
use support::address;
use tokio::time::{Instant as Time, sleep};

/// Version of the route set that is in force before a test looks for a way to it.
const VERSION: u64 = 5;

/// Time within which an instance would have done what it must not do: well above the
/// interval of its attempts.
const SETTLE_TIME: Duration = Duration::from_secs(4);

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

/// An address at which connections are accepted and nothing answers, for as long as the
/// socket is kept.
fn silent_address() -> (TcpListener, SocketAddr) {
    let socket = TcpListener::bind((address().ip(), 0)).expect("a free port");
    let address = socket.local_addr().expect("is bound");
    (socket, address)
}

/// Guards against calls that wait for each other: ten addresses that hang delayed the
/// search and then the join by a second each.
#[tokio::test(flavor = "multi_thread")]
async fn silent_addresses_delay_no_join() {
    let silent: Vec<(TcpListener, SocketAddr)> =
        (0..10).map(|_| silent_address()).collect();
    let members = start_members(["silent-1", "silent-2", "silent-3"], VERSION).await;
    let mut seeds: Vec<SocketAddr> = silent.iter().map(|(_, address)| *address).collect();
    seeds.extend(addresses(&members));
    let started = Time::now();
    let newcomer = newcomer("silent-4", &seeds);
    newcomer.wait_for_version(VERSION).await;
    let elapsed = started.elapsed();
    assert!(elapsed < Duration::from_secs(8), "took {elapsed:?}");
}

/// Guards against a search that goes round in a circle, or waits for addresses at which
/// nobody listens or nobody answers.
#[tokio::test(flavor = "multi_thread")]
async fn circle_with_dead_addresses_leads_to_members() {
    let members = start_members(["circle-1", "circle-2", "circle-3"], VERSION).await;
    let (_socket, silent) = silent_address();
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

/// Guards against an instance without a disk that knows only the member in its seeds, and
/// nobody once that one is gone.
#[tokio::test(flavor = "multi_thread")]
async fn forwarder_outlives_its_only_seed() {
    let mut members = start_members(["gone-1", "gone-2", "gone-3"], VERSION).await;
    let forwarder = forwarder("gone-f1", &addresses(&members)[..1]);
    wait_until("the forwarder knows all members", async || {
        let status = poll(forwarder.internal()).await;
        status.is_some_and(|status| status.control.len() == 3)
    })
    .await;
    members[0].kill().await;
    sleep(SETTLE_TIME).await;
    let newcomer = newcomer("gone-4", &[forwarder.internal()]);
    newcomer.wait_for_version(VERSION).await;
}

/// Guards against an instance that is taken for a working one while it looks for its
/// cluster.
#[tokio::test(flavor = "multi_thread")]
async fn searching_instance_is_not_ready() {
    let searching = newcomer("unready-1", &[address()]);
    let listeners = [searching.settings.listen, searching.internal()];
    wait_until("it listens", async || {
        get(listeners[0], "/healthz").await == Some(200)
    })
    .await;
    for listener in listeners {
        assert_eq!(get(listener, "/readyz").await, Some(503));
    }
    assert_eq!(get(listeners[0], "/v1/status").await, Some(503));
    assert_eq!(get(listeners[0], "/v1/routes").await, Some(503));
}

/// Guards against an instance that is not ready again after its search, or whose listeners
/// are lost between the search and the member.
#[tokio::test(flavor = "multi_thread")]
async fn found_instance_becomes_ready() {
    let members = start_members(["ready-1", "ready-2", "ready-3"], VERSION).await;
    let mut forwarder = forwarder("ready-f1", &[address()]);
    let newcomer = newcomer("ready-4", &[forwarder.internal()]);
    let listen = newcomer.settings.listen;
    wait_until("it listens", async || {
        get(listen, "/readyz").await == Some(503)
    })
    .await;
    forwarder.reload_seeds(&addresses(&members));
    wait_until("it is ready", async || {
        get(listen, "/readyz").await == Some(200)
    })
    .await;
    newcomer.wait_for_version(VERSION).await;
}

/// Guards against a member that joins another cluster, whose members do not count it as
/// theirs, after its own has lost its majority.
#[tokio::test(flavor = "multi_thread")]
async fn foreign_cluster_is_not_joined() {
    let mut own = start_members(["own-1", "own-2", "own-3"], VERSION).await;
    let other = start_members(["other-1", "other-2", "other-3"], VERSION).await;
    let forwarder = forwarder("other-f1", &addresses(&other));
    wait_for_entry(&[forwarder.internal()], VERSION).await;
    own[0].kill().await;
    own[1].kill().await;
    own[2].reload_seeds(&[forwarder.internal(), other[0].internal()]);
    let end = Time::now() + SETTLE_TIME;
    while Time::now() < end {
        let status = poll(other[1].internal()).await;
        let members = status.expect("has a majority").control;
        assert!(!members.contains(&own[2].internal()), "{members:?}");
        sleep(SETTLE_TIME / 40).await;
    }
}

/// Guards against a new instance that joins whichever of two clusters is named first.
#[tokio::test(flavor = "multi_thread")]
async fn neither_of_two_clusters_is_joined() {
    let first = start_members(["two-1", "two-2", "two-3"], VERSION).await;
    let second = start_members(["two-4", "two-5", "two-6"], VERSION).await;
    let seeds = [first[0].internal(), second[0].internal()];
    let forwarder = forwarder("two-f1", &seeds);
    wait_until("the forwarder knows both", async || {
        let status = poll(forwarder.internal()).await;
        status.is_some_and(|status| status.control.len() == 6)
    })
    .await;
    let newcomer = newcomer("two-7", &[forwarder.internal()]);
    sleep(SETTLE_TIME).await;
    for member in [&first[1], &second[1]] {
        let status = poll(member.internal()).await;
        let members = status.expect("has a majority").control;
        assert!(!members.contains(&newcomer.internal()), "{members:?}");
    }
}

/// Guards against a third cluster beside two that an instance without a disk knows: it
/// names neither, which is no answer that there is none.
#[tokio::test(flavor = "multi_thread")]
async fn founder_refuses_beside_two_clusters() {
    let mut founder = Instance::with_disk("third-0");
    let first = start_members(["third-1", "third-2", "third-3"], VERSION).await;
    let second = start_members(["third-4", "third-5", "third-6"], VERSION).await;
    let seeds = [first[0].internal(), second[0].internal()];
    let forwarder = forwarder("third-f1", &seeds);
    wait_until("the forwarder knows both", async || {
        let status = poll(forwarder.internal()).await;
        status.is_some_and(|status| status.control.len() == 6)
    })
    .await;
    assert_stays_without_cluster(&mut founder, &forwarder).await;
}

/// Starts `founder` as the first instance, and asserts that it creates no cluster.
async fn assert_stays_without_cluster(founder: &mut Instance, forwarder: &Instance) {
    founder.start(&[founder.internal(), forwarder.internal()], true);
    let end = Time::now() + SETTLE_TIME;
    while Time::now() < end {
        let cluster: Option<u128> = founder.call("/internal/cluster", &()).await;
        assert_eq!(cluster, None, "no cluster of its own");
        sleep(SETTLE_TIME / 40).await;
    }
}

/// Guards against a second cluster: a seed of the first start lost its disk, its settings
/// still found a cluster, and its other seeds name instances without a disk. It joins the
/// cluster that they know, and names no other one before.
#[tokio::test(flavor = "multi_thread")]
async fn wiped_founder_creates_no_second_cluster() {
    let mut founder = Instance::with_disk("found-0");
    let members = start_members(["found-1", "found-2", "found-3"], VERSION).await;
    let forwarder = forwarder("found-f1", &addresses(&members));
    wait_for_entry(&[forwarder.internal()], VERSION).await;
    let existing: Option<u128> = members[0].call("/internal/cluster", &()).await;
    assert!(existing.is_some());
    founder.start(&[founder.internal(), forwarder.internal()], true);
    let end = Time::now() + SETTLE_TIME;
    while Time::now() < end {
        let named: Option<u128> = founder.call("/internal/cluster", &()).await;
        assert!(named.is_none() || named == existing, "a cluster of its own");
        sleep(SETTLE_TIME / 40).await;
    }
    founder.wait_for_version(VERSION).await;
}
