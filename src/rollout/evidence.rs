//! What the daemons count of the calls of a service during a rollout.

use std::collections::BTreeMap;

/// One start of a backend server, as counted by one process of the daemon beside it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerKey {
    /// The name of the daemon.
    pub daemon: String,
    /// The incarnation of the daemon.
    pub incarnation: u64,
    /// The instance of the backend server.
    pub instance: String,
}

/// Calls of one route at one backend server since counting began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls sent to the backend server that have ended.
    pub calls: u64,
    /// Those that failed: a server error, a lost or broken response.
    pub failures: u64,
    /// The sum of the service times of the others, in microseconds.
    pub time_us: u64,
}

/// The counts of one backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// The version of the backend server.
    pub version: String,
    /// The counts by time class, which stands for a route.
    pub routes: BTreeMap<u32, Counts>,
}

/// The counts of all backend servers of a service. Those of a daemon or a backend server that has gone
/// are kept.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    servers: BTreeMap<ServerKey, ServerCounts>,
}

impl Evidence {
    /// Merges a report. Counts only grow, so that one that arrives twice or late changes nothing.
    pub fn merge(&mut self, key: ServerKey, report: ServerCounts) {
        let known = self.servers.entry(key).or_default();
        known.version = report.version;
        for (class, counts) in report.routes {
            let known = known.routes.entry(class).or_default();
            if counts.calls > known.calls {
                *known = counts;
            }
        }
    }

    /// Iterates over the counts of all backend servers.
    pub fn servers(&self) -> impl Iterator<Item = (&ServerKey, &ServerCounts)> {
        self.servers.iter()
    }
}
