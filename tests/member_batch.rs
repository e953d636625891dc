//! Encoding of member records sent between daemons.

use baobabstage::generated::mesh::{Member, MemberUpdate};
use baobabstage::member::batch::{pack, unpack};
use baobabstage::zlib;
use prost::Message;
use test_case::test_case;

fn records(count: u64) -> Vec<Member> {
    let record = |index| Member {
        name: format!("certs-{index}"),
        incarnation: index,
        inbound: format!("10.0.0.{index}:7001"),
        ..Member::default()
    };
    (0..count).map(record).collect()
}

#[test_case(0, false; "none")]
#[test_case(15, false; "few")]
#[test_case(16, true; "many")]
#[test_case(3_300, true; "whole_fleet")]
fn unpack_round_trip(count: u64, compressed: bool) {
    let mut update = pack(records(count));
    assert_eq!(!update.packed.is_empty(), compressed);
    assert_eq!(unpack(&mut update).unwrap(), records(count));
}

#[test]
fn pack_size() {
    let plain = MemberUpdate {
        members: records(3_300),
        ..MemberUpdate::default()
    };
    assert!(pack(records(3_300)).encoded_len() * 4 < plain.encoded_len());
}

#[test_case(b"not compressed".to_vec(); "no_zlib")]
#[test_case(zlib::compress(&[0xff; 40]); "no_message")]
#[test_case(zlib::compress(&vec![0; 17 * 1024 * 1024]); "expands_over_limit")]
#[test_case(pack(records(64)).packed[..100].to_vec(); "truncated")]
fn unpack_invalid(packed: Vec<u8>) {
    let mut update = MemberUpdate {
        packed: packed.into(),
        ..MemberUpdate::default()
    };
    let err = unpack(&mut update).unwrap_err();
    assert!(
        err.to_string().starts_with("packed member records:"),
        "{err}"
    );
}
