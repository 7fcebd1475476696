//! Starts the stand-ins as one process and prints their addresses as one line of JSON.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use nutmegsail_base::{FailureDomain, NodeId};
use nutmegsail_fakes::{EngineEntry, PlainEntry, StandIns, StandInsSettings};
use nutmegsail_store::{Vm, VmRole, VmState};
use tokio::signal::unix::{SignalKind, signal};

/// `ADDRESS=FAILURE_DOMAIN`.
#[derive(Debug)]
struct Place {
    address: SocketAddr,
    failure_domain: FailureDomain,
}

impl FromStr for Place {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (address, failure_domain) = text
            .split_once('=')
            .ok_or_else(|| format!("`{text}` is not ADDRESS=FAILURE_DOMAIN"))?;
        let address = address
            .parse()
            .map_err(|_| format!("`{address}` is not an address such as 127.0.0.1:0"))?;
        Ok(Self {
            address,
            failure_domain: failure_domain.into(),
        })
    }
}

/// `ID=ADDRESS=FAILURE_DOMAIN`.
#[derive(Debug)]
struct EntryVm(Vm);

impl FromStr for EntryVm {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (id, place) = text
            .split_once('=')
            .ok_or_else(|| format!("`{text}` is not ID=ADDRESS=FAILURE_DOMAIN"))?;
        let place: Place = place.parse()?;
        Ok(Self(Vm {
            id: NodeId::from(id),
            address: place.address.to_string(),
            failure_domain: place.failure_domain,
            duty: VmRole::Entry,
            state: VmState::Live,
        }))
    }
}

/// The flags, as the library generates them.
mod flags {
    use std::net::SocketAddr;

    use super::{EntryVm, Place};

    xflags::xflags! {
        /// Starts stand-ins for the platform and the upstreams on loopback.
        ///
        /// Prints one line of JSON with all addresses once they are ready. Ends on SIGTERM and SIGINT.
        cmd standins {
            /// Where the key-value service and the VM list listen.
            optional --kv address: SocketAddr
            /// Where knobs are turned.
            optional --control address: SocketAddr
            /// An engine, as ADDRESS=FAILURE_DOMAIN.
            repeated --engine place: Place
            /// A plain service, as ADDRESS=FAILURE_DOMAIN.
            repeated --plain place: Place
            /// An entry VM of the list, as ID=ADDRESS=FAILURE_DOMAIN.
            repeated --vm vm: EntryVm
            /// Fixes everything random.
            optional --seed seed: u64
            /// How long an engine's step takes.
            optional --step-ms step_ms: u64
            /// Adapters that fit into an engine.
            optional --adapter-slots adapter_slots: usize
            /// Requests in one step of an engine.
            optional --batch-slots batch_slots: usize
            /// How long a load takes at full speed.
            optional --load-ms load_ms: u64
            /// How late an engine's reports are.
            optional --report-lag-ms report_lag_ms: u64
            /// How late the VM list is.
            optional --vm-lag-ms vm_lag_ms: u64
            /// How long a plain call takes.
            optional --work-ms work_ms: u64
            /// Engines refuse orders with an old fencing number.
            optional --check-fencing
        }
    }
}

fn settings(flags: flags::Standins) -> StandInsSettings {
    let mut settings = StandInsSettings::default();
    settings.platform = flags.kv.unwrap_or(settings.platform);
    settings.control = flags.control.unwrap_or(settings.control);
    let engine = |place: Place| EngineEntry {
        address: place.address,
        failure_domain: place.failure_domain,
    };
    let plain = |place: Place| PlainEntry {
        address: place.address,
        failure_domain: place.failure_domain,
    };
    settings.engines = flags.engine.into_iter().map(engine).collect();
    settings.plains = flags.plain.into_iter().map(plain).collect();
    settings.entry_vms = flags.vm.into_iter().map(|vm| vm.0).collect();
    settings.seed = flags.seed.unwrap_or(settings.seed);
    settings.vm_list_lag = millis(flags.vm_lag_ms, settings.vm_list_lag);
    settings.engine.step = millis(flags.step_ms, settings.engine.step);
    settings.engine.report_lag = millis(flags.report_lag_ms, settings.engine.report_lag);
    settings.engine.adapter_slots = flags.adapter_slots.unwrap_or(settings.engine.adapter_slots);
    settings.engine.batch_slots = flags.batch_slots.unwrap_or(settings.engine.batch_slots);
    settings.engine.checks_fencing = flags.check_fencing;
    settings.plain.work = millis(flags.work_ms, settings.plain.work);
    settings.weight_store.load = millis(flags.load_ms, settings.weight_store.load);
    settings
}

fn millis(flag: Option<u64>, default: Duration) -> Duration {
    flag.map_or(default, Duration::from_millis)
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let flags = flags::Standins::from_env_or_exit();
    let mut terminated = signal(SignalKind::terminate())?;
    let mut interrupted = signal(SignalKind::interrupt())?;
    let stand_ins = StandIns::start(settings(flags)).await?;
    println!("{}", serde_json::to_string(&stand_ins.addresses)?);
    tokio::select! {
        _ = terminated.recv() => {}
        _ = interrupted.recv() => {}
    }
    Ok(())
}
