//! HTTP client of the platform's VM list.

use async_trait::async_trait;
use http::{Method, StatusCode};
use nutmegsail_http_pool::Pool;
use serde::Deserialize;

use crate::{PlatformSettings, StoreRequest, Vm, VmList, VmListError};

/// [`VmList`] over HTTP/1.1.
///
/// ```
/// use nutmegsail_store::{HttpVmList, PlatformSettings};
/// let vms = HttpVmList::new(PlatformSettings::at("127.0.0.1:2401"));
/// assert!(format!("{vms:?}").contains("127.0.0.1:2401"));
/// ```
#[derive(Clone, Debug)]
pub struct HttpVmList {
    settings: PlatformSettings,
    pool: Pool,
}

#[derive(Deserialize)]
struct VmsJson {
    vms: Vec<Vm>,
}

impl HttpVmList {
    /// Creates a client of the VM list at `settings.address`. Sends nothing yet.
    pub fn new(settings: PlatformSettings) -> Self {
        let pool = Pool::new(settings.pool());
        Self { settings, pool }
    }
}

#[async_trait]
impl VmList for HttpVmList {
    async fn list(&self) -> Result<Vec<Vm>, VmListError> {
        let settings = &self.settings;
        let answer = StoreRequest::new(Method::GET, "/v1/vms")
            .send(&self.pool, &settings.address, settings.call_timeout)
            .await
            .map_err(|_| VmListError::Unavailable)?;
        if answer.status != StatusCode::OK {
            return Err(VmListError::Unavailable);
        }
        let json: VmsJson = serde_json::from_slice(&answer.body)
            .map_err(|error| VmListError::Malformed(error.to_string()))?;
        Ok(json.vms)
    }
}
