//! Stand-ins for the services that baobabstage depends on, and helpers for the demo, the bench and
//! the tests.

pub mod backend;
pub mod bench;
pub mod caller;
pub mod fault;
pub mod fleet;
pub mod platform;
pub mod testbed;
