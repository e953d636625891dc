//! Listeners, bound once at start so that a role can be restarted on the same address.

use crate::error::{Category, Error, Result};
use crate::event;
use crate::settings::Addresses;
use std::net::{SocketAddr, TcpListener};

/// A bound TCP listener, which outlives the role that accepts on it.
pub struct Socket {
    listener: TcpListener,
    address: SocketAddr,
}

impl Socket {
    pub(super) fn bind(name: &str, address: SocketAddr) -> Result<Self> {
        let error = |err: std::io::Error| {
            let message = format!("{name} listener on {address}: {err}");
            Error::new(Category::Unavailable, message)
        };
        let listener = TcpListener::bind(address).map_err(error)?;
        listener.set_nonblocking(true).map_err(error)?;
        let address = listener.local_addr().map_err(error)?;
        event!(Listening, listener = name, address = address);
        Ok(Socket { listener, address })
    }

    /// Returns the bound address, with the port that the system chose if zero was set.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a duplicate of the listener for the async runtime.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Internal`] when the process has no file descriptor left.
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
    /// For readiness checks, in addition to the admin listener.
    pub ready: Option<Socket>,
}

impl Sockets {
    /// Binds the listeners that every daemon has; the optional ones are left unbound.
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

    /// Returns the bound addresses of the listeners that every daemon has.
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
