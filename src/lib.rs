//! Configuration distribution and call routing for a service mesh.
//!
//! This crate is the library behind two thin programs: `baobabd`, the daemon beside each backend
//! server, and `baobabctl`, the operators' command line tool.
//!
//! # From a change to a route
//!
//! Operators declare resources of four kinds (see [`resource`]) and modify them by a [`Change`],
//! an atomic batch of operations with an id that the operator chooses. Applying a change to an
//! immutable [`Snapshot`] yields the next version, which is validated as a whole:
//!
//! ```
//! use baobabstage::{Change, Snapshot};
//!
//! let change = Change::from_toml(
//!     r#"
//!     id = "add-certs"
//!     [[put]]
//!     kind = "policy"
//!     name = "records"
//!     spec = { kinds = { lookup = 10 } }
//!     [[put]]
//!     kind = "pool"
//!     name = "certs"
//!     spec = { slots = 12, connections = 120 }
//!     [[put]]
//!     kind = "service"
//!     name = "certs"
//!     spec = { pool = "certs", policy = "records" }
//!     [[put]]
//!     kind = "route"
//!     name = "lookup"
//!     spec = { prefix = "/certs", service = "certs", request_kind = "lookup", idempotent = true }
//!     "#,
//! )?;
//! let applied = change.apply(&Snapshot::default())?;
//! assert_eq!(applied.snapshot.version(), 1);
//! # Ok::<(), baobabstage::Error>(())
//! ```
//!
//! A daemon compiles the snapshot into a [`Table`], which replaces the previous one atomically and
//! finds the route for a call:
//!
//! ```
//! # use baobabstage::{Change, Snapshot, Table};
//! # use std::sync::Arc;
//! # let text = r#"{"id": "x", "put": [
//! #   {"kind": "policy", "name": "records", "spec": {"kinds": {"lookup": 10}}},
//! #   {"kind": "pool", "name": "certs", "spec": {"slots": 12, "connections": 120}},
//! #   {"kind": "service", "name": "certs", "spec": {"pool": "certs", "policy": "records"}},
//! #   {"kind": "route", "name": "lookup", "spec": {"prefix": "/certs", "service": "certs",
//! #       "request_kind": "lookup", "idempotent": true}}]}"#;
//! # let change = Change::from_json(text.as_bytes())?;
//! # let snapshot = change.apply(&Snapshot::default())?.snapshot;
//! let table = Table::compile(Arc::new(snapshot))?;
//! let route = table.route(Some("certs.example"), "/certs/7", "GET").unwrap();
//! assert_eq!(route.name, "lookup");
//! assert!(table.route(None, "/certificates", "GET").is_none());
//! # Ok::<(), baobabstage::Error>(())
//! ```
//!
//! # Modules
//!
//! - [`store`] accepts changes: it writes immutable values first, then commits them with one
//!   compare-and-swap of `head` in the key-value service behind [`platform`].
//! - [`tree`] distributes versions and the records of the daemons in the fleet (members);
//!   [`member`] holds the set of these records. [`exchange`] synchronises both between two daemons.
//! - [`quarantine`] holds the requests under which backend servers have ended, and reports them to the
//!   other daemons of the service.
//! - [`quota`] keeps the accounts of organisations whose calls are limited over all daemons.
//! - [`rollout`] decides how the traffic of a service moves to another version of its backend servers.
//! - [`call`] makes the routing, retry and admission decisions for calls, outbound and inbound.
//! - [`daemon`] is the state that the [roles](role) share: the long-running tasks of a daemon, one
//!   for each listener or source of state. [`kernel`] starts the roles and restarts failed ones.
//! - [`site`] describes the environment of a daemon: its platform, header names and sources of
//!   configuration. [`start`] runs the process.
//! - [`ctl`] is the command line, [`settings`] the daemon's flags, [`event`](mod@event) the
//!   log events, each with a fixed number.
//! - [`serve`] is the accept loop of the HTTP listeners, [`generated`] the code generated from
//!   `proto/mesh.proto`.

pub mod backend;
pub mod call;
pub mod change;
mod check;
pub mod ctl;
pub mod daemon;
mod error;
pub mod event;
pub mod exchange;
pub mod generated;
pub mod header_names;
pub mod kernel;
pub mod logging;
pub mod member;
pub mod platform;
pub mod prelude;
pub mod quarantine;
pub mod quota;
pub mod resource;
pub mod role;
pub mod rollout;
pub mod serve;
pub mod settings;
pub mod site;
pub mod snapshot;
pub mod start;
pub mod store;
mod strict;
pub mod sync;
pub mod table;
pub mod transfer;
pub mod tree;
mod unix_time;
pub mod zlib;
pub use change::Change;
pub use error::{Category, Error, Result};
pub use snapshot::Snapshot;
pub use table::Table;
