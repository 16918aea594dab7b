//! The first start of a deployment, over loopback and real data folders.

#[allow(dead_code, reason = "other tests use the rest")]
mod site;
mod support;

use dogwoodhill_core::prelude::*;
use site::{Instance, addresses, put, wait_for_entry, wait_until};
use std::path::PathBuf;
use tokio::time::sleep;

const VERSION: Version = 3;

/// Instances with a disk, sorted by address.
fn instances<const N: usize>(names: [&str; N]) -> Vec<Instance> {
    let mut all: Vec<Instance> = names.map(Instance::with_disk).into();
    all.sort_by_key(Instance::internal);
    all
}

fn remove_disk(instance: &mut Instance) {
    instance.settings.data = PathBuf::new();
}

/// Guards against a first start that founds no cluster because the founding seed has no
/// disk. Each position among the seeds is tried.
#[tokio::test]
async fn first_start_seed_without_disk_cluster_founded() {
    for position in 0..3 {
        let mut all = instances(["bare-a", "bare-b", "bare-c", "bare-d"]);
        remove_disk(&mut all[position]);
        let seeds = addresses(&all[..3]);
        for instance in &mut all {
            instance.start(&seeds, true);
        }
        put(&all, VERSION).await;
        wait_for_entry(&seeds, VERSION).await;
        for (at, instance) in all.iter().enumerate() {
            if at != position {
                instance.wait_for_version(VERSION).await;
            }
        }
        for instance in &mut all {
            instance.kill().await;
        }
    }
}

/// Guards against a first start that founds no cluster because two or all seeds have no
/// disk.
#[tokio::test]
async fn first_start_most_seeds_without_disk_cluster_founded() {
    for bare in 2..=3 {
        let mut all = instances(["few-a", "few-b", "few-c", "few-d", "few-e", "few-f"]);
        for instance in &mut all[..bare] {
            remove_disk(instance);
        }
        let seeds = addresses(&all[..3]);
        for instance in &mut all {
            instance.start(&seeds, true);
        }
        put(&all, VERSION).await;
        for instance in &all[bare..] {
            instance.wait_for_version(VERSION).await;
        }
        for instance in &mut all {
            instance.kill().await;
        }
    }
}

/// Guards against a first start that founds no cluster because one seed is lost, at
/// different moments, and comes back with an empty disk and settings that found nothing.
#[tokio::test]
async fn first_start_seed_lost_cluster_founded() {
    for (position, lost_after) in [(0, 0), (0, 30), (0, 300), (1, 200), (2, 600)] {
        let mut all = instances(["lost-a", "lost-b", "lost-c"]);
        let seeds = addresses(&all);
        all[position].start(&seeds, true);
        sleep(Duration::from_millis(lost_after)).await;
        let early = lost_after < 100;
        if early {
            all[position].kill().await;
        }
        for at in (0..3).filter(|at| *at != position) {
            all[at].start(&seeds, true);
        }
        sleep(Duration::from_millis(lost_after)).await;
        if !early {
            all[position].kill().await;
        }
        if all[position].settings.data.exists() {
            all[position].wipe();
        }
        all[position].start(&seeds, false);
        put(&all, VERSION).await;
        for instance in &all {
            instance.wait_for_version(VERSION).await;
        }
        for instance in &mut all {
            instance.kill().await;
        }
    }
}

/// Guards against a first start that is not completed because all instances are killed
/// meanwhile and start again with settings that found nothing.
#[tokio::test]
async fn first_start_all_killed_cluster_founded() {
    for killed_after in [0, 100, 400, 900] {
        let mut all = instances(["again-a", "again-b", "again-c"]);
        let seeds = addresses(&all);
        for instance in &mut all {
            instance.start(&seeds, true);
        }
        // Before that, nothing tells the restart from that of an instance that was wiped.
        wait_until("all seeds record that they take part", async || {
            let record = |one: &Instance| one.settings.data.join("founding").exists();
            all.iter().all(record)
        })
        .await;
        sleep(Duration::from_millis(killed_after)).await;
        for instance in &mut all {
            instance.kill().await;
        }
        for instance in &mut all {
            instance.start(&seeds, false);
        }
        put(&all, VERSION).await;
        for instance in &all {
            instance.wait_for_version(VERSION).await;
        }
        for instance in &mut all {
            instance.kill().await;
        }
    }
}
