//! Daemons started as processes of their own.

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

const START_TIMEOUT: Duration = Duration::from_secs(20);

/// How to start daemons.
#[derive(Clone, Debug)]
pub struct Launcher {
    /// The program.
    pub program: PathBuf,
    /// Arguments that go before the flags.
    pub arguments: Vec<String>,
}

impl Launcher {
    /// Makes a launcher of a daemon's binary.
    #[must_use]
    pub fn new(program: impl AsRef<Path>) -> Self {
        Launcher {
            program: program.as_ref().to_owned(),
            arguments: Vec::new(),
        }
    }

    /// Makes a launcher of this very program with a `daemon` argument.
    ///
    /// # Errors
    ///
    /// Fails when the program's path cannot be learned.
    pub fn itself() -> anyhow::Result<Self> {
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

    /// Starts a daemon as [`Launcher::start`] does and passes each of its log lines on.
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
        let mut said = Vec::new();
        while process.bound < LISTENERS.len() {
            let line = tokio::time::timeout_at(deadline, lines.next_line()).await;
            let Some(line) = line.context("listeners are not bound in time")?? else {
                bail!("daemon ended at its start: {}", said.join("\n"));
            };
            observe(&line);
            process.read_listener(&line);
            said.push(line);
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

/// Runs the daemon if this program was started by [`Launcher::itself`].
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

const LISTENERS: [&str; 5] = ["outbound", "inbound", "mesh", "operator", "admin"];

/// A running daemon process.
pub struct Process {
    child: Child,
    bound: usize,
    /// Where callers connect.
    pub outbound: SocketAddr,
    /// Where other daemons send calls.
    pub inbound: SocketAddr,
    /// Where other daemons attach.
    pub mesh: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// Where metrics and state are read.
    pub admin: SocketAddr,
}

impl Process {
    fn new(child: Child) -> Self {
        let none = SocketAddr::from(([127, 0, 0, 1], 0));
        Process {
            child,
            bound: 0,
            outbound: none,
            inbound: none,
            mesh: none,
            operator: none,
            admin: none,
        }
    }

    /// Reads a log line that tells where a listener is bound.
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
        let place = match listener {
            "outbound" => &mut self.outbound,
            "inbound" => &mut self.inbound,
            "mesh" => &mut self.mesh,
            "operator" => &mut self.operator,
            "admin" => &mut self.admin,
            _ => return,
        };
        *place = address;
        self.bound += 1;
    }

    /// Returns the process id, or `None` after its end.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Kills the process and waits for its end.
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
    /// Fails when the process has ended.
    pub async fn signal(&self, name: &str) -> anyhow::Result<()> {
        let id = self.id().context("the process has ended")?;
        let status = Command::new("kill")
            .args([format!("-{name}"), id.to_string()])
            .status()
            .await?;
        anyhow::ensure!(status.success(), "signal {name} to {id}: {status}");
        Ok(())
    }

    /// Waits for the end of the process and returns its exit code.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be waited for.
    pub async fn ended(&mut self) -> anyhow::Result<Option<i32>> {
        Ok(self.child.wait().await?.code())
    }

    /// Reads the state dump.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not answer.
    pub async fn state(&self) -> anyhow::Result<Value> {
        let answer = crate::caller::get(self.admin, "/state").await?;
        Ok(serde_json::from_slice(answer.body())?)
    }

    /// Waits until the state dump fulfils a condition.
    ///
    /// # Errors
    ///
    /// Fails when it does not within the time given.
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
            sleep(POLL).await;
        }
    }
}

const POLL: Duration = Duration::from_millis(20);
