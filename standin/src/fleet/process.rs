//! A host of a test fleet as a process of its own, which can be paused and
//! ended by signals. It never outlives its test.

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

/// The name of the binary, two folders above that of the test.
const BINARY: &str = "masticmoor";

/// Why a process can't be started or told something.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The system refused.
    #[error("system: {0}")]
    System(#[from] std::io::Error),
    /// The binary was not built.
    #[error("no binary at {path}: build the workspace first")]
    NoBinary {
        /// Where it should be.
        path: PathBuf,
    },
    /// No such host is in the fleet.
    #[error("no host {name}")]
    NoHost {
        /// The name asked for.
        name: String,
    },
    /// The signal was not sent.
    #[error("signal {signal} not sent")]
    Signal {
        /// Its name.
        signal: &'static str,
    },
}

/// A process that serves.
pub struct Process {
    child: Child,
    settings: PathBuf,
}

impl Process {
    /// Starts the host of this name in a process, as soon as its addresses
    /// are free.
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
        // Tests that run side by side may have hosts of the same name.
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

    /// Sends a signal, by its short name.
    pub fn signal(&self, signal: &'static str) -> Result<(), Error> {
        let pid = self.child.id().to_string();
        match Command::new("kill").args(["-s", signal, &pid]).status()? {
            status if status.success() => Ok(()),
            _ => Err(Error::Signal { signal }),
        }
    }

    /// Returns how the process ended, if it did.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Returns all that the process logged; to be called once it ended.
    pub fn log(&mut self) -> String {
        let mut text = String::new();
        if let Some(mut log) = self.child.stderr.take() {
            // What can be read is enough.
            let _ = log.read_to_string(&mut text);
        }
        text
    }
}

impl Shape {
    /// Returns the settings of a host as a file, with the beats and leases
    /// that [`Shape::options`] gives.
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
        // Fails only if it ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}
