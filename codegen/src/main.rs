//! Generates the protocol types from `proto/`.
//!
//! Usage: `codegen DIRECTORY`. The build of the other packages does not run this program:
//! its output is committed in `src/generated`.

use anyhow::{Context, Result};

const FILES: [&str; 1] = ["proto/mesh.proto"];

fn main() -> Result<()> {
    let dir = std::env::args()
        .nth(1)
        .context("usage: codegen DIRECTORY")?;
    std::fs::create_dir_all(&dir).with_context(|| format!("cannot create directory {dir}"))?;
    let set = protox::compile(FILES, ["proto"]).context("cannot compile the proto files")?;
    tonic_prost_build::configure()
        .btree_map(".")
        .bytes(".")
        .out_dir(&dir)
        .compile_fds(set)
        .with_context(|| format!("cannot write the types to {dir}"))
}
