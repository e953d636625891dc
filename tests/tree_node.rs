//! Unit tests of [`Node`], the control state of the distribution tree, without sockets.

use baobabstage::Change;
use baobabstage::daemon::Identity;
use baobabstage::generated::mesh as wire;
use baobabstage::generated::mesh::frame::Content;
use baobabstage::generated::mesh::update::Content as Update;
use baobabstage::snapshot::{Snapshot, Stamp};
use baobabstage::tree::link::{LinkId, Side};
use baobabstage::tree::node::{Effect, Node, NodeSettings, TreeRole};
use baobabstage::tree::outbox::Next;
use baobabstage::tree::target::Target;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const SETTINGS: NodeSettings = NodeSettings {
    batch_window: Duration::from_millis(50),
    heartbeat: Duration::from_secs(5),
    max_children: 3,
    admission_rate: 2,
};

fn node(name: &str, role: TreeRole) -> Node {
    let now = Instant::now();
    let identity = Identity {
        name: name.into(),
        incarnation: 7,
        domain: "espoo".into(),
        region: "fi-south".into(),
    };
    let mut node = Node::new(identity, format!("{name}:1"), SETTINGS, now);
    node.set_role(role, now);
    node
}

fn target() -> Target {
    Target {
        address: "relay:1".into(),
        incarnation: 7,
    }
}

/// Returns this many versions in order; each changes the same pool.
fn versions(count: u32) -> Vec<Arc<Snapshot>> {
    let mut newest = Arc::new(Snapshot::default());
    let mut all = Vec::new();
    for slots in 1..=count {
        let text = format!(
            "id = \"change-{slots}\"\n[[put]]\nkind = \"pool\"\nname = \"certs\"\n\
             spec = {{ slots = {slots}, connections = 120 }}\n"
        );
        let applied = Change::from_toml(&text).unwrap().apply(&newest).unwrap();
        newest = Arc::new(applied.snapshot);
        all.push(Arc::clone(&newest));
    }
    all
}

/// Returns the next message that a node sends on a stream, if one is due.
fn send(node: &mut Node, link: LinkId) -> Option<Content> {
    match node.next(link, Instant::now())? {
        Next::Send(content) => Some(*content),
        Next::Wait(_) => None,
    }
}

/// A relay and a child with the ids of both ends of their stream.
struct Pair {
    relay: Node,
    child: Node,
    /// The stream to the child in the relay.
    down: LinkId,
    /// The stream to the relay in the child.
    up: LinkId,
}

fn attach(mut relay: Node, mut child: Node) -> Result<Pair, wire::Redirect> {
    let now = Instant::now();
    let up = child.open(Side::Parent, &target(), now);
    let Some(Content::Hello(hello)) = send(&mut child, up) else {
        panic!("the first message is not a hello");
    };
    let (down, _) = relay.accept(&hello, now)?;
    let mut pair = Pair {
        relay,
        child,
        down,
        up,
    };
    pair.deliver_all();
    Ok(pair)
}

impl Pair {
    fn receive(&mut self, content: Content) -> Vec<Effect> {
        self.child.receive(self.up, content, Instant::now())
    }

    /// Delivers messages in both directions until neither side has one to send.
    fn deliver_all(&mut self) {
        loop {
            let down = send(&mut self.relay, self.down);
            let up = send(&mut self.child, self.up);
            if down.is_none() && up.is_none() {
                return;
            }
            if let Some(content) = down {
                for effect in self.receive(content) {
                    if let Effect::Apply(snapshot) = effect {
                        self.child
                            .record_apply_result(snapshot.stamp(), String::new());
                    }
                }
            }
            if let Some(content) = up {
                self.relay.receive(self.down, content, Instant::now());
            }
        }
    }

    fn next_update(&mut self) -> wire::Update {
        match send(&mut self.relay, self.down) {
            Some(Content::Update(update)) => update,
            other => panic!("expected an update, got {other:?}"),
        }
    }
}

/// Changes a value in a delta, or truncates a full snapshot.
fn corrupt(mut update: wire::Update) -> wire::Update {
    if let Some(Update::Delta(delta)) = &mut update.content {
        let body = &delta.upserts[0].body;
        delta.upserts[0].body = String::from_utf8_lossy(body).replace("120", "121").into();
    } else if let Some(Update::Full(packed)) = &mut update.content {
        packed.data = packed.data.slice(..packed.data.len() / 2);
    }
    update
}

#[tokio::test(start_paused = true)]
async fn receive_corrupt_delta() {
    let mut pair = attach(
        node("relay", TreeRole::Relay(0)),
        node("child", TreeRole::Seeking),
    )
    .unwrap();
    let all = versions(2);
    pair.relay
        .add_local_version(Arc::clone(&all[0]), Instant::now());
    pair.deliver_all();
    pair.relay
        .add_local_version(Arc::clone(&all[1]), Instant::now());
    let update = pair.next_update();
    assert!(
        matches!(update.content, Some(Update::Delta(_))),
        "{update:?}"
    );
    let effects = pair.receive(Content::Update(corrupt(update)));
    assert!(effects.is_empty(), "{effects:?}");
    assert_eq!(pair.child.newest(), all[0].stamp());
    let need = send(&mut pair.child, pair.up).unwrap();
    pair.relay.receive(pair.down, need, Instant::now());
    let update = pair.next_update();
    assert!(
        matches!(update.content, Some(Update::Full(_))),
        "{update:?}"
    );
    pair.receive(Content::Update(update));
    assert_eq!(pair.child.newest(), all[1].stamp());
}

