//! Acceptance of changes on a platform that loses responses, and pruning of old versions.

#[path = "store/fake.rs"]
mod fake;

use baobabstage::platform::Platform;
use baobabstage::store::{HEAD_KEY, Outcome, RETAINED_VERSIONS, Store};
use baobabstage::{Category, Change};
use fake::{Fake, Fault};
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;
use tokio::time::Instant;

fn change(id: &str, slots: u32) -> Change {
    let text = format!(
        "id = \"{id}\"\n[[put]]\nkind = \"pool\"\nname = \"certs\"\n\
         spec = {{ slots = {slots}, connections = 120 }}\n"
    );
    Change::from_toml(&text).unwrap()
}

fn setup() -> (Arc<Fake>, Store) {
    let fake = Arc::new(Fake::default());
    let store = Store::new(Arc::clone(&fake) as Arc<dyn Platform>);
    (fake, store)
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

async fn accept(store: &Store, id: &str, slots: u32) -> Outcome {
    store.accept(&change(id, slots), deadline()).await
}

async fn log_ids(store: &Store) -> Vec<String> {
    let head = store.head().await.unwrap();
    let log = store.log(&head).await.unwrap();
    log.entries.into_iter().map(|entry| entry.change).collect()
}

#[test_case(Fault::LostAfter; "lost_after_effect")]
#[test_case(Fault::LostBefore; "lost_before_effect")]
#[test_case(Fault::Delayed; "applied_before_retry")]
#[tokio::test(start_paused = true)]
async fn accept_once(fault: Fault) {
    let (fake, store) = setup();
    fake.fault(HEAD_KEY, fault);
    let outcome = accept(&store, "one", 12).await;
    let fresh = matches!(
        outcome,
        Outcome::Accepted {
            version: 1,
            repeated: false
        }
    );
    assert!(fresh, "{outcome:?}");
    assert_eq!(log_ids(&store).await, ["one"]);
}

/// A log page that exceeds the value limit drops its oldest entries; the new change is accepted.
#[tokio::test(start_paused = true)]
async fn accept_trims_log_by_size() {
    let (_, store) = setup();
    let count = 230;
    for index in 0..count {
        let pools: Vec<String> = (0..65)
            .map(|pool| {
                format!(
                    "[[put]]\nkind = \"pool\"\nname = \"{pool:063}\"\n\
                     spec = {{ slots = {}, connections = 1 }}\n",
                    index + 1
                )
            })
            .collect();
        let change = Change::from_toml(&format!("id = \"c{index}\"\n{}", pools.concat())).unwrap();
        let outcome = store.accept(&change, deadline()).await;
        assert!(
            matches!(outcome, Outcome::Accepted { .. }),
            "{index}: {outcome:?}"
        );
    }
    let ids = log_ids(&store).await;
    assert!((150..count).contains(&ids.len()), "{} entries", ids.len());
    assert_eq!(ids.last().unwrap(), "c229");
}

#[tokio::test(start_paused = true)]
async fn accept_swap_unresolved() {
    let (fake, store) = setup();
    fake.fault(HEAD_KEY, Fault::NoResponse);
    let outcome = accept(&store, "one", 12).await;
    assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
    fake.release();
    let outcome = accept(&store, "one", 12).await;
    let found = matches!(
        outcome,
        Outcome::Accepted {
            version: 1,
            repeated: true
        }
    );
    assert!(found, "{outcome:?}");
    assert_eq!(log_ids(&store).await, ["one"]);
}

#[tokio::test(start_paused = true)]
async fn accept_swap_superseded() {
    let (fake, store) = setup();
    fake.fault(HEAD_KEY, Fault::NoResponse);
    let outcome = accept(&store, "one", 12).await;
    assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
    fake.clear_fault();
    let other = Store::new(Arc::clone(&fake) as Arc<dyn Platform>);
    accept(&other, "two", 9).await;
    fake.release();
    assert_eq!(log_ids(&store).await, ["two"]);
    let outcome = accept(&store, "one", 12).await;
    let fresh = matches!(
        outcome,
        Outcome::Accepted {
            version: 2,
            repeated: false
        }
    );
    assert!(fresh, "{outcome:?}");
    assert_eq!(log_ids(&store).await, ["two", "one"]);
}

#[tokio::test(start_paused = true)]
async fn accept_no_swap_sent() {
    let (fake, store) = setup();
    fake.fault("snapshot/", Fault::NoResponse);
    // Not refused, because an earlier submission of the same id might still take effect.
    let outcome = accept(&store, "one", 12).await;
    assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
    fake.clear_fault();
    let outcome = accept(&store, "one", 12).await;
    assert!(
        matches!(outcome, Outcome::Accepted { version: 1, .. }),
        "{outcome:?}"
    );
    assert_eq!(log_ids(&store).await, ["one"]);
}

#[tokio::test(start_paused = true)]
async fn load_missing_chunk() {
    let (fake, store) = setup();
    accept(&store, "one", 12).await;
    accept(&store, "two", 9).await;
    let other = Store::new(Arc::clone(&fake) as Arc<dyn Platform>);
    let stale = other.head().await.unwrap();
    accept(&store, "three", 10).await;
    fake.remove("snapshot/000000000002");
    let err = other.load(&stale).await.unwrap_err();
    assert_eq!(err.category(), Category::Missing);
    let (_, newest) = other.newest().await.unwrap();
    assert_eq!(newest.version(), 3);
}

#[test_case("snapshot/000000000002"; "by_change_record")]
#[test_case("change/000000000002"; "by_snapshot")]
#[tokio::test(start_paused = true)]
async fn load_next_version(lost: &str) {
    let (fake, store) = setup();
    accept(&store, "one", 12).await;
    let other = Store::new(Arc::clone(&fake) as Arc<dyn Platform>);
    other.newest().await.unwrap();
    accept(&store, "two", 9).await;
    fake.remove(lost);
    let (head, newest) = other.newest().await.unwrap();
    assert_eq!((newest.version(), newest.stamp()), (2, head.stamp()));
}

#[tokio::test(start_paused = true)]
async fn prune_retained_versions() {
    let (fake, store) = setup();
    let count = RETAINED_VERSIONS + 3;
    for number in 1..=count {
        let slots = u32::try_from(number).unwrap();
        let outcome = accept(&store, &format!("change-{number}"), slots).await;
        assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
    }
    store.prune(count).await.unwrap();
    let newest = store.prune(count).await.unwrap();
    assert_eq!(newest, 0);
    for (prefix, retained) in [
        ("snapshot/", RETAINED_VERSIONS),
        ("log/", RETAINED_VERSIONS),
        ("change/", count),
    ] {
        let keys = fake.keys(prefix);
        assert_eq!(keys.len() as u64, retained, "{prefix}");
        let first = format!("{prefix}{:012}/", count - retained + 1);
        assert!(keys[0].starts_with(&first), "{}", keys[0]);
    }
    let fresh = Store::new(Arc::clone(&fake) as Arc<dyn Platform>);
    assert_eq!(fresh.newest().await.unwrap().1.version(), count);
    let undone = fresh
        .revert(&format!("change-{count}"), "undo", deadline())
        .await;
    assert!(matches!(undone, Outcome::Accepted { .. }), "{undone:?}");
}

#[tokio::test(start_paused = true)]
async fn revert_repeated() {
    let (_, store) = setup();
    accept(&store, "first", 1).await;
    accept(&store, "second", 2).await;
    for repeat in [false, true] {
        let outcome = store.revert("second", "undo", deadline()).await;
        let Outcome::Accepted { version, repeated } = outcome else {
            panic!("{outcome:?}");
        };
        assert_eq!((version, repeated), (3, repeat));
    }
}

#[tokio::test(start_paused = true)]
async fn revert_id_reused() {
    let (_, store) = setup();
    accept(&store, "first", 1).await;
    accept(&store, "second", 2).await;
    let outcome = store.revert("second", "first", deadline()).await;
    let Outcome::Refused(err) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(err.category(), Category::Conflict);
}
