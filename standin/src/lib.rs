//! Stand-ins for what baobabstage meets, and helpers of the demo, the bench and the tests.

pub mod backend;
pub mod bench;
pub mod caller;
pub mod fault;
pub mod fleet;
pub mod platform;
pub mod scene;
