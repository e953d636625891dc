//! The decisions of the distribution tree, without sockets and clocks of their own.
