//! An entry VM as a process of its own.

use std::{
    fs::{
        self,
        File, //
    },
    io,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command, //
    },
    time::Duration,
};

use basilbridge_adapter_standins::documents;
use rustix::process::{
    Pid,
    Signal,
    kill_process, //
};

/// One entry VM; its process ends with it.
pub(crate) struct Vm {
    pub(crate) callers: SocketAddr,
    settings: PathBuf,
    log: File,
    child: Option<Child>,
    /// Whether the process was told to end.
    is_ending: bool,
    /// Whether the next process starts as soon as this one has ended.
    boots_again: bool,
}

impl Vm {
    /// Writes the settings of the VM `name` at `ip` and starts its process.
    pub(crate) fn start(
        folder: &Path,
        name: &str,
        ip: &str,
        store: SocketAddr,
        max_lease: Duration,
    ) -> io::Result<Self> {
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, documents::settings(name, ip, store, max_lease))?;
        let callers = format!("{ip}:{}", documents::CALLERS_PORT);
        let mut vm = Self {
            callers: callers.parse().map_err(io::Error::other)?,
            log: File::create(folder.join(format!("{name}.log")))?,
            settings,
            child: None,
            is_ending: false,
            boots_again: false,
        };
        vm.boot()?;
        Ok(vm)
    }

    /// Starts the process, unless it runs; once it has ended, if it was told to end.
    pub(crate) fn boot(&mut self) -> io::Result<()> {
        if self.is_running() {
            self.boots_again = self.is_ending;
            return Ok(());
        }
        (self.is_ending, self.boots_again) = (false, false);
        let child = Command::new(env!("CARGO_BIN_EXE_basilbridged"))
            .arg("--cell")
            .arg(&self.settings)
            .stdout(self.log.try_clone()?)
            .stderr(self.log.try_clone()?)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Starts the process that is due after one that was told to end.
    pub(crate) fn boot_due(&mut self) -> io::Result<()> {
        if self.boots_again {
            self.boot()?;
        }
        Ok(())
    }

    /// Says whether the process has not ended.
    pub(crate) fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal to the process, if it has not ended.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if self.is_running()
            && let Some(child) = &self.child
        {
            self.is_ending |= matches!(signal, Signal::TERM | Signal::KILL);
            // A process that has ended in between needs no signal.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // The process may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
