//! Prints what links cost in threads and resident memory, as the operating system counts them.
//!
//! `cargo run --release -p nutmegsail-wire --example link_cost`

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
