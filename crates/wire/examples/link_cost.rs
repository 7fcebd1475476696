//! Prints what links cost in threads and resident memory, as the operating system counts them, and
//! how long a disconnect takes.
//!
//! `cargo run --release -p nutmegsail-wire --example link_cost`

use std::io::Write;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use nutmegsail_base::Incarnation;
use nutmegsail_wire::{Link, NodeMessage};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    print("before the first link")?;
    let (me, mut received) = Link::bind("127.0.0.1:0", "me".into(), Incarnation(1))?;
    print("one link, no peer")?;
    let mut peers = Vec::new();
    for count in [1, 60, 120] {
        while peers.len() < count {
            let name = format!("peer-{}", peers.len());
            let (peer, mut heard) = Link::bind("127.0.0.1:0", name.into(), Incarnation(1))?;
            let ask = NodeMessage::HeadAsk { ask_id: 1 };
            me.send(&peer.address().to_string(), &ask)?;
            heard.blocking_recv();
            peer.send(&me.address().to_string(), &ask)?;
            received.blocking_recv();
            peers.push((peer, heard));
        }
        print(&format!(
            "{count} peers both ways, their ends in this process too"
        ))?;
    }
    disconnects(&me)
}

/// How long a disconnect holds up its caller, from peers that do not answer.
fn disconnects(me: &Link) -> Result<(), Box<dyn std::error::Error>> {
    let deaf = TcpListener::bind("127.0.0.1:0")?;
    let address = deaf.local_addr()?.to_string();
    thread::spawn(move || {
        // Answers nng's greeting as a Sub socket would, and then reads nothing.
        let accepted = deaf.incoming().flatten();
        let kept: Vec<_> = accepted
            .map(|mut stream| {
                let _ = stream.write_all(b"\0SP\0\0\x21\0\0");
                stream
            })
            .collect();
        drop(kept);
    });
    let piece = NodeMessage::HeadAnswer {
        ask_id: 1,
        head: vec![7; 256 * 1024].into(),
    };
    for (what, address) in [
        ("that reads nothing", &*address),
        ("out of reach", "192.0.2.1:7400"),
    ] {
        let mut slowest = Duration::ZERO;
        for _ in 0..20 {
            for _ in 0..40 {
                me.send(address, &piece)?;
            }
            thread::sleep(Duration::from_millis(50));
            let start = Instant::now();
            me.disconnect(address);
            slowest = slowest.max(start.elapsed());
        }
        println!("slowest of 20 disconnects from a peer {what}: {slowest:?}");
    }
    Ok(())
}

fn print(what: &str) -> Result<(), std::io::Error> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let field = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.split_whitespace().nth(1))
            .unwrap_or("?")
            .to_owned()
    };
    println!(
        "{what}: {} threads, {} kB resident",
        field("Threads:"),
        field("VmRSS:")
    );
    Ok(())
}
