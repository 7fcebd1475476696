//! Which terms of the operators' text hold for a request.

use std::time::Duration;

use http::Method;
use nutmegsail_base::{CallName, Class, ResultCode};
use nutmegsail_config::{Call, Deployment, Service};

use crate::request_fault::RequestFault;
use crate::request_head::RequestHead;
use crate::service_path::ServicePath;

/// The terms that the text in force sets for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Terms {
    pub call: Option<CallName>,
    pub class: Class,
    pub deadline: Duration,
    pub target: Duration,
    pub once_only: bool,
    pub idempotent: bool,
}

impl Terms {
    /// The terms of a generation: those of the call that the caller names, or the service's own.
    pub fn of_generation(
        deployment: &Deployment,
        service: &Service,
        head: &RequestHead,
    ) -> Result<Self, RequestFault> {
        let call = match &head.call {
            None => None,
            Some(name) => Some(find_named(service, name)?),
        };
        let terms = Self::of(service, call).inherited(deployment, service, head)?;
        Ok(terms.shortened(head))
    }

    /// The terms of a call to a plain service, chosen by method and path alone.
    ///
    /// A caller who could choose the call by its name would send a booking confirmation under the
    /// name of a lookup and have it repeated. So a name is only checked against the choice.
    pub fn of_plain(
        deployment: &Deployment,
        service: &Service,
        method: &Method,
        path: &ServicePath,
        head: &RequestHead,
    ) -> Result<Self, RequestFault> {
        let call = find_matching(service, method, path);
        if let Some(named) = &head.call {
            find_named(service, named)?;
            if call.is_none_or(|call| call.name != *named) {
                let detail = format!("`{named}` does not have this method and path");
                return Err(RequestFault::new(ResultCode::UnknownCall, detail));
            }
        }
        let mut terms = Self::of(service, call);
        terms.idempotent |= call.is_none() && method.is_safe();
        let terms = terms.inherited(deployment, service, head)?;
        Ok(terms.shortened(head))
    }

    /// What the call inherits from the service on whose behalf it is made.
    fn inherited(
        mut self,
        deployment: &Deployment,
        service: &Service,
        head: &RequestHead,
    ) -> Result<Self, RequestFault> {
        let Some(caller) = &head.on_behalf_of else {
            return Ok(self);
        };
        let derivation = deployment
            .derive(&service.name, self.call.as_ref(), Some(caller))
            .map_err(|fault| RequestFault::new(fault.code(), fault.to_string()))?;
        self.class = derivation.class;
        self.deadline = derivation.deadline;
        Ok(self)
    }

    fn of(service: &Service, call: Option<&Call>) -> Self {
        match call {
            Some(call) => Self {
                call: Some(call.name.clone()),
                class: call.class,
                deadline: call.deadline,
                target: call.target,
                once_only: call.once_only,
                idempotent: call.idempotent && !call.once_only,
            },
            None => Self {
                call: None,
                class: service.class,
                deadline: service.deadline,
                target: service.target,
                once_only: false,
                idempotent: false,
            },
        }
    }

    /// A caller may shorten its deadline, never lengthen it.
    fn shortened(mut self, head: &RequestHead) -> Self {
        if let Some(deadline) = head.deadline {
            self.deadline = self.deadline.min(deadline);
        }
        self
    }
}

fn find_named<'a>(service: &'a Service, name: &CallName) -> Result<&'a Call, RequestFault> {
    let found = service.calls.iter().find(|call| call.name == *name);
    found.ok_or_else(|| {
        let detail = format!("`{}` has no call `{name}`", service.name);
        RequestFault::new(ResultCode::UnknownCall, detail)
    })
}

/// The call whose path fits most closely; between equals one that names the method, then one that
/// runs once.
fn find_matching<'a>(
    service: &'a Service,
    method: &Method,
    path: &ServicePath,
) -> Option<&'a Call> {
    let fit = |call: &'a Call| {
        let is_method = call
            .method
            .as_deref()
            .is_none_or(|named| named == method.as_str());
        let closeness = call
            .path
            .as_deref()
            .map_or(Some(0), |named| path.matches(named))?;
        is_method.then_some(((closeness, call.method.is_some(), call.once_only), call))
    };
    let fits = service.calls.iter().filter_map(fit);
    fits.max_by_key(|(closeness, _)| *closeness)
        .map(|(_, call)| call)
}
