//! Starts the project's programs with settings rendered from the templates of the deploy file.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};
use std::{env, process, thread};

use crate::http::Client;
use crate::proxy::Proxy;
use crate::record::Record;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

/// The processes that were started and not yet waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started. For exits that don't drop the platform.
pub fn kill_all() {
    for id in STARTED.lock().unwrap().drain(..) {
        // SAFETY: `kill` takes two integers. The process is a child that was not waited for.
        unsafe { kill(id as i32, SIGKILL) };
    }
}

fn forget(id: u32) {
    STARTED.lock().unwrap().retain(|known| *known != id);
}

/// Values of the settings that differ between deployments.
#[derive(Clone)]
pub struct Site {
    pub replicas: usize,
    /// Further replicas that are not started with the others.
    pub spares: usize,
    pub entries: usize,
    pub hold_max_ms: u64,
    pub stop_timeout_ms: u64,
    pub gang_timeout_ms: u64,
    pub reclaim_ms: u64,
    /// Whether a proxy stands before the port at which a replica serves entries.
    pub behind_proxy: bool,
}

pub struct Program {
    name: String,
    program: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Program {
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the folder can be written");
        let child = Command::new(self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(Stdio::from(log.try_clone().expect("a file can be cloned")))
            .stdout(Stdio::from(log))
            .spawn();
        let child = child.unwrap_or_else(|cause| {
            eprintln!("{}: {cause}", self.program);
            kill_all();
            process::exit(2)
        });
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
        self.record.note(format!("{} starts", self.name));
    }

    fn replace_line(&self, start: &str, line: &str) {
        let text = fs::read_to_string(&self.settings).expect("the settings exist");
        let lines: Vec<&str> = text
            .lines()
            .map(|old| if old.starts_with(start) { line } else { old })
            .collect();
        fs::write(&self.settings, lines.join("\n")).expect("the settings can be written");
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            self.record
                .note(format!("{} gets signal {signal}", self.name));
            // SAFETY: `kill` takes two integers. The process is a child that was not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            forget(child.id());
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Waits until the process has ended. Returns `false` if it has not within `limit`.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while let Some(child) = &mut self.child {
            let id = child.id();
            if matches!(child.try_wait(), Ok(Some(_))) {
                forget(id);
                self.child = None;
                self.record.note(format!("{} has ended", self.name));
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
        true
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Platform {
    pub folder: PathBuf,
    pub control: Vec<Program>,
    pub entries: Vec<Program>,
    /// Where operators and workers reach each replica.
    pub control_addresses: Vec<SocketAddr>,
    /// Where callers reach each entry, and where its readiness is checked.
    pub caller_addresses: Vec<SocketAddr>,
    pub ready_addresses: Vec<SocketAddr>,
    /// Where entries reach each replica, and where it listens for them.
    pub entry_ports: Vec<(SocketAddr, SocketAddr)>,
    /// The same for the other replicas.
    pub peer_ports: Vec<(SocketAddr, SocketAddr)>,
    pub record: Record,
    /// How many replicas are started at first.
    replicas: usize,
}

impl Platform {
    /// Prepares the programs; none is started yet.
    pub fn new(site: &Site, record: &Record) -> Self {
        let folder = env::temp_dir().join(format!("marjoramknot-review-{}", process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be written");
        let net = 1 + process::id() % 250;
        let all_replicas = site.replicas + site.spares;
        let hosts: Vec<String> = (1..=all_replicas)
            .map(|n| format!("127.9.{net}.{n}"))
            .collect();
        let listens: Vec<String> = if site.behind_proxy {
            (1..=all_replicas)
                .map(|n| format!("127.10.{net}.{n}"))
                .collect()
        } else {
            hosts.clone()
        };
        let all: Vec<String> = hosts.iter().chain(&listens).cloned().collect();
        let port = free_ports(&all, 3);
        let seeds = seed_list(hosts.iter().take(3), port + 2);
        let mut platform = Self {
            folder: folder.clone(),
            control: Vec::new(),
            entries: Vec::new(),
            control_addresses: Vec::new(),
            caller_addresses: Vec::new(),
            ready_addresses: Vec::new(),
            entry_ports: Vec::new(),
            peer_ports: Vec::new(),
            record: record.clone(),
            replicas: site.replicas,
        };
        for (number, (host, listen)) in hosts.iter().zip(&listens).enumerate() {
            let is_spare = number >= site.replicas;
            let name = format!("core-{host}");
            let data = folder.join(&name);
            fs::create_dir_all(&data).expect("the temporary folder can be written");
            let mut text = render(
                "deploy/control.toml",
                &seeds,
                &[
                    ("node_name", &name),
                    ("zone", "z1"),
                    ("data_dir", &data.display().to_string()),
                    ("ip", host),
                    ("internal_ports.0", &port.to_string()),
                    ("internal_ports.1", &(port + 1).to_string()),
                    ("bootstrap", if is_spare { "false" } else { "true" }),
                    ("fault_tolerance.machines", "1"),
                    ("bounds.sync_s", "4"),
                    ("bind_addrs.control", &format!("{listen}:{}", port + 2)),
                    ("bounds.hold_max_ms", &site.hold_max_ms.to_string()),
                    ("bounds.stop_timeout_ms", &site.stop_timeout_ms.to_string()),
                    ("bounds.gang_timeout_ms", &site.gang_timeout_ms.to_string()),
                    ("bounds.reclaim_ms", &site.reclaim_ms.to_string()),
                    ("bounds.far_x", "3"),
                    ("bounds.pace_ms", "100"),
                    ("bounds.harm_ms", "4000"),
                ],
            );
            if site.behind_proxy {
                let line = format!("host = \"{host}\"\n");
                let with_listen = format!("{line}listen_host = \"{listen}\"\n");
                text = text.replace(&line, &with_listen);
            }
            platform.add_control(&name, &text);
            let at = |host: &str, offset: u16| format!("{host}:{}", port + offset).parse();
            platform
                .control_addresses
                .push(at(listen, 2).expect("an address"));
            let outer = at(host, 1).expect("an address");
            platform
                .entry_ports
                .push((outer, at(listen, 1).expect("an address")));
            let outer = at(host, 0).expect("an address");
            platform
                .peer_ports
                .push((outer, at(listen, 0).expect("an address")));
        }
        for number in 1..=site.entries {
            let host = format!("127.11.{net}.{number}");
            let own = free_ports(std::slice::from_ref(&host), 2);
            let callers = format!("{host}:{own}");
            let ready = format!("{host}:{}", own + 1);
            let name = format!("edge-{number}");
            let text = render(
                "deploy/entry.toml",
                &seeds,
                &[
                    ("node_name", &name),
                    ("zone", "z1"),
                    ("internal_ports.1", &(port + 1).to_string()),
                    ("bind_addrs.frontend", &callers),
                    ("bind_addrs.ready", &ready),
                ],
            );
            let program =
                platform.program(&name, "target/release/marjoramknot-platform-entry", &text);
            platform.entries.push(program);
            platform
                .caller_addresses
                .push(callers.parse().expect("an address"));
            platform
                .ready_addresses
                .push(ready.parse().expect("an address"));
        }
        platform
    }

    fn add_control(&mut self, name: &str, text: &str) {
        let program = self.program(name, "target/release/marjoramknot-platform-control", text);
        self.control.push(program);
    }

    fn program(&self, name: &str, program: &'static str, text: &str) -> Program {
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("the temporary folder can be written");
        Program {
            name: name.to_owned(),
            program,
            settings,
            log: self.folder.join(format!("{name}.log")),
            child: None,
            record: self.record.clone(),
        }
    }

    /// Starts the proxies of a site that has them, and returns those between entries and replicas.
    pub fn start_proxies(&self) -> Vec<Proxy> {
        for (outer, inner) in &self.peer_ports {
            Proxy::start(*outer, *inner);
        }
        let ports = self.entry_ports.iter();
        ports
            .map(|(outer, inner)| Proxy::start(*outer, *inner))
            .collect()
    }

    pub fn start_all(&mut self) {
        let control = self.control.iter_mut().take(self.replicas);
        for program in control.chain(&mut self.entries) {
            program.start();
        }
    }

    /// Names these replicas as the seeds in all settings, and tells the running programs.
    pub fn change_seeds(&self, replicas: &[usize]) {
        let hosts: Vec<String> = replicas
            .iter()
            .map(|at| self.control_addresses[*at].ip().to_string())
            .collect();
        let port = self.control_addresses[0].port();
        let line = format!("seeds = [{}]", seed_list(hosts.iter(), port));
        for program in self.control.iter().chain(&self.entries) {
            program.replace_line("seeds = ", &line);
        }
        self.record
            .note(format!("the settings name other seeds: {line}"));
        for program in self.control.iter().chain(&self.entries) {
            program.signal(SIGHUP);
        }
    }

    /// Sends a configuration until it is acknowledged.
    pub fn configure(&self, text: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let mut turn = 0;
        while Instant::now() < until {
            let address = self.control_addresses[turn % self.control_addresses.len()];
            turn += 1;
            let mut client = Client::new(address);
            let answer = client.send("PUT", "/api/config", &[], text, Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status == 200) {
                self.record.note("configuration acknowledged");
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Waits until an entry says that it is ready.
    pub fn wait_ready(&self, entry: usize, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready(entry) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self, entry: usize) -> bool {
        let mut client = Client::new(self.ready_addresses[entry]);
        let answer = client.send("GET", "/api/readiness", &[], "", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// The replica that leads, by its metrics: `heartbeat_url` names it in an answer of another.
    pub fn leader(&self) -> Option<usize> {
        let body = "{\"service\":\"none\",\"zone\":\"z1\",\"phase\":\"draining\",\"born\":1,\
                    \"sequence\":1,\"free_capacity\":{}}";
        for address in &self.control_addresses {
            let mut client = Client::new(*address);
            let path = format!("/api/instances/probe-{}", self.record.now_ms());
            let limit = Duration::from_secs(1);
            let Ok(answer) = client.send("PUT", &path, &[], body, limit) else {
                continue;
            };
            let orders = crate::json::Json::parse(&answer.body).unwrap_or(crate::json::Json::Null);
            if answer.status != 200 {
                continue;
            }
            let url = orders
                .get("heartbeat_url")
                .text()
                .and_then(|url| url.parse().ok());
            let leader: SocketAddr = url.unwrap_or(*address);
            let is_leader = |known: &SocketAddr| {
                known == &leader || known.ip().to_string().ends_with(&last_part(&leader))
            };
            return self.control_addresses.iter().position(is_leader);
        }
        None
    }
}

/// The last number of an address, with its dot: proxies and replicas share it.
fn last_part(address: &SocketAddr) -> String {
    let text = address.ip().to_string();
    text[text.rfind('.').unwrap_or(0)..].to_owned()
}

impl Drop for Platform {
    fn drop(&mut self) {
        for program in self.control.iter_mut().chain(&mut self.entries) {
            program.kill();
        }
        if env::var_os("KEEP").is_none() {
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}

fn seed_list<'a>(hosts: impl Iterator<Item = &'a String>, port: u16) -> String {
    let seeds: Vec<String> = hosts.map(|host| format!("\"{host}:{port}\"")).collect();
    seeds.join(", ")
}

/// Fills in a template of the deploy file.
fn render(template: &str, seeds: &str, values: &[(&str, &str)]) -> String {
    let text = fs::read_to_string(Path::new(template)).unwrap_or_else(|cause| {
        eprintln!("{template}: {cause}");
        process::exit(2)
    });
    let mut text = text.replace("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds);
    for (key, value) in values {
        text = text.replace(&format!("{{{{{key}}}}}"), value);
    }
    assert!(
        !text.contains("{{"),
        "{template} has an unknown placeholder"
    );
    text
}

/// Finds consecutive ports that are free on all hosts.
fn free_ports(hosts: &[String], count: u16) -> u16 {
    let mut port = 20_000 + (process::id() as u16 * 7) % 20_000;
    loop {
        let is_free = hosts
            .iter()
            .all(|host| (0..count).all(|n| TcpListener::bind((host.as_str(), port + n)).is_ok()));
        if is_free {
            return port;
        }
        port += count;
        assert!(port < 60_000, "no free ports");
    }
}
