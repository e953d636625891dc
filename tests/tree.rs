//! The distribution tree under faults, with real processes.

#[path = "tree/support.rs"]
mod support;

use standin::platform::Faults;
use std::time::Duration;
use support::{Cell, TIMEOUT, down, role, version};

#[tokio::test(flavor = "multi_thread")]
async fn relay_killed() {
    let mut cell = Cell::start(5).await;
    cell.accept(1).await;
    cell.wait_version(1).await;
    let relay = cell.relays().await[0];
    cell.kill(relay).await;
    cell.accept(2).await;
    cell.wait_version(2).await;
    cell.wait_relays(2).await;
    cell.wait_members().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn both_relays_killed() {
    let mut cell = Cell::start(5).await;
    cell.accept(1).await;
    cell.wait_version(1).await;
    for relay in cell.relays().await {
        cell.kill(relay).await;
    }
    cell.accept(2).await;
    cell.wait_version(2).await;
    cell.wait_relays(2).await;
    cell.wait_members().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn relay_paused_past_lease() {
    let mut cell = Cell::start(4).await;
    cell.accept(1).await;
    cell.wait_version(1).await;
    let relay = cell.relays().await[0];
    let name = cell.name(relay);
    cell.daemons[relay].signal("STOP").await.unwrap();
    let paused = cell.daemons.remove(relay);
    cell.wait_holder_not(&name).await;
    cell.accept(2).await;
    cell.wait_version(2).await;
    paused.signal("CONT").await.unwrap();
    cell.daemons.push(paused);
    cell.accept(3).await;
    cell.wait_version(3).await;
    cell.wait_relays(2).await;
    cell.wait_members().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_down_relays_killed() {
    let mut cell = Cell::start(5).await;
    cell.accept(1).await;
    cell.wait_version(1).await;
    cell.wait_members().await;
    cell.platform.set_faults(down());
    for relay in cell.relays().await {
        cell.kill(relay).await;
    }
    let daemons = cell.daemons.iter();
    let attached = daemons.map(|daemon| {
        daemon.wait_state("a stand-in", TIMEOUT, |state| {
            matches!(role(state), "stand-in" | "child")
        })
    });
    futures_util::future::try_join_all(attached).await.unwrap();
    cell.wait_roles(|roles| roles.iter().filter(|role| *role == "stand-in").count() == 1)
        .await;
    cell.platform.set_faults(Faults::default());
    cell.accept(2).await;
    cell.wait_version(2).await;
    cell.wait_relays(2).await;
    cell.wait_members().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_down_newcomer() {
    let mut cell = Cell::start(3).await;
    cell.accept(1).await;
    cell.wait_version(1).await;
    cell.platform.set_faults(down());
    let peers = cell.daemons[0].mesh.to_string();
    cell.add("new", &["--peers", &peers]).await;
    cell.wait_version(1).await;
    cell.wait_members().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_down_restarted_keeps_floor() {
    let mut cell = Cell::start(3).await;
    cell.accept(1).await;
    cell.accept(2).await;
    cell.wait_version(2).await;
    let victim = cell.child().await;
    let name = cell.name(victim);
    let rest = (0..cell.daemons.len()).find(|index| *index != victim);
    let peers = cell.daemons[rest.unwrap()].mesh.to_string();
    cell.kill(victim).await;
    cell.platform.set_faults(down());
    cell.add(&name, &["--peers", &peers]).await;
    let again = cell.daemons.last().unwrap();
    let state = again.wait_state("version 2 at once", TIMEOUT, |state| version(state) > 0);
    let state = state.await.unwrap();
    assert_eq!(version(&state), 2);
    assert!(state["config"]["floor"].as_u64().unwrap() >= 2, "{state}");
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_down_alone_serves_nothing() {
    let mut cell = Cell::start(1).await;
    cell.accept(1).await;
    cell.wait_version(1).await;
    cell.platform.set_faults(down());
    let peers = cell.daemons[0].mesh.to_string();
    cell.kill(0).await;
    cell.add("late", &["--peers", &peers]).await;
    let late = &cell.daemons[0];
    let seeking = |state: &serde_json::Value| role(state) == "seeking";
    let state = late.wait_state("seeking", TIMEOUT, seeking).await.unwrap();
    assert_eq!(version(&state), 0);
    let answer = standin::caller::get(late.outbound, "/certs/1")
        .await
        .unwrap();
    assert_eq!(answer.headers()["x-baobab-outcome"], "not-run");
    cell.platform.set_faults(Faults::default());
    cell.wait_version(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_slow_and_losing() {
    let cell = Cell::start(4).await;
    cell.platform.set_faults(Faults {
        delay: Duration::from_millis(200),
        lose_every: 3,
        ..Faults::default()
    });
    for number in 1..=4 {
        cell.accept(number).await;
        cell.wait_version(number).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn chunk_missing_read_again() {
    let mut cell = Cell::start(2).await;
    cell.accept(1).await;
    // From one version to the next leads the change record as well, but not over two.
    cell.accept(2).await;
    cell.wait_version(2).await;
    for index in [1, 0] {
        cell.kill(index).await;
    }
    let lost = cell.lose("snapshot/");
    assert!(!lost.is_empty());
    cell.add("late", &[]).await;
    let late = &cell.daemons[0];
    let floor = |state: &serde_json::Value| state["config"]["floor"] == 2;
    let state = late.wait_state("the floor", TIMEOUT, floor).await.unwrap();
    assert_eq!(version(&state), 0);
    cell.restore(lost).await;
    cell.wait_version(2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn domain_lost_and_back() {
    let mut cell = Cell::start(2).await;
    for name in ["far-0", "far-1", "far-2"] {
        cell.add_in("vantaa", name, &[]).await;
    }
    cell.wait_members().await;
    cell.wait_relays(4).await;
    cell.accept(1).await;
    cell.wait_version(1).await;
    for index in [4, 3, 2] {
        cell.kill(index).await;
    }
    cell.accept(2).await;
    cell.wait_version(2).await;
    for name in ["far-0", "far-1", "far-2"] {
        cell.add_in("vantaa", name, &[]).await;
    }
    cell.wait_version(2).await;
    cell.wait_relays(4).await;
    cell.wait_members().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_known_at_once() {
    let cell = Cell::start(4).await;
    let leaving = cell.child().await;
    let name = cell.name(leaving);
    cell.daemons[leaving].signal("TERM").await.unwrap();
    for (index, daemon) in cell.daemons.iter().enumerate() {
        if index != leaving {
            let left = |state: &serde_json::Value| {
                let seen = support::member_state(state, &name);
                assert_ne!(seen, Some("SUSPECT"), "it left without having drained");
                seen != Some("READY")
            };
            daemon.wait_state("it drains", TIMEOUT, left).await.unwrap();
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn relay_drained() {
    let mut cell = Cell::start(4).await;
    let relay = cell.relays().await[0];
    cell.daemons[relay].signal("TERM").await.unwrap();
    cell.ended(relay).await;
    cell.accept(1).await;
    cell.wait_version(1).await;
    cell.wait_relays(2).await;
    cell.wait_members().await;
}
