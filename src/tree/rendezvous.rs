//! The order in which a daemon prefers relays, by rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64;

/// Sorts addresses or names by their rendezvous hash with a daemon's name, most preferred first.
pub fn rank<T: AsRef<str>>(name: &str, choices: &mut [T]) {
    choices.sort_by_cached_key(|choice| {
        let weight = weight(name, choice.as_ref());
        std::cmp::Reverse((weight, choice.as_ref().to_owned()))
    });
}

fn weight(name: &str, choice: &str) -> u64 {
    xxh3_64(format!("{name}\n{choice}").as_bytes())
}
