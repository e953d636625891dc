//! Daemons that run as separate processes.

use anyhow::{Context as _, bail};
use baobabstage::settings::Flags;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitCode, Stdio};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep};

/// Time limit for a daemon to bind its listeners.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The command that starts daemons.
#[derive(Clone, Debug)]
pub struct Launcher {
    /// The path of the program.
    pub program: PathBuf,
    /// Arguments before the flags.
    pub arguments: Vec<String>,
}

impl Launcher {
    /// Creates a launcher for the binary of the daemon.
    #[must_use]
    pub fn new(program: impl AsRef<Path>) -> Self {
        Launcher {
            program: program.as_ref().to_owned(),
            arguments: Vec::new(),
        }
    }

    /// Creates a launcher for the current executable with the argument `daemon`. Its `main` must
    /// call [`run_as_daemon`].
    ///
    /// # Errors
    ///
    /// Fails when the path of the current executable is unknown.
    pub fn current_exe() -> anyhow::Result<Self> {
        Ok(Launcher {
            program: std::env::current_exe()?,
            arguments: vec!["daemon".into()],
        })
    }

    /// Starts a daemon and waits until its listeners are bound.
    ///
    /// # Errors
    ///
    /// Fails when the process ends or does not bind its listeners in time.
    pub async fn start(&self, flags: &[String]) -> anyhow::Result<Process> {
        self.start_observed(flags, |_| {}).await
    }

    /// Starts a daemon as [`Launcher::start`] does and passes each of its log lines to `observe`.
    ///
    /// Later lines are also printed when `STANDIN_VERBOSE` is set.
    ///
    /// # Errors
    ///
    /// Fails as [`Launcher::start`] does.
    pub async fn start_observed(
        &self,
        flags: &[String],
        observe: impl Fn(&str) + Send + 'static,
    ) -> anyhow::Result<Process> {
        let mut child = Command::new(&self.program)
            .args(&self.arguments)
            .args(flags)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("start {}", self.program.display()))?;
        let stdout = child.stdout.take().context("no standard output")?;
        let mut lines = BufReader::new(stdout).lines();
        let mut process = Process::new(child);
        let deadline = Instant::now() + START_TIMEOUT;
        let mut output = Vec::new();
        while process.bound < LISTENERS.len() {
            let line = tokio::time::timeout_at(deadline, lines.next_line()).await;
            let Some(line) = line.context("listeners were not bound in time")?? else {
                bail!("daemon ended during startup: {}", output.join("\n"));
            };
            observe(&line);
            process.read_listener(&line);
            output.push(line);
        }
        let verbose = std::env::var_os("STANDIN_VERBOSE").is_some();
        tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                observe(&line);
                if verbose {
                    eprintln!("{line}");
                }
            }
        });
        Ok(process)
    }
}

/// Runs the daemon if this process was started by a [`Launcher::current_exe`] launcher.
#[must_use]
pub fn run_as_daemon() -> Option<ExitCode> {
    let mut arguments = std::env::args_os().skip(1);
    if arguments.next().is_none_or(|first| first != "daemon") {
        return None;
    }
    let exit = match Flags::from_args(arguments.collect()) {
        Ok(flags) => baobabstage::start::main(&flags),
        Err(err) => {
            eprintln!("daemon: {err}");
            ExitCode::FAILURE
        }
    };
    Some(exit)
}

/// The listeners of a daemon, by their names in its log.
const LISTENERS: [&str; 5] = ["outbound", "inbound", "mesh", "operator", "admin"];

/// A running daemon process.
pub struct Process {
    child: Child,
    /// The number of listeners whose address is known.
    bound: usize,
    /// The outbound address, to which callers connect.
    pub outbound: SocketAddr,
    /// The inbound address, to which other daemons send calls.
    pub inbound: SocketAddr,
    /// The mesh address, to which other daemons attach.
    pub mesh: SocketAddr,
    /// The address of the operator API.
    pub operator: SocketAddr,
    /// The address of the metrics and the state dump.
    pub admin: SocketAddr,
}

impl Process {
    fn new(child: Child) -> Self {
        let unbound = SocketAddr::from(([127, 0, 0, 1], 0));
        Process {
            child,
            bound: 0,
            outbound: unbound,
            inbound: unbound,
            mesh: unbound,
            operator: unbound,
            admin: unbound,
        }
    }

    /// Reads the address of a listener from a log line; ignores other lines.
    fn read_listener(&mut self, line: &str) {
        let field = |name: &str| {
            let mut fields = line.split(' ');
            fields.find_map(|field| field.strip_prefix(name))
        };
        let (Some(listener), Some(address)) = (field("listener="), field("address=")) else {
            return;
        };
        let Ok(address) = address.parse() else {
            return;
        };
        let target = match listener {
            "outbound" => &mut self.outbound,
            "inbound" => &mut self.inbound,
            "mesh" => &mut self.mesh,
            "operator" => &mut self.operator,
            "admin" => &mut self.admin,
            _ => return,
        };
        *target = address;
        self.bound += 1;
    }

    /// Returns the process id, or `None` after the process was waited for.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Kills the process and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be killed.
    pub async fn kill(&mut self) -> anyhow::Result<()> {
        Ok(self.child.kill().await?)
    }

    /// Sends the process a signal by name, such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// Fails when the process was waited for, or when `kill` fails.
    pub async fn signal(&self, name: &str) -> anyhow::Result<()> {
        let id = self.id().context("the process has ended")?;
        let status = Command::new("kill")
            .args([format!("-{name}"), id.to_string()])
            .status()
            .await?;
        anyhow::ensure!(status.success(), "signal {name} to {id}: {status}");
        Ok(())
    }

    /// Waits until the process has ended and returns its exit code, or `None` after a signal.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be waited for.
    pub async fn wait(&mut self) -> anyhow::Result<Option<i32>> {
        Ok(self.child.wait().await?.code())
    }

    /// Reads the state dump from the admin address.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not respond, or not with JSON.
    pub async fn state(&self) -> anyhow::Result<Value> {
        let response = crate::caller::get(self.admin, "/state").await?;
        Ok(serde_json::from_slice(response.body())?)
    }

    /// Polls the state dump until it satisfies a condition, and returns it.
    ///
    /// # Errors
    ///
    /// Fails when it does not within the timeout; the error starts with `what`.
    pub async fn wait_state(
        &self,
        what: &str,
        timeout: Duration,
        condition: impl Fn(&Value) -> bool,
    ) -> anyhow::Result<Value> {
        let deadline = Instant::now() + timeout;
        loop {
            let state = self.state().await;
            if let Ok(state) = &state
                && condition(state)
            {
                return Ok(state.clone());
            }
            if Instant::now() >= deadline {
                bail!("{what}: not within {timeout:?}; last state: {state:?}");
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Interval between two reads of the state dump.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
