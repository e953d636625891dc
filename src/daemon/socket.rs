//! Listeners, bound once at start so that a role can be started again on the same address.

use crate::error::{Category, Error, Result};
use crate::event;
use crate::settings::Addresses;
use std::net::{SocketAddr, TcpListener};

/// A bound listener.
pub struct Socket {
    listener: TcpListener,
    address: SocketAddr,
}

impl Socket {
    pub(super) fn bind(name: &str, address: SocketAddr) -> Result<Self> {
        let fault = |err: std::io::Error| {
            let message = format!("{name} listener on {address}: {err}");
            Error::new(Category::Unavailable, message)
        };
        let listener = TcpListener::bind(address).map_err(fault)?;
        listener.set_nonblocking(true).map_err(fault)?;
        let address = listener.local_addr().map_err(fault)?;
        event!(Listening, listener = name, address = address);
        Ok(Socket { listener, address })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle to the listener for the runtime.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Internal`] when the process has no file descriptors left.
    pub fn listener(&self) -> Result<tokio::net::TcpListener> {
        let listener = self.listener.try_clone();
        listener
            .and_then(tokio::net::TcpListener::from_std)
            .map_err(|err| Error::new(Category::Internal, format!("{}: {err}", self.address)))
    }
}

/// The bound listeners of a daemon.
pub struct Sockets {
    /// For callers.
    pub outbound: Socket,
    /// For calls from other daemons.
    pub inbound: Socket,
    /// For the distribution tree.
    pub mesh: Socket,
    /// For operators.
    pub operator: Socket,
    /// For metrics and the state dump.
    pub admin: Socket,
    /// For reports of the backend server.
    pub reports: Option<Socket>,
    /// For questions about readiness, besides the admin listener.
    pub ready: Option<Socket>,
}

impl Sockets {
    /// Binds every listener.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Unavailable`] when an address cannot be bound.
    pub fn bind(addresses: &Addresses) -> Result<Self> {
        Ok(Sockets {
            outbound: Socket::bind("outbound", addresses.outbound)?,
            inbound: Socket::bind("inbound", addresses.inbound)?,
            mesh: Socket::bind("mesh", addresses.mesh)?,
            operator: Socket::bind("operator", addresses.operator)?,
            admin: Socket::bind("admin", addresses.admin)?,
            reports: None,
            ready: None,
        })
    }

    /// Returns the bound addresses.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        Addresses {
            outbound: self.outbound.address,
            inbound: self.inbound.address,
            mesh: self.mesh.address,
            operator: self.operator.address,
            admin: self.admin.address,
        }
    }
}
