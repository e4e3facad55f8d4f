//! Checks that hosts follow a store that comes back from an older copy of its data.

use serde_json::Value;
use testutils::eventually;

use crate::edge_bed::Caller;
use crate::edge_bed::EdgeBed;
use crate::edge_bed::configuration;

/// Returns the state dump of a daemon.
async fn state(bed: &EdgeBed, daemon: usize) -> Value {
    bed.daemons[daemon].state().await.expect("the daemon answers")
}

/// Waits until all daemons have the configuration `version` and a position in `era`.
async fn wait_for(bed: &EdgeBed, era: u64, version: u64) {
    for daemon in 0..bed.daemons.len() {
        let condition = format!("daemon {daemon} has version {version} in era {era}");
        eventually(&condition, async || {
            // The daemon may just be starting.
            let state = bed.daemons[daemon].state().await?;
            (state["era"] == era && state["version"] == version).then_some(())
        })
        .await;
    }
}

async fn assert_all_routes_are_served(bed: &EdgeBed, id: &str) {
    for (number, daemon) in bed.daemons.iter().enumerate() {
        let mut caller = Caller::connect(daemon.callers).await.expect("the daemon accepts");
        for route in ["one", "all", "send"] {
            let id = format!("{id}-{number}-{route}");
            let answer = caller.get(&format!("/{route}/x"), &id).await;
            assert_eq!(answer.map(|answer| answer.status), Some(200), "{id}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn hosts_follow_a_store_that_comes_back_from_an_older_copy() {
    let bed = EdgeBed::start(2, 2, 3).await;
    let copy = bed.store.copy();
    bed.store.put("op/config", &configuration(12, 2));
    for sequence in 2..12 {
        bed.leafs.iter().for_each(|leaf| bed.store.put_leaf(leaf, "ready", sequence));
    }
    wait_for(&bed, 0, 12).await;
    bed.store.come_back(&copy);
    // Leafs and the operator write again what the store has lost.
    bed.leafs.iter().for_each(|leaf| bed.store.put_leaf(leaf, "ready", 12));
    wait_for(&bed, 1, 12).await;
    assert_all_routes_are_served(&bed, "copy").await;
    bed.store.put("op/config", &configuration(12, 2));
    bed.store.remove(&format!("servers/{}", bed.leafs[3].instance));
    for daemon in 0..bed.daemons.len() {
        eventually("the removal in the new era is applied", async || {
            let leafs = state(&bed, daemon).await["leafs"].as_array().map(Vec::len);
            (leafs == Some(3)).then_some(())
        })
        .await;
    }
    bed.store.put("op/config", &configuration(14, 2));
    wait_for(&bed, 1, 14).await;
    assert_all_routes_are_served(&bed, "later").await;
}

/// Guards against a host that starts after the return and takes over what others know of before.
#[tokio::test(flavor = "multi_thread")]
async fn next_change_is_taken_whatever_its_number_also_by_a_host_that_starts_later() {
    let mut bed = EdgeBed::start(1, 2, 3).await;
    let copy = bed.store.copy();
    bed.store.put("op/config", &configuration(12, 1));
    wait_for(&bed, 0, 12).await;
    bed.store.come_back(&copy);
    wait_for(&bed, 1, 12).await;
    let mut lower = configuration(9, 1);
    lower["routes"][0]["timeout_ms"] = 1_500.into();
    bed.store.put("op/config", &lower);
    wait_for(&bed, 1, 9).await;
    bed.daemons[2].restart();
    wait_for(&bed, 1, 9).await;
    let copy = bed.store.copy();
    bed.store.put("op/config", &configuration(20, 1));
    wait_for(&bed, 1, 20).await;
    bed.store.come_back(&copy);
    wait_for(&bed, 2, 20).await;
    assert_all_routes_are_served(&bed, "second").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_whose_era_cannot_be_read_are_logged_and_change_nothing() {
    let bed = EdgeBed::start(1, 2, 2).await;
    bed.store.name_era(Some("soon"));
    bed.store.put("op/config", &configuration(5, 1));
    eventually("the fault is logged", async || {
        bed.daemons.iter().any(|d| d.log().contains("has the value \\\"soon\\\"")).then_some(())
    })
    .await;
    assert_all_routes_are_served(&bed, "unreadable").await;
    assert_eq!(state(&bed, 0).await["version"], 1);
    bed.store.name_era(Some("1"));
    wait_for(&bed, 1, 5).await;
}
