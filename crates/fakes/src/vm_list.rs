//! The stand-in for the platform's list of VMs.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use nutmegsail_base::Clock;
use nutmegsail_store::{Vm, VmList, VmListError, VmState};
use serde::Serialize;
use tokio::net::TcpListener;

use crate::Knobs;
use crate::http_server::{HttpReply, HttpServer, serve};
use crate::lagged::Lagged;

/// How long a caller in memory waits on a silent platform before it gives up.
const GIVES_UP_AFTER: Duration = Duration::from_secs(5);

#[derive(Serialize)]
struct VmsJson {
    vms: Vec<Vm>,
}

#[derive(Debug)]
struct VmListState {
    knobs: Knobs,
    vms: Lagged<Vec<Vm>>,
}

/// A list of VMs whose changes appear only after a lag.
#[derive(Debug)]
pub struct FakeVmList {
    clock: Arc<dyn Clock>,
    state: Mutex<VmListState>,
}

impl FakeVmList {
    /// A list that has shown `vms` for ever.
    pub fn new(clock: Arc<dyn Clock>, lag: Duration, vms: Vec<Vm>) -> Self {
        let mut lagged = Lagged::new(lag);
        lagged.set(vms, clock.now());
        let state = Mutex::new(VmListState {
            knobs: Knobs::default(),
            vms: lagged,
        });
        Self { clock, state }
    }

    /// Replaces the failures to show.
    pub fn set_knobs(&self, knobs: Knobs) {
        self.lock().knobs = knobs;
    }

    /// Replaces the list; readers see it after the lag.
    pub fn set(&self, vms: Vec<Vm>) {
        let now = self.clock.now();
        self.lock().vms.set(vms, now);
    }

    /// Changes one VM, or takes it away with no state; readers see it after the lag.
    pub fn set_state(&self, id: &str, vm_state: Option<VmState>) {
        let mut vms = self.newest();
        vms.retain(|vm| vm_state.is_some() || vm.id.as_str() != id);
        for vm in vms.iter_mut().filter(|vm| vm.id.as_str() == id) {
            vm.state = vm_state.unwrap_or(vm.state);
        }
        self.set(vms);
    }

    /// The list as it really is.
    pub fn newest(&self) -> Vec<Vm> {
        self.lock().vms.newest().cloned().unwrap_or_default()
    }

    /// Serves the list over HTTP.
    ///
    /// # Errors
    ///
    /// When the listener's address can't be read.
    pub fn serve_http(self: &Arc<Self>, listener: TcpListener) -> std::io::Result<HttpServer> {
        let list = Arc::clone(self);
        serve(listener, move |request| handle(Arc::clone(&list), request))
    }

    fn shown(&self) -> Vec<Vm> {
        let now = self.clock.now();
        self.lock().vms.seen(now).cloned().unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, VmListState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl VmList for FakeVmList {
    async fn list(&self) -> Result<Vec<Vm>, VmListError> {
        let knobs = self.lock().knobs.clone();
        if knobs.silent {
            tokio::time::sleep(GIVES_UP_AFTER).await;
        }
        if knobs.silent || knobs.outage {
            return Err(VmListError::Unavailable);
        }
        if knobs.delay_ms > 0 {
            tokio::time::sleep(knobs.delay()).await;
        }
        Ok(self.shown())
    }
}

pub(crate) async fn handle(list: Arc<FakeVmList>, request: Request<Incoming>) -> HttpReply {
    if request.method() != Method::GET || request.uri().path() != "/v1/vms" {
        return HttpReply::status(StatusCode::NOT_FOUND);
    }
    let is_silent = list.lock().knobs.silent;
    if is_silent {
        // Hangs until the client closes the connection.
        std::future::pending::<()>().await;
    }
    match list.list().await {
        Ok(vms) => HttpReply::json(StatusCode::OK, &VmsJson { vms }),
        Err(_) => HttpReply::status(StatusCode::SERVICE_UNAVAILABLE),
    }
}
