//! Invalid input between daemons: frames of random bytes, and corrupted valid frames.

#[path = "support/fuzz.rs"]
mod fuzz;

use baobabstage::Change;
use baobabstage::daemon::Identity;
use baobabstage::generated::mesh as wire;
use baobabstage::prelude::*;
use baobabstage::tree::link::Side;
use baobabstage::tree::node::{Effect, Node, NodeSettings, TreeRole};
use baobabstage::tree::target::Target;
use proptest::prelude::*;
use prost::Message;
use tokio::time::Instant;

/// Bound on the member records after a test case; far above what its frames can hold.
const MAX_MEMBERS: usize = 1_000;

fn node(now: Instant) -> Node {
    let me = Identity {
        name: "certs-0".into(),
        incarnation: 1,
        domain: "espoo".into(),
        region: "fi-south".into(),
    };
    let settings = NodeSettings {
        batch_window: Duration::from_millis(50),
        heartbeat: Duration::from_secs(5),
        max_children: 4,
        admission_rate: 100,
    };
    let mut node = Node::new(me, "127.0.0.1:1".into(), settings, now);
    node.set_role(TreeRole::Relay(0), now);
    node
}

/// Returns the accepted versions: an empty one, one with a pool, and one with the pool changed.
fn accepted() -> Vec<Arc<Snapshot>> {
    let mut versions = vec![Arc::new(Snapshot::default())];
    for slots in [12, 9] {
        let text = format!(
            "id = \"c{slots}\"\n[[put]]\nkind = \"pool\"\nname = \"certs\"\n\
             spec = {{ slots = {slots}, connections = 120 }}"
        );
        let change = Change::from_toml(&text).unwrap();
        let newest = &versions[versions.len() - 1];
        let applied = change.apply(newest).unwrap();
        versions.push(Arc::new(applied.snapshot));
    }
    versions
}

fn real_frames(accepted: &[Arc<Snapshot>]) -> Vec<Vec<u8>> {
    use wire::frame::Content;
    use wire::update::Content as Update;
    let update = |content| {
        Content::Update(wire::Update {
            content: Some(content),
        })
    };
    let member = wire::Member {
        name: "certs-1".into(),
        incarnation: 7,
        service: "certs".into(),
        domain: "espoo".into(),
        inbound: "127.0.0.1:2".into(),
        ..wire::Member::default()
    };
    let contents = [
        update(Update::Full(accepted[1].pack())),
        update(Update::Full(accepted[2].pack())),
        update(Update::Delta(accepted[2].delta_from(&accepted[1]))),
        Content::Members(wire::MemberUpdate {
            members: vec![member],
            ..wire::MemberUpdate::default()
        }),
    ];
    let frame = |content| wire::Frame {
        content: Some(content),
    };
    contents
        .map(|content| frame(content).encode_to_vec())
        .into()
}

/// Generates encoded frames: valid, with a changed byte, truncated, or of random bytes.
fn frames() -> impl Strategy<Value = Vec<u8>> {
    let real = real_frames(&accepted());
    let changed = (
        prop::sample::select(real.clone()),
        any::<u16>(),
        any::<u8>(),
    );
    let changed = changed.prop_map(|(mut frame, at, with)| {
        let at = usize::from(at) % frame.len();
        frame[at] = with;
        frame
    });
    let cut = (prop::sample::select(real.clone()), any::<u16>());
    let cut = cut.prop_map(|(mut frame, len)| {
        frame.truncate(usize::from(len) % frame.len());
        frame
    });
    // The tag of a known field as a prefix makes more of the random frames decodable.
    let random = (1..11_u8, prop::collection::vec(any::<u8>(), 0..120));
    let random = random.prop_map(|(field, bytes)| {
        let len = u8::try_from(bytes.len()).unwrap();
        [vec![field << 3 | 2, len], bytes].concat()
    });
    prop_oneof![2 => prop::sample::select(real), 3 => changed, 1 => cut, 2 => random]
}

proptest! {
    #![proptest_config(fuzz::config(2_000))]

    #[test]
    fn frame_effect_atomic(frames in prop::collection::vec(frames(), 1..20)) {
        let accepted = accepted();
        let mut now = Instant::now();
        let mut node = node(now);
        let hello = wire::Hello { name: "peer".into(), peer: true, ..wire::Hello::default() };
        let (mut link, _) = node.accept(&hello, now).expect("a peer is admitted");
        for frame in frames {
            now += Duration::from_millis(10);
            let Ok(frame) = wire::Frame::decode(&frame[..]) else { continue };
            let Some(content) = frame.content else { continue };
            let before = node.newest();
            for effect in node.receive(link, content, now) {
                match effect {
                    Effect::Apply(snapshot) => {
                        prop_assert!(accepted.iter().any(|known| known == &snapshot));
                    }
                    Effect::Close(id) => {
                        node.closed(id, now);
                        link = node.open(Side::Peer, &Target::any("127.0.0.1:3"), now);
                    }
                    _ => {}
                }
            }
            prop_assert!(node.newest() >= before);
            prop_assert!(accepted.iter().any(|known| known.stamp() == node.newest()));
            prop_assert!(node.members().records_of("espoo").len() < MAX_MEMBERS);
            node.tick(now);
            while matches!(
                node.next(link, now),
                Some(baobabstage::tree::outbox::Next::Send(_))
            ) {}
        }
    }

    #[test]
    fn unpack_random_data(data in prop::collection::vec(any::<u8>(), 0..400), length: u64) {
        let packed = wire::Packed { stamp: None, data: data.clone().into(), length };
        prop_assert!(Snapshot::unpack(&packed).is_err());
        if let Ok(snapshot) = Snapshot::decode(&data) {
            prop_assert_eq!(snapshot.resources().len(), 0);
        }
    }
}

/// Guards against decompression bombs: 32 MiB of zeros compress to a small message that must be
/// refused.
#[test]
fn unpack_oversized() {
    use std::io::Write;
    let mut encoder = flate2::write::ZlibEncoder::new(Vec::new(), flate2::Compression::default());
    let zeros = vec![0; 1 << 20];
    for _ in 0..32 {
        encoder.write_all(&zeros).unwrap();
    }
    let data = encoder.finish().unwrap();
    let packed = wire::Packed {
        stamp: None,
        data: data.into(),
        length: 32 << 20,
    };
    let err = Snapshot::unpack(&packed).unwrap_err();
    assert!(
        err.to_string().contains("bytes after decompression"),
        "{err}"
    );
}
