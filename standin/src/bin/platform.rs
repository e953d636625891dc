//! Runs the stand-in for the platform's key-value service, to test daemons manually.

use flags::Platform as PlatformFlags;
use standin::platform::{Limits, Platform};

#[allow(missing_docs, reason = "the macro writes no comments")]
mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Runs the stand-in for the platform's key-value service until interrupted.
        cmd platform {
            /// The address to listen on, as IP:PORT; 127.0.0.1:7400 by default.
            optional --listen address: SocketAddr
            /// Reads allowed per second; 2000 by default.
            optional --reads count: u32
            /// Writes allowed per second; 400 by default.
            optional --writes count: u32
        }
    }
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let flags = PlatformFlags::from_env_or_exit();
    let default = Limits::default();
    let limits = Limits {
        reads: flags.reads.unwrap_or(default.reads),
        writes: flags.writes.unwrap_or(default.writes),
    };
    let address = flags.listen.unwrap_or(([127, 0, 0, 1], 7400).into());
    let platform = Platform::start(address, limits).await?;
    println!("platform listens on {}", platform.address());
    Ok(tokio::signal::ctrl_c().await?)
}
