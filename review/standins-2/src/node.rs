//! The machines: each runs one node, started as the deploy file says, with settings filled in from its template.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::record::Record;

#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub ip: String,
    pub store: SocketAddr,
    pub callers: SocketAddr,
    ready: SocketAddr,
    nodes: u16,
    forward: u16,
    metrics: u16,
}

/// A running process; it is killed when this is dropped.
pub struct Process {
    child: Child,
}

extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Has the kernel end a process when the thread that started it ends, however that happens.
fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the option takes a signal number and touches no memory.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
    Ok(())
}

/// A loopback address of this run alone, so that runs at the same time don't take each other's ports.
fn address_of_machine(number: usize) -> String {
    let run = std::process::id();
    format!("127.{}.{}.{}", 64 + (run >> 8) % 128, run % 256, 10 + number)
}

fn free_port(ip: &str) -> u16 {
    // No two doors of a run get the same port.
    static GIVEN: Mutex<Vec<u16>> = Mutex::new(Vec::new());
    loop {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let port = listener.local_addr().expect("its address").port();
        let mut given = GIVEN.lock().expect("the ports given so far");
        if !given.contains(&port) {
            given.push(port);
            return port;
        }
    }
}

impl Machine {
    pub fn new(name: &str, zone: &'static str, number: usize, store: SocketAddr) -> Self {
        let ip = address_of_machine(number);
        let address = |port| format!("{ip}:{port}").parse().unwrap();
        Self {
            name: name.to_owned(),
            zone,
            store,
            callers: address(free_port(&ip)),
            ready: address(free_port(&ip)),
            nodes: free_port(&ip),
            forward: free_port(&ip),
            metrics: free_port(&ip),
            ip,
        }
    }

    /// What deploy/node.toml.template becomes.
    fn settings(&self, zones: &[&str], is_first_start: bool) -> String {
        let zones: Vec<String> = zones.iter().map(|zone| format!("\"{zone}\"")).collect();
        format!(
            "node = \"{}\"\nfailure_domain = \"{}\"\nfailure_domains = [{}]\ncallers_address = \"{}\"\nready_address = \"{}\"\nnodes_address = \"{}:{}\"\nforward_address = \"{}:{}\"\nmetrics_address = \"{}:{}\"\nis_first_start = {is_first_start}\n\n[store]\naddress = \"{}\"\n\n[limits]\nmemory_mb = 260\ndescriptors = 4100\n\n[bounds]\ngrace_s = 8\ndrain_ms = 3000\nhand_over_ms = 3000\nversion_ms = 5000\nretry_ratio = 0.2\nretry_slack = 202\nretry_window_s = 10\n\n[log]\nformat = \"json\"\nlevel = \"info\"\n",
            self.name, self.zone, zones.join(", "), self.callers, self.ready, self.ip, self.nodes, self.ip, self.forward,
            self.ip, self.metrics, self.store
        )
    }

    /// Starts the node. `folder` holds its settings and its log.
    pub fn start(&self, root: &Path, folder: &Path, zones: &[&str], is_first_start: bool, record: &Record) -> Process {
        let path: PathBuf = folder.join(format!("{}.toml", self.name));
        fs::write(&path, self.settings(zones, is_first_start)).expect("settings");
        let log = fs::OpenOptions::new().create(true).append(true).open(folder.join(format!("{}.log", self.name))).unwrap();
        let mut command = Command::new(root.join("target/release/nutmegsaild"));
        command.arg("--relay").arg(&path).current_dir(root).env_clear();
        command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
        // SAFETY: the call is one system call, which may be made between fork and exec.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command.spawn().unwrap_or_else(|error| {
            eprintln!("the node cannot be started: {error}");
            std::process::exit(2)
        });
        record.line(&format!("machine {} at {} starts its process", self.name, self.ip));
        Process { child }
    }

    pub fn is_ready(&self) -> bool {
        let text = "GET /-/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        call(self.ready, text, Duration::from_secs(1), Duration::from_secs(1)).status == 200
    }

    pub fn wait_until_ready(&self, record: &Record) {
        let began = Instant::now();
        while !self.is_ready() {
            if began.elapsed() > Duration::from_secs(20) {
                record.line(&format!("machine {} does not become ready", self.name));
                std::process::exit(2);
            }
            thread::sleep(Duration::from_millis(50));
        }
        record.line(&format!("machine {} is ready", self.name));
    }
}

impl Process {
    /// SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
