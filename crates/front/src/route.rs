//! Which path leads where.

use http::Method;
use nutmegsail_base::ResultCode;

use crate::request_fault::RequestFault;

/// Where a caller's request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Route<'a> {
    /// A generation on this path.
    Generate(&'static str),
    /// The rest of the answer with this handle.
    Resume(&'a str),
    /// A plain service, with the path below it.
    Plain { service: &'a str, path: &'a str },
    /// A new ticket.
    Ticket,
    /// Whether the process runs.
    Healthz,
    /// Whether the node takes requests.
    Readyz,
}

/// Why a request leads nowhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RouteFault {
    pub fault: RequestFault,
    /// The methods that the path takes.
    pub allow: Option<&'static str>,
}

const GENERATE_PATHS: [&str; 2] = ["/v1/completions", "/v1/chat/completions"];

impl<'a> Route<'a> {
    pub fn find(method: &Method, path: &'a str) -> Result<Self, RouteFault> {
        if let Some(known) = GENERATE_PATHS.into_iter().find(|known| *known == path) {
            return only(method, &[Method::POST], "POST", Self::Generate(known));
        }
        if let Some(handle) = path.strip_prefix("/v1/answers/") {
            return only(method, &[Method::GET], "GET", Self::Resume(handle));
        }
        if path == "/v1/tickets" {
            return only(method, &[Method::POST], "POST", Self::Ticket);
        }
        if let Some(rest) = path.strip_prefix("/svc/") {
            let (service, path) = rest
                .find('/')
                .map_or((rest, "/"), |slash| rest.split_at(slash));
            return Ok(Self::Plain { service, path });
        }
        let probe = match path {
            "/healthz" => Self::Healthz,
            "/readyz" => Self::Readyz,
            _ => return Err(unknown_path(path)),
        };
        only(method, &[Method::GET, Method::HEAD], "GET, HEAD", probe)
    }
}

pub(crate) fn unknown_path(path: &str) -> RouteFault {
    let shown: String = path.chars().take(200).collect();
    RouteFault {
        fault: RequestFault::new(ResultCode::UnknownPath, format!("`{shown}`")),
        allow: None,
    }
}

pub(crate) fn only<T>(
    method: &Method,
    allowed: &[Method],
    allow: &'static str,
    route: T,
) -> Result<T, RouteFault> {
    if allowed.contains(method) {
        return Ok(route);
    }
    let detail = format!("the path takes {allow}, not {method}");
    Err(RouteFault {
        fault: RequestFault::new(ResultCode::MethodNotAllowed, detail),
        allow: Some(allow),
    })
}
