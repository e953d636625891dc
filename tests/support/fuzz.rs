//! The configuration of the fuzz targets.

use proptest::test_runner::{Config, RngSeed};

/// Returns a configuration with this number of cases and seed 1.
///
/// The variables `BAOBAB_FUZZ_CASES` and `BAOBAB_FUZZ_SEED` override both.
pub fn config(cases: u32) -> Config {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let seed = number("BAOBAB_FUZZ_SEED").unwrap_or(1);
    let override_cases = number("BAOBAB_FUZZ_CASES").and_then(|cases| u32::try_from(cases).ok());
    Config {
        cases: override_cases.unwrap_or(cases),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}
