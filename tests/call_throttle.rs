//! An overloaded dependency: calls whose nested calls fail are shed before they take a slot, and the
//! admitted load follows what the dependency can serve.

use baobabstage::call::throttle::Throttle;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use tokio::time::Instant;

const CLASS: u32 = 1;
const STEP: Duration = Duration::from_millis(100);

/// A dependency that serves `capacity` calls in a step. Beyond that, work on calls that time out takes
/// the place of work on calls that could be served.
fn served(offered: u32, capacity: u32) -> u32 {
    if offered <= capacity {
        offered
    } else {
        capacity * capacity / offered
    }
}

struct Model {
    throttle: Throttle,
    now: Instant,
    rng: StdRng,
}

impl Model {
    fn new() -> Self {
        Model {
            throttle: Throttle::default(),
            now: Instant::now(),
            rng: StdRng::seed_from_u64(7),
        }
    }

    /// Offers calls for some steps; returns the shares of them that were admitted and that succeeded.
    fn run(&mut self, steps: u32, offered: u32, capacity: u32) -> (f64, f64) {
        let (mut admitted, mut succeeded) = (0, 0);
        for _ in 0..steps {
            self.now += STEP;
            let sheds = |_: &u32| !self.throttle.sheds(self.now, CLASS, self.rng.random());
            let calls = (0..offered).filter(sheds).count();
            let calls = u32::try_from(calls).unwrap();
            let good = served(calls, capacity);
            for call in 0..calls {
                self.throttle.record(self.now, CLASS, call < good);
            }
            admitted += calls;
            succeeded += good;
        }
        let all = f64::from(steps * offered);
        (f64::from(admitted) / all, f64::from(succeeded) / all)
    }
}

/// Calls at twice the dependency's capacity: without throttling half of the capacity is wasted.
#[test]
fn sheds_overloaded_dependency() {
    let mut model = Model::new();
    model.run(50, 40, 20);
    let (admitted, succeeded) = model.run(100, 40, 20);
    assert!(succeeded > 0.38, "{succeeded}, of 0.5 that can be served");
    assert!(admitted < 0.75, "{admitted}");
}

#[test]
fn sheds_recovery() {
    let mut model = Model::new();
    model.run(100, 40, 10);
    model.run(100, 40, 100);
    let (admitted, _) = model.run(50, 40, 100);
    assert!(admitted > 0.99, "{admitted}");
}

/// A third of failures, as of a backend server with a fault, sheds nothing.
#[test]
fn sheds_some_failures() {
    let model = Model::new();
    for call in 0..600 {
        model.throttle.record(model.now, CLASS, call % 10 < 7);
    }
    assert!(!model.throttle.sheds(model.now, CLASS, 0.0));
}

/// Too few calls, and calls of other classes, say nothing.
#[test]
fn sheds_few_calls() {
    let model = Model::new();
    for _ in 0..7 {
        model.throttle.record(model.now, CLASS, false);
    }
    assert!(!model.throttle.sheds(model.now, CLASS, 0.0));
    model.throttle.record(model.now, CLASS, false);
    assert!(model.throttle.sheds(model.now, CLASS, 0.5));
    assert!(!model.throttle.sheds(model.now, CLASS + 1, 0.0));
}
