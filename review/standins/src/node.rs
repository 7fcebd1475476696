//! A node, started as the deploy file says, with settings as the platform fills them in.

use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::http::send;
use crate::store::Store;

pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    process: Child,
    log: PathBuf,
}

/// The repository's root; the program is started there.
pub fn root() -> PathBuf {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"));
    folder.ancestors().nth(2).unwrap().to_owned()
}

/// A folder of this process for settings and logs.
pub fn scratch() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Ports that are free for TCP and UDP, outside the range from which the kernel takes those of connections.
fn free_ports(count: usize) -> Vec<SocketAddr> {
    const FIRST: u32 = 12_000;
    const COUNT: u32 = 18_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let mut found = Vec::new();
    while found.len() < count {
        let place = std::process::id().wrapping_mul(97) + NEXT.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from(([127, 0, 0, 1], (FIRST + place % COUNT) as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            found.push(address);
        }
    }
    found
}

impl Node {
    /// Starts the node number `number` in a zone; all zones are listed.
    pub fn start(store: &Store, number: usize, zone: &str, zones: &[&str]) -> Self {
        let name = format!("front-{zone}-{number}");
        let store_address = store.listen(number);
        let [callers, ready, nodes, forward, metrics] = free_ports(5).try_into().unwrap();
        let settings = format!(
            "node = \"{name}\"\nfailure_domain = \"{zone}\"\nfailure_domains = {zones:?}\n\
             callers_address = \"{callers}\"\nready_address = \"{ready}\"\n\
             nodes_address = \"{nodes}\"\nforward_address = \"{forward}\"\n\
             metrics_address = \"{metrics}\"\nis_first_start = true\n\n\
             [store]\naddress = \"{store_address}\"\n\n\
             [bounds]\ngrace_s = 8\ndrain_ms = 2000\nhand_over_ms = 3000\nversion_ms = 5000\n\
             retry_ratio = 0.2\nretry_slack = 54\nretry_window_s = 10\n\n\
             [log]\nformat = \"json\"\nlevel = \"info\"\n"
        );
        let path = scratch().join(format!("{name}.toml"));
        std::fs::write(&path, settings).unwrap();
        let log = scratch().join(format!("{name}.log"));
        let output = File::create(&log).unwrap();
        let process = Command::new(root().join("target/release/nutmegsaild"))
            .arg("--relay")
            .arg(&path)
            .current_dir(root())
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn();
        let process = process.expect("target/release/nutmegsaild is built");
        Self {
            name,
            callers,
            ready,
            process,
            log,
        }
    }

    /// Waits until it is ready for callers; false if that takes too long.
    pub fn until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let text = "GET /-/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        send(self.ready, text, Duration::from_secs(1)).status == 200
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let command = format!("kill -{signal} {}", self.process.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    /// Its resident memory.
    pub fn memory_mb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.process.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1_024
    }

    /// The lines of its log that contain `text`.
    pub fn logged(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.signal("CONT");
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
