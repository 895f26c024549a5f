//! The project's own programs, started with the commands and the templates of the deploy file.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Client, Request};
use crate::proxy::{self, Partition};
use crate::record::Record;

pub const HOLD_MAX_MS: u64 = 6_000;
pub const STOP_TIMEOUT_MS: u64 = 400;
pub const HEARTBEAT_MS: u64 = 1_500;
pub const HOST: &str = "nony24.example";
pub const KEY: &str = "d4a3hwrr6x73d3zji9n7";
pub const PREFIX: &str = "/lohu930/";
pub const URGENT_PREFIX: &str = "/pufi791/";
pub const OTHER_KEY: &str = "3hh2b9wu3fexd9dnn2ct";

/// How long clients wait for an answer, as on the sites.
pub const DEADLINE_MS: u64 = 3_000;
const PEERS_PORT: u16 = 24_100;
const ENTRIES_PORT: u16 = 24_101;
const CONTROL_PORT: u16 = 24_102;
const CALLERS_PORT: u16 = 24_110;
const READY_PORT: u16 = 24_111;
const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

/// A program on a loopback address of its own.
#[derive(Debug)]
pub struct Process {
    program: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let errors = log.try_clone()?;
        let mut command = Command::new(self.program);
        command.arg("--settings").arg(&self.settings);
        command
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        // SAFETY: the call only asks the kernel to end the child together with this process.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself; it is waited for then.
    pub fn has_ended(&mut self) -> bool {
        let ended = self
            .child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))));
        if ended {
            self.child = None;
        }
        ended
    }

    /// The memory in use, in MB.
    pub fn memory_mb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1_024)
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Three replicas and two entries.
#[derive(Debug)]
pub struct System {
    pub replicas: Vec<Process>,
    pub entries: Vec<Process>,
    pub partition: Arc<Partition>,
    network: [u8; 2],
    folder: PathBuf,
}

