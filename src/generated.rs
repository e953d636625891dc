//! Protocol types generated from `proto/` by the `codegen` package.

#[allow(
    missing_docs,
    clippy::pedantic,
    clippy::all,
    reason = "generated code does not follow the lint rules"
)]
#[rustfmt::skip]
pub mod mesh {
    include!("generated/baobabstage.mesh.rs");
}
