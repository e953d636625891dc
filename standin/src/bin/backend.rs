//! Runs a stand-in for a backend server, to test daemons manually.

use flags::Backend as BackendFlags;
use standin::backend::{Backend, Behaviour, RunLog};
use std::time::Duration;

#[allow(missing_docs, reason = "the macro writes no comments")]
mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Runs a stand-in for a backend server until interrupted.
        cmd backend {
            /// The name in its responses; backend by default.
            optional --name name: String
            /// The address to listen on, as IP:PORT; 127.0.0.1:8000 by default.
            optional --listen address: SocketAddr
            /// Time that a call takes, in milliseconds; 0 by default.
            optional --work-ms ms: u64
        }
    }
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let flags = BackendFlags::from_env_or_exit();
    let name = flags.name.unwrap_or_else(|| "backend".into());
    let address = flags.listen.unwrap_or(([127, 0, 0, 1], 8000).into());
    let behaviour = Behaviour {
        work: Duration::from_millis(flags.work_ms.unwrap_or(0)),
        ..Behaviour::default()
    };
    let backend = Backend::start(&name, address, behaviour, RunLog::default()).await?;
    println!("backend {name} listens on {}", backend.address());
    Ok(tokio::signal::ctrl_c().await?)
}
