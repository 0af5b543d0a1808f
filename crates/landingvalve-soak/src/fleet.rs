//! The programs under test, as processes of their own.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;

use eyre::Context;
use nix::sys::signal::kill;
use nix::sys::signal::Signal;
use nix::unistd::Pid;

use crate::lock;

/// A program with its settings, and its process while it runs.
#[derive(Debug)]
pub struct Program {
    /// Its name.
    pub name: String,
    path: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    paused: bool,
}

impl Program {
    /// Returns a program that does not run yet; its settings and log go to
    /// `folder`.
    ///
    /// # Errors
    ///
    /// If the settings cannot be written.
    pub fn new(
        name: &str,
        path: &Path,
        folder: &Path,
        settings: &str,
    ) -> eyre::Result<Program> {
        let file = folder.join(format!("{name}.ini"));
        std::fs::write(&file, settings).wrap_err("settings")?;
        Ok(Program {
            name: name.to_owned(),
            path: path.to_owned(),
            settings: file,
            log: folder.join(format!("{name}.log")),
            child: None,
            paused: false,
        })
    }

    /// Starts the process, unless it runs.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub fn start(&mut self) -> eyre::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .wrap_err("log")?;
        let child = Command::new(&self.path)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()
            .wrap_err_with(|| format!("start {}", self.path.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process, if it runs.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.paused = false;
            // One that has ended by itself cannot be killed.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the process to stop.
    pub fn term(&mut self) {
        self.signal(Signal::SIGTERM);
    }

    /// Lets the process stand still, or go on.
    pub fn pause(&mut self, still: bool) {
        self.paused = still;
        self.signal(match still {
            true => Signal::SIGSTOP,
            false => Signal::SIGCONT,
        });
    }

    /// Returns whether the process has ended by itself; it is then gone.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        let ended = child.is_some_and(|c| !matches!(c.try_wait(), Ok(None)));
        if ended {
            self.child = None;
        }
        ended
    }

    fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().map(Child::id);
        let id = id.and_then(|id| i32::try_from(id).ok());
        if let Some(id) = id {
            // Its process is ours and not waited for yet: the id is its own.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns an address that nobody listens on, and that no other call has
/// returned.
///
/// It is taken later, and again after each restart. Fleets of two processes
/// would meet on one host, and two programs of a fleet on one port.
///
/// # Errors
///
/// If there is none.
pub fn free_address() -> eyre::Result<SocketAddr> {
    static GIVEN: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let any = SocketAddr::from(([127, high, middle, low], 0));
    loop {
        let listener = TcpListener::bind(any).wrap_err("a port")?;
        let address = listener.local_addr()?;
        if lock(&GIVEN).insert(address) {
            return Ok(address);
        }
    }
}
