//! The real programs as processes of a test: their settings, logs, addresses and ends.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::ports::ReplicaPorts;
use rustix::process::{Pid, Signal, kill_process};

/// Bound on every wait for a process.
pub const BOUND: Duration = Duration::from_secs(40);
/// Pause between two looks at a condition.
pub const PAUSE: Duration = Duration::from_millis(20);

/// A process of ours, killed when it is dropped.
pub struct Process {
    pub name: String,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a program with its settings file.
    pub fn start(program: &str, name: &str, settings: &Path) -> Self {
        let mut child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .stderr(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program stands beside the test");
        let log = Arc::new(Mutex::new(Vec::new()));
        let stdout = child.stdout.take().expect("standard output is piped");
        let lines = Arc::clone(&log);
        thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                lines
                    .lock()
                    .expect("no thread panics with the log")
                    .push(line);
            }
        });
        Self {
            name: name.to_owned(),
            child,
            log,
        }
    }

    /// The lines that it has logged.
    pub fn log(&self) -> Vec<String> {
        self.log
            .lock()
            .expect("no thread panics with the log")
            .clone()
    }

    /// Waits until it logs where a listener listens.
    pub fn address(&mut self, listener: &str) -> SocketAddr {
        let wanted = format!("listener={listener} address=");
        let since = Instant::now();
        loop {
            let line = self.log().into_iter().find(|line| line.contains(&wanted));
            if let Some((_start, address)) = line.as_deref().and_then(|l| l.split_once(&wanted)) {
                let address = address.split_whitespace().next().unwrap_or_default();
                return address.parse().expect("the log gives an address");
            }
            let ended = self.child.try_wait().expect("a child can be looked at");
            assert!(
                ended.is_none(),
                "{} ended: {}",
                self.name,
                self.log().join("\n")
            );
            assert!(since.elapsed() < BOUND, "{} does not listen", self.name);
            thread::sleep(PAUSE);
        }
    }

    /// Asks it to stop, as the platform does.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Makes it silent while its connections stay open, as a cut-off VM is.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id is small");
        let pid = Pid::from_raw(pid).expect("a process id is above zero");
        kill_process(pid, signal).expect("our own child can be signalled");
    }

    /// Takes its life, as a failing VM does.
    pub fn kill(&mut self) {
        self.child.kill().expect("our own child can be killed");
        let _signalled = self.wait();
    }

    /// Waits for its end and gives the exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let since = Instant::now();
        loop {
            let ended = self.child.try_wait().expect("a child can be looked at");
            if let Some(status) = ended {
                return status.code();
            }
            assert!(since.elapsed() < BOUND, "{} does not end", self.name);
            thread::sleep(PAUSE);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
        if thread::panicking() {
            eprintln!("--- {}\n{}", self.name, self.log().join("\n"));
        }
    }
}

/// Writes a control replica's settings and gives the file.
pub fn control_settings(
    folder: &Path,
    index: usize,
    zone: &str,
    ports: &[ReplicaPorts],
) -> PathBuf {
    let mut text = format!(
        "name = \"control-{index}\"\nzone = \"{zone}\"\ndata_folder = \"{}\"\n\
         operators.listen = \"127.0.0.1:0\"\n",
        folder.join(format!("control-{index}")).display()
    );
    let replicas = ports.iter().enumerate().map(|(number, ports)| {
        let (number, peers, entries) = (number + 1, ports.peers, ports.entries);
        format!(
            "[[replicas]]\nname = \"control-{number}\"\npeers = \"{peers}\"\nentries = \"{entries}\"\n"
        )
    });
    text.extend(replicas);
    write(folder, &format!("control-{index}.toml"), &text)
}

/// Writes an entry's settings and gives the file.
pub fn entry_settings(folder: &Path, index: usize, zone: &str, ports: &[ReplicaPorts]) -> PathBuf {
    let control: Vec<_> = ports
        .iter()
        .map(|ports| format!("\"{}\"", ports.entries))
        .collect();
    let text = format!(
        "name = \"entry-{index}\"\nzone = \"{zone}\"\ncontrol = [{}]\n\
         callers.listen = \"127.0.0.1:0\"\nfleet.listen = \"127.0.0.1:0\"\n\
         operators.listen = \"127.0.0.1:0\"\nstop.balancer_wait_ms = 1000\n",
        control.join(", ")
    );
    write(folder, &format!("entry-{index}.toml"), &text)
}

/// Writes a file of the test and gives its path.
pub fn write(folder: &Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(name);
    fs::write(&path, text).expect("a file can be written");
    path
}
