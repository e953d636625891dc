//! Protocol types generated from `proto/` by the `codegen` package.

#[allow(
    missing_docs,
    clippy::pedantic,
    clippy::all,
    reason = "the generator does not write for the linter"
)]
#[rustfmt::skip]
pub mod mesh {
    include!("generated/baobabstage.mesh.rs");
}
