//! Configuration distribution and call routing for a service mesh.
//!
//! The crate is the library behind two thin programs: `baobabd`, the daemon beside each backend
//! server, and `baobabctl`, the operators' command line.
//!
//! # From a change to a route
//!
//! Operators declare resources of four kinds (see [`resource`]) and alter them by a [`Change`], an
//! atomic batch of operations under an id that the operator chooses. A change is applied to an
//! immutable [`Snapshot`] and gives the next version, which is checked as a whole:
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
//! A daemon compiles the snapshot into a [`Table`], which is swapped whole and answers where a call
//! goes:
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
//! # Where to read on
//!
//! - [`store`] accepts changes: immutable values first, then one compare-and-swap of `head` in the
//!   key-value service behind [`platform`].
//! - [`tree`] spreads versions and members; [`member`] holds who takes part.
//! - [`call`] decides what becomes of a call on its two sides.
//! - [`daemon`] is the state that the roles share, [`kernel`] starts the [roles](role) and starts
//!   failed ones again.
//! - [`ctl`] is the command line, [`settings`] the daemon's flags, [`event`](mod@event) the numbered log lines.

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
pub mod kernel;
pub mod logging;
pub mod member;
pub mod names;
pub mod platform;
pub mod prelude;
pub mod resource;
pub mod role;
pub mod serve;
pub mod settings;
pub mod site;
pub mod snapshot;
pub mod start;
pub mod store;
mod strict;
pub mod sync;
pub mod table;
pub mod tree;
pub mod zlib;
pub use change::Change;
pub use error::{Category, Error, Result};
pub use snapshot::Snapshot;
pub use table::Table;
