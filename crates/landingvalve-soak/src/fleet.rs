//! The programs under test, each in its own process.

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
    /// The name of the program in the fleet, and of its settings and log.
    pub name: String,
    path: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    paused: bool,
}

impl Program {
    /// Returns a program that has not been started. The settings are written
    /// to `folder`, and the log goes there too.
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

    /// Starts the process unless it is running.
    ///
    /// # Errors
    ///
    /// If the process cannot be started, or the log cannot be opened.
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

    /// Returns the id of the process while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process if it is running.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.paused = false;
            // The kill fails if the process has ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends the process a termination signal.
    pub fn terminate(&mut self) {
        self.signal(Signal::SIGTERM);
    }

    /// Suspends or resumes the process.
    pub fn set_paused(&mut self, paused: bool) {
        self.paused = paused;
        self.signal(match paused {
            true => Signal::SIGSTOP,
            false => Signal::SIGCONT,
        });
    }

    /// Returns whether the process has ended by itself, and if so prepares the
    /// program for another start.
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
            // The process is a child that has not been waited for, so its id
            // cannot belong to another process.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a loopback address that nobody listens on, and that no other call
/// has returned.
///
/// A program binds the address later, and again after each restart. The host
/// part is derived from the process id so that two soaks at the same time
/// cannot use the same address; returned addresses are remembered so that two
/// programs of a fleet don't get the same port.
///
/// # Errors
///
/// If no address is available.
pub fn free_address() -> eyre::Result<SocketAddr> {
    static RETURNED: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let any_port = SocketAddr::from(([127, high, middle, low], 0));
    loop {
        let listener = TcpListener::bind(any_port).wrap_err("bind a port")?;
        let address = listener.local_addr()?;
        if lock(&RETURNED).insert(address) {
            return Ok(address);
        }
    }
}
