//! Fault tests of the distribution tree with real daemon processes.

#[path = "tree/support.rs"]
mod support;

use standin::platform::Faults;
use std::time::Duration;
use support::{Fleet, TIMEOUT, down, role, version};

#[tokio::test(flavor = "multi_thread")]
async fn relay_killed() {
    let mut fleet = Fleet::start(5).await;
    fleet.accept(1).await;
    fleet.wait_version(1).await;
    let relay = fleet.relays().await[0];
    fleet.kill(relay).await;
    fleet.accept(2).await;
    fleet.wait_version(2).await;
    fleet.wait_relays(2).await;
    fleet.wait_members().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn both_relays_killed() {
    let mut fleet = Fleet::start(5).await;
    fleet.accept(1).await;
    fleet.wait_version(1).await;
    for relay in fleet.relays().await {
        fleet.kill(relay).await;
    }
    fleet.accept(2).await;
    fleet.wait_version(2).await;
    fleet.wait_relays(2).await;
    fleet.wait_members().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn relay_paused_past_lease() {
    let mut fleet = Fleet::start(4).await;
    fleet.accept(1).await;
    fleet.wait_version(1).await;
    let relay = fleet.relays().await[0];
    let name = fleet.name(relay);
    fleet.daemons[relay].signal("STOP").await.unwrap();
    let paused = fleet.daemons.remove(relay);
    fleet.wait_holder_not(&name).await;
    fleet.accept(2).await;
    fleet.wait_version(2).await;
    paused.signal("CONT").await.unwrap();
    fleet.daemons.push(paused);
    fleet.accept(3).await;
    fleet.wait_version(3).await;
    fleet.wait_relays(2).await;
    fleet.wait_members().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_down_relays_killed() {
    let mut fleet = Fleet::start(5).await;
    fleet.accept(1).await;
    fleet.wait_version(1).await;
    fleet.wait_members().await;
    fleet.platform.set_faults(down());
    for relay in fleet.relays().await {
        fleet.kill(relay).await;
    }
    let daemons = fleet.daemons.iter();
    let attached = daemons.map(|daemon| {
        daemon.wait_state("stand-in or child", TIMEOUT, |state| {
            matches!(role(state), "stand-in" | "child")
        })
    });
    futures_util::future::try_join_all(attached).await.unwrap();
    fleet
        .wait_roles(|roles| roles.iter().filter(|role| *role == "stand-in").count() == 1)
        .await;
    fleet.platform.set_faults(Faults::default());
    fleet.accept(2).await;
    fleet.wait_version(2).await;
    fleet.wait_relays(2).await;
    fleet.wait_members().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_down_new_daemon() {
    let mut fleet = Fleet::start(3).await;
    fleet.accept(1).await;
    fleet.wait_version(1).await;
    fleet.platform.set_faults(down());
    let peers = fleet.daemons[0].mesh.to_string();
    fleet.add("new", &["--peers", &peers]).await;
    fleet.wait_version(1).await;
    fleet.wait_members().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_down_restarted_keeps_floor() {
    let mut fleet = Fleet::start(3).await;
    fleet.accept(1).await;
    fleet.accept(2).await;
    fleet.wait_version(2).await;
    let victim = fleet.child().await;
    let name = fleet.name(victim);
    let other = (0..fleet.daemons.len()).find(|index| *index != victim);
    let peers = fleet.daemons[other.unwrap()].mesh.to_string();
    fleet.kill(victim).await;
    fleet.platform.set_faults(down());
    fleet.add(&name, &["--peers", &peers]).await;
    let restarted = fleet.daemons.last().unwrap();
    let state = restarted.wait_state("any version", TIMEOUT, |state| version(state) > 0);
    let state = state.await.unwrap();
    assert_eq!(version(&state), 2);
    assert!(state["config"]["floor"].as_u64().unwrap() >= 2, "{state}");
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_down_single_daemon() {
    let mut fleet = Fleet::start(1).await;
    fleet.accept(1).await;
    fleet.wait_version(1).await;
    fleet.platform.set_faults(down());
    let peers = fleet.daemons[0].mesh.to_string();
    fleet.kill(0).await;
    fleet.add("late", &["--peers", &peers]).await;
    let late = &fleet.daemons[0];
    let seeking = |state: &serde_json::Value| role(state) == "seeking";
    let state = late
        .wait_state("role seeking", TIMEOUT, seeking)
        .await
        .unwrap();
    assert_eq!(version(&state), 0);
    let response = standin::caller::get(late.outbound, "/certs/1")
        .await
        .unwrap();
    assert_eq!(response.headers()["x-baobab-outcome"], "not-run");
    fleet.platform.set_faults(Faults::default());
    fleet.wait_version(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_slow_and_losing() {
    let fleet = Fleet::start(4).await;
    fleet.platform.set_faults(Faults {
        delay: Duration::from_millis(200),
        lose_every: 3,
        ..Faults::default()
    });
    for number in 1..=4 {
        fleet.accept(number).await;
        fleet.wait_version(number).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn chunk_missing_retry() {
    let mut fleet = Fleet::start(2).await;
    fleet.accept(1).await;
    // A daemon can build one version from the previous with the change record, but here the new
    // daemon starts two versions behind and needs the snapshot chunks.
    fleet.accept(2).await;
    fleet.wait_version(2).await;
    for index in [1, 0] {
        fleet.kill(index).await;
    }
    let lost = fleet.delete_keys("snapshot/");
    assert!(!lost.is_empty());
    fleet.add("late", &[]).await;
    let late = &fleet.daemons[0];
    let floor = |state: &serde_json::Value| state["config"]["floor"] == 2;
    let state = late.wait_state("floor 2", TIMEOUT, floor).await.unwrap();
    assert_eq!(version(&state), 0);
    fleet.restore(lost).await;
    fleet.wait_version(2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn domain_lost_recovery() {
    let mut fleet = Fleet::start(2).await;
    for name in ["far-0", "far-1", "far-2"] {
        fleet.add_in("vantaa", name, &[]).await;
    }
    fleet.wait_members().await;
    fleet.wait_relays(4).await;
    fleet.accept(1).await;
    fleet.wait_version(1).await;
    for index in [4, 3, 2] {
        fleet.kill(index).await;
    }
    fleet.accept(2).await;
    fleet.wait_version(2).await;
    for name in ["far-0", "far-1", "far-2"] {
        fleet.add_in("vantaa", name, &[]).await;
    }
    fleet.wait_version(2).await;
    fleet.wait_relays(4).await;
    fleet.wait_members().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_announced() {
    let fleet = Fleet::start(4).await;
    let leaving = fleet.child().await;
    let name = fleet.name(leaving);
    fleet.daemons[leaving].signal("TERM").await.unwrap();
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        if index != leaving {
            let left = |state: &serde_json::Value| {
                let seen = support::member_state(state, &name);
                assert_ne!(
                    seen,
                    Some("SUSPECT"),
                    "member became suspect without draining first"
                );
                seen != Some("READY")
            };
            daemon
                .wait_state("member draining", TIMEOUT, left)
                .await
                .unwrap();
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn relay_drained() {
    let mut fleet = Fleet::start(4).await;
    let relay = fleet.relays().await[0];
    fleet.daemons[relay].signal("TERM").await.unwrap();
    fleet.wait_end(relay).await;
    fleet.accept(1).await;
    fleet.wait_version(1).await;
    fleet.wait_relays(2).await;
    fleet.wait_members().await;
}