impl System {
    /// Starts the system. With `proxied`, the replicas reach each other through proxies.
    pub fn start(record: &Record, proxied: bool) -> std::io::Result<Self> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("marjoramknot-review-{id}"));
        fs::create_dir_all(&folder)?;
        let network = [
            64 + u8::try_from(id >> 8 & 31).unwrap_or(0),
            u8::try_from(id & 255).unwrap_or(0),
        ];
        let mut system = Self {
            replicas: Vec::new(),
            entries: Vec::new(),
            partition: Partition::new(),
            network,
            folder,
        };
        let seeds: Vec<String> = (0..3).map(|at| system.control(at).to_string()).collect();
        let template = fs::read_to_string("deploy/control.toml")?;
        for at in 0..3 {
            let name = format!("core-{at}");
            let data = system.folder.join(format!("data-{at}"));
            let host = system.host(10 + at);
            let listen = if proxied { system.host(100 + at) } else { host };
            let values = [
                ("node_name", name.clone()),
                ("zone", "zone-a".to_owned()),
                ("data_dir", data.display().to_string()),
                ("ip", host.to_string()),
                ("internal_ports.0", PEERS_PORT.to_string()),
                ("internal_ports.1", ENTRIES_PORT.to_string()),
                ("bootstrap", "true".to_owned()),
                ("fault_tolerance.machines", "1".to_owned()),
                ("bounds.sync_s", "4".to_owned()),
                ("bind_addrs.control", format!("{host}:{CONTROL_PORT}")),
                ("bounds.hold_max_ms", HOLD_MAX_MS.to_string()),
                ("bounds.stop_timeout_ms", STOP_TIMEOUT_MS.to_string()),
                ("bounds.gang_timeout_ms", "3000".to_owned()),
                ("bounds.reclaim_ms", "5900".to_owned()),
                ("bounds.far_x", "3".to_owned()),
                ("bounds.pace_ms", "100".to_owned()),
                ("bounds.harm_ms", "4000".to_owned()),
            ];
            let mut text = fill(&template, &values, &seeds);
            if proxied {
                let line = format!("host = \"{host}\"");
                text = text.replace(&line, &format!("{line}\nlisten_host = \"{listen}\""));
                for port in [PEERS_PORT, ENTRIES_PORT] {
                    let (outer, inner) = (
                        SocketAddr::new(host.into(), port),
                        SocketAddr::new(listen.into(), port),
                    );
                    proxy::serve(outer, inner, usize::from(at), &system.partition)?;
                }
            }
            let settings = system.folder.join(format!("{name}.toml"));
            fs::write(&settings, text)?;
            let log = system.folder.join(format!("{name}.log"));
            system.replicas.push(Process {
                program: "target/release/marjoramknot-platform-control",
                settings,
                log,
                child: None,
            });
        }
        let template = fs::read_to_string("deploy/entry.toml")?;
        for at in 0..2 {
            let callers = system.callers(at);
            let name = format!("edge-{at}");
            let values = [
                ("node_name", name.clone()),
                ("zone", "zone-a".to_owned()),
                ("internal_ports.1", ENTRIES_PORT.to_string()),
                ("bind_addrs.frontend", callers.to_string()),
                (
                    "bind_addrs.ready",
                    SocketAddr::new(callers.ip(), READY_PORT).to_string(),
                ),
            ];
            let settings = system.folder.join(format!("{name}.toml"));
            fs::write(&settings, fill(&template, &values, &seeds))?;
            let log = system.folder.join(format!("{name}.log"));
            system.entries.push(Process {
                program: "target/release/marjoramknot-platform-entry",
                settings,
                log,
                child: None,
            });
        }
        for replica in &mut system.replicas {
            replica.start()?;
        }
        for entry in &mut system.entries {
            entry.start()?;
        }
        let processes = system.replicas.iter().chain(&system.entries);
        let ids = processes.map(|process| process.id().unwrap_or(0));
        system.partition.set_processes(ids.collect());
        record.note(&format!(
            "three replicas and two entries started, control at {}",
            seeds.join(", ")
        ));
        Ok(system)
    }

    /// Rewrites the settings as the platform does after the first start.
    pub fn forget_bootstrap(&self) -> std::io::Result<()> {
        for replica in &self.replicas {
            let text = fs::read_to_string(&replica.settings)?;
            fs::write(
                &replica.settings,
                text.replace("bootstrap = true", "bootstrap = false"),
            )?;
        }
        Ok(())
    }

    fn host(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], number)
    }

    /// The address for workers and operators of a replica.
    pub fn control(&self, at: u8) -> SocketAddr {
        SocketAddr::new(self.host(10 + at).into(), CONTROL_PORT)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..3).map(|at| self.control(at)).collect()
    }

    /// The address for clients of an entry.
    pub fn callers(&self, at: u8) -> SocketAddr {
        SocketAddr::new(self.host(200 + at).into(), CALLERS_PORT)
    }

    /// Waits until a replica says that it leads, and returns its number.
    pub fn wait_for_leader(&self, within: Duration) -> Option<u8> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            let leads = (0_u8..3).filter(|at| leads(&self.replicas[usize::from(*at)].log_text()));
            let leaders: Vec<u8> = leads.collect();
            if let [leader] = leaders[..] {
                return Some(leader);
            }
            thread::sleep(Duration::from_millis(50));
        }
        None
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for replica in &mut self.replicas {
            replica.kill();
        }
        for entry in &mut self.entries {
            entry.kill();
        }
        let kept = std::env::var_os("KEEP_LOGS").is_some();
        if kept {
            println!("logs: {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn leads(log: &str) -> bool {
    let last = log
        .lines()
        .rev()
        .find(|line| line.contains("event=leadership "));
    last.is_some_and(|line| line.contains("leads=true has_quorum=true"))
}

/// Fills in a template of the deploy file.
fn fill(template: &str, values: &[(&str, String)], seeds: &[String]) -> String {
    let list: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let section = "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}";
    let mut text = template.replace(section, &list.join(", "));
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

/// Sends one request of an operator, as often as it takes, and returns the status and where it went.
pub fn order(
    record: &Record,
    addresses: &[SocketAddr],
    (method, path, body): (&str, &str, &str),
    within: Duration,
) -> Option<u16> {
    let until = Instant::now() + within;
    let mut pause = Duration::from_millis(50);
    let mut at = 0;
    while Instant::now() < until {
        let address = addresses[at % addresses.len()];
        at += 1;
        let request = Request {
            method,
            path,
            headers: &[],
            body,
        };
        let answer = Client::new(address).send(&request, Duration::from_secs(1));
        match &answer {
            Ok((status, _)) => {
                record.note(&format!("operator: {method} {path} at {address}: {status}"))
            }
            Err(cause) => record.note(&format!("operator: {method} {path} at {address}: {cause}")),
        }
        if let Ok((status @ (200..=299 | 400..=407 | 409..=428), _)) = answer {
            return Some(status);
        }
        thread::sleep(pause);
        pause = (pause * 2).min(Duration::from_secs(1));
    }
    None
}

/// A configuration with a queue of priority 1, an urgent one of priority 0, and two tenants. The first
/// tenant is guaranteed 8 accelerators. A job fails with a task that has failed `attempts` times.
pub fn config(version: u64, attempts: u32) -> String {
    let route = |name: &str, prefix: &str, priority: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"unsafe\",\
             \"timeout_ms\":3000,\"target_duration_ms\":1500,\"priority\":{priority},\"service\":\"huvo11a\",\
             \"max_attempts\":{attempts},\"stretch\":3.0,\"public\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"huvo11a\",\
         \"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0,\"enforces_capacity\":true,\"standby\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"kaje80\",\"api_keys\":[\"{KEY}\"],\
         \"priority\":1,\"guaranteed\":{{\"gpu\":8}}}},{{\"name\":\"lumo12\",\
         \"api_keys\":[\"{OTHER_KEY}\"],\"priority\":1}}]}}",
        route("r-1", PREFIX, 1),
        route("r-2", URGENT_PREFIX, 0)
    )
}

/// Sends one request of a client of the first tenant to an entry.
pub fn call(
    address: SocketAddr,
    method: &str,
    id: &str,
    body: &str,
) -> std::io::Result<(u16, String)> {
    let path = format!("{PREFIX}{id}");
    call_as(address, KEY, (method, &path, body), DEADLINE_MS)
}

/// Sends one request with this key, for a client that waits this long.
pub fn call_as(
    address: SocketAddr,
    key: &str,
    (method, path, body): (&str, &str, &str),
    deadline_ms: u64,
) -> std::io::Result<(u16, String)> {
    let key = format!("Bearer {key}");
    let deadline = deadline_ms.to_string();
    let headers = [
        ("Host", HOST),
        ("Authorization", key.as_str()),
        ("X-Deadline-Ms", deadline.as_str()),
    ];
    let request = Request {
        method,
        path,
        headers: &headers,
        body,
    };
    Client::new(address).send(&request, Duration::from_millis(deadline_ms))
}

/// Reads a deploy template's presence early, so that a case that cannot run says so.
pub fn can_run() -> bool {
    [
        "deploy/control.toml",
        "deploy/entry.toml",
        "target/release/marjoramknot-platform-control",
        "target/release/marjoramknot-platform-entry",
    ]
    .iter()
    .all(|path| Path::new(path).exists())
}
