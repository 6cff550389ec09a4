//! Child processes of a run. Each is started here and signalled only by its own process id.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Name of the bench executable.
const PROGRAM: &str = "dockwood-bench";

/// A child process; killed on drop if it is still running.
#[derive(Debug)]
pub struct ChildProcess {
    /// Name used in messages.
    pub name: String,
    child: Child,
}

impl ChildProcess {
    /// Starts a program with stdout and stderr appended to a file.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        output: &Path,
    ) -> io::Result<ChildProcess> {
        let file = std::fs::File::options().create(true).append(true).open(output)?;
        let errors = file.try_clone()?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(errors)
            .spawn()
            .map_err(|error| io::Error::new(error.kind(), format!("{}: {error}", program.display())))?;
        Ok(ChildProcess { name: name.to_string(), child })
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        kill(Pid::from_raw(self.child.id() as i32), signal).map_err(io::Error::from)
    }

    /// Kills the process immediately, as in a crash.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }

    /// Waits for the process to exit and returns its exit code; `None` if it is still running after `limit`.
    pub async fn wait(&mut self, limit: Duration) -> Option<i32> {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.code().unwrap_or(-1));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Current resource usage of the process.
    pub fn usage(&self) -> io::Result<Usage> {
        Usage::read(self.child.id())
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        if self.is_running() {
            let _ = self.kill();
        }
    }
}

/// CPU time and memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// CPU time since the process started, in seconds.
    pub cpu_seconds: f64,
    /// Resident set size, in bytes.
    pub resident_bytes: u64,
}

impl Usage {
    /// Reads the usage of a process from `/proc`.
    pub fn read(pid: u32) -> io::Result<Usage> {
        const TICKS_PER_SECOND: f64 = 100.0;
        const PAGE_BYTES: u64 = 4_096;
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        // The program name may contain spaces; the numeric fields follow its closing parenthesis.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let number =
            |index: usize| fields.get(index).and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
        let (user_ticks, system_ticks, resident_pages) = (number(11), number(12), number(21));
        Ok(Usage {
            cpu_seconds: (user_ticks + system_ticks) as f64 / TICKS_PER_SECOND,
            resident_bytes: resident_pages * PAGE_BYTES,
        })
    }
}

/// Path of the executable that runs all processes of a fleet: this one, or in tests the bench built next to the test.
pub fn fleet_executable() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let is_bench = own.file_stem().is_some_and(|stem| stem == PROGRAM);
    if is_bench {
        return Ok(own);
    }
    let mut folder = own.parent().unwrap_or(Path::new(".")).to_path_buf();
    if folder.ends_with("deps") {
        folder.pop();
    }
    Ok(folder.join(PROGRAM))
}
