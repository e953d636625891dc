//! The configuration of the fuzz targets.

use proptest::test_runner::{Config, RngSeed};

/// Returns the seed and the number of cases, which `BAOBAB_FUZZ_SEED` and `BAOBAB_FUZZ_CASES`
/// replace.
pub fn config(cases: u32) -> Config {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let seed = number("BAOBAB_FUZZ_SEED").unwrap_or(1);
    let given = number("BAOBAB_FUZZ_CASES").and_then(|cases| u32::try_from(cases).ok());
    Config {
        cases: given.unwrap_or(cases),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}