#[tokio::test(start_paused = true)]
async fn receive_truncated_full() {
    let mut pair = attach(
        node("relay", TreeRole::Relay(0)),
        node("child", TreeRole::Seeking),
    )
    .unwrap();
    pair.relay
        .add_local_version(Arc::clone(&versions(1)[0]), Instant::now());
    let update = corrupt(pair.next_update());
    let effects = pair.receive(Content::Update(update));
    assert!(matches!(effects[..], [Effect::Close(_)]), "{effects:?}");
    assert_eq!(pair.child.newest(), Stamp::default());
}

#[tokio::test(start_paused = true)]
async fn next_coalesces_versions() {
    let mut pair = attach(
        node("relay", TreeRole::Relay(0)),
        node("child", TreeRole::Seeking),
    )
    .unwrap();
    let all = versions(5);
    for snapshot in &all {
        pair.relay
            .add_local_version(Arc::clone(snapshot), Instant::now());
    }
    let update = pair.next_update();
    pair.receive(Content::Update(update));
    assert_eq!(pair.child.newest(), all[4].stamp());
    assert_eq!(send(&mut pair.relay, pair.down), None);
}

#[tokio::test(start_paused = true)]
async fn receive_older_version() {
    let mut pair = attach(
        node("relay", TreeRole::Relay(0)),
        node("child", TreeRole::Seeking),
    )
    .unwrap();
    let all = versions(2);
    pair.child
        .add_local_version(Arc::clone(&all[1]), Instant::now());
    let full = Update::Full(all[0].pack());
    let update = wire::Update {
        content: Some(full),
    };
    let effects = pair.receive(Content::Update(update));
    assert!(effects.is_empty(), "{effects:?}");
    assert_eq!(pair.child.newest(), all[1].stamp());
}

#[tokio::test(start_paused = true)]
async fn status_counts_acknowledged() {
    let mut pair = attach(
        node("relay", TreeRole::Relay(0)),
        node("child", TreeRole::Seeking),
    )
    .unwrap();
    let snapshot = Arc::clone(&versions(1)[0]);
    pair.relay
        .add_local_version(Arc::clone(&snapshot), Instant::now());
    let status = pair.relay.status(1, true);
    assert_eq!((status.attached, status.applied), (2, 0));
    assert_eq!(status.laggards, ["relay", "child"]);
    pair.relay
        .record_apply_result(snapshot.stamp(), String::new());
    pair.deliver_all();
    let status = pair.relay.status(1, true);
    assert_eq!(status.names, ["relay", "child"]);
}

#[tokio::test(start_paused = true)]
async fn accept_reports_floor() {
    let mut pair = attach(
        node("relay", TreeRole::Relay(0)),
        node("child", TreeRole::Seeking),
    )
    .unwrap();
    let all = versions(2);
    pair.relay
        .add_local_version(Arc::clone(&all[1]), Instant::now());
    pair.deliver_all();
    pair.relay.closed(pair.down, Instant::now());
    let mut restarted = node("child", TreeRole::Seeking);
    let up = restarted.open(Side::Parent, &target(), Instant::now());
    let Some(Content::Hello(hello)) = send(&mut restarted, up) else {
        panic!("the first message is not a hello");
    };
    let (down, _) = pair.relay.accept(&hello, Instant::now()).unwrap();
    let Some(Content::Welcome(welcome)) = send(&mut pair.relay, down) else {
        panic!("the first reply is not a welcome");
    };
    assert_eq!(welcome.floor, 2);
}

#[tokio::test(start_paused = true)]
async fn accept_admission_limits() {
    let mut relay = node("relay", TreeRole::Relay(0));
    let hello = |name: &str| wire::Hello {
        name: name.into(),
        ..wire::Hello::default()
    };
    for name in ["a", "b"] {
        relay.accept(&hello(name), Instant::now()).unwrap();
    }
    let redirect = relay.accept(&hello("c"), Instant::now()).unwrap_err();
    assert!(redirect.retry_ms >= 500, "{redirect:?}");
    tokio::time::advance(Duration::from_secs(1)).await;
    relay.accept(&hello("c"), Instant::now()).unwrap();
    tokio::time::advance(Duration::from_secs(1)).await;
    // max_children is 3, so a fourth is refused regardless of the admission rate.
    relay.accept(&hello("d"), Instant::now()).unwrap_err();
}

#[tokio::test(start_paused = true)]
async fn accept_other_incarnation() {
    let mut relay = node("relay", TreeRole::Relay(0));
    relay.merge_relays(vec![wire::RelayRecord::default()]);
    let hello = wire::Hello {
        name: "stranger".into(),
        target: 6,
        ..wire::Hello::default()
    };
    let redirect = relay.accept(&hello, Instant::now()).unwrap_err();
    assert_eq!(redirect, wire::Redirect::default());
}

#[tokio::test(start_paused = true)]
async fn tick_silent_stream() {
    let mut pair = attach(
        node("relay", TreeRole::Relay(0)),
        node("child", TreeRole::Seeking),
    )
    .unwrap();
    tokio::time::advance(SETTINGS.heartbeat).await;
    pair.deliver_all();
    tokio::time::advance(SETTINGS.heartbeat * 2).await;
    let closes = |effects: Vec<Effect>| effects.iter().any(|e| matches!(e, Effect::Close(_)));
    assert!(!closes(pair.relay.tick(Instant::now())));
    tokio::time::advance(SETTINGS.heartbeat).await;
    assert!(closes(pair.relay.tick(Instant::now())));
    assert!(closes(pair.child.tick(Instant::now())));
}
