//! A host of a test fleet as a separate process that can be paused and stopped
//! by signals. It is killed when its handle is dropped.

use std::io::Read;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::fleet::host;
use crate::fleet::host::Addresses;
use crate::fleet::shape::Host;
use crate::fleet::shape::Shape;

/// The name of the binary, which is in the parent of the test's directory.
const BINARY: &str = "masticmoor";

/// Why a process could not be started or signalled.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An operation of the system failed.
    #[error("system error: {0}")]
    System(#[from] std::io::Error),
    /// The binary has not been built.
    #[error("no binary at {path}: build the workspace first")]
    NoBinary {
        /// The expected path.
        path: PathBuf,
    },
    /// The fleet has no host of this name.
    #[error("no such host in the fleet: {name}")]
    NoHost {
        /// The requested name.
        name: String,
    },
    /// The signal could not be sent.
    #[error("cannot send signal {signal}")]
    Signal {
        /// The short name of the signal.
        signal: &'static str,
    },
}

/// A running host process and its settings file.
pub struct Process {
    child: Child,
    settings: PathBuf,
}

impl Process {
    /// Starts the host of this name as a process once its addresses are free.
    pub async fn start(shape: &Shape, name: &str) -> Result<Self, Error> {
        let no_host = || Error::NoHost {
            name: name.to_owned(),
        };
        let spec = shape.hosts.get(name).ok_or_else(no_host)?;
        drop(host::bind_at(spec.addresses).await?);
        let text = shape.settings(name).ok_or_else(no_host)?;
        Self::serve(name, &text)
    }

    /// Starts a process with these settings.
    pub fn serve(name: &str, text: &str) -> Result<Self, Error> {
        let executable = std::env::current_exe()?;
        let path = executable
            .ancestors()
            .nth(2)
            .unwrap_or(&executable)
            .join(BINARY);
        if !path.exists() {
            return Err(Error::NoBinary { path });
        }
        // Tests that run in parallel may have hosts of the same name.
        static FILES: AtomicU64 = AtomicU64::new(0);
        let number = FILES.fetch_add(1, Ordering::Relaxed);
        let file = format!("{BINARY}-{}-{number}-{name}.toml", std::process::id());
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text)?;
        let child = Command::new(path)
            .args(["serve", "--settings"])
            .arg(&settings)
            .stderr(Stdio::piped())
            .spawn()?;
        Ok(Self { child, settings })
    }

    /// Sends a signal, given by its short name such as `TERM`.
    pub fn signal(&self, signal: &'static str) -> Result<(), Error> {
        let pid = self.child.id().to_string();
        match Command::new("kill").args(["-s", signal, &pid]).status()? {
            status if status.success() => Ok(()),
            _ => Err(Error::Signal { signal }),
        }
    }

    /// Returns the exit status of the process, or `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Returns the log of the process; blocks until the process has exited.
    pub fn log(&mut self) -> String {
        let mut text = String::new();
        if let Some(mut log) = self.child.stderr.take() {
            // If reading fails, the part that was read is returned.
            let _ = log.read_to_string(&mut text);
        }
        text
    }
}

impl Shape {
    /// Returns the settings file of a host, with the heartbeats and leases of
    /// [`Shape::options`].
    pub fn settings(&self, name: &str) -> Option<String> {
        let Host { zone, addresses } = self.hosts.get(name)?;
        let Addresses {
            caller,
            peer,
            operator,
        } = addresses;
        Some(format!(
            "[host]\nname = {name:?}\nzone = {zone:?}\ncaller = \"{caller}\"\n\
             peer = \"{peer}\"\noperator = \"{operator}\"\n\
             [platform]\naddresses = {:?}\ncalls_per_second = 50.0\n\
             [peer]\nbeat_ms = 100\nlease_ms = 600\nping_ms = 400\nping_timeout_ms = 400\n\
             [token]\nlifetime_ms = 1000\n",
            self.platform
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
        ))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only if the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}
