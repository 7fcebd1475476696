//! Inheritance of class and deadline along the dependency graph.
//!
//! A service's own class applies to calls that callers make directly. A call made on behalf of
//! another service inherits along the chain from that service to the called one: its class is the
//! most urgent of the chain, and its deadline is that of the chain's first service minus the
//! targets of the services on the way. If several chains lead to the called service, the one with
//! the largest sum of targets counts.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegsail_base::{CallName, Class, ResultCode, ServiceName};
use thiserror::Error;

use crate::{Deployment, Derivation, DerivationStep, Service};

/// What a call inherits from the service on whose behalf it is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Inherited {
    /// The class.
    pub class: Class,
    /// How long the caller may wait for this call in all.
    pub deadline: Duration,
    /// The steps of the derivation.
    pub derivation: Derivation,
}

/// Why a call's class and deadline cannot be derived.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InheritanceError {
    /// The text in force has no such service.
    #[error("the text in force has no service `{0}`")]
    UnknownService(ServiceName),
    /// The service has no such call.
    #[error("the service `{service}` has no call `{call}`")]
    UnknownCall {
        /// The service.
        service: ServiceName,
        /// The call.
        call: CallName,
    },
    /// The caller depends on the called service neither directly nor indirectly.
    #[error("the service `{caller}` does not depend on `{callee}`")]
    NotADependency {
        /// The service named as the caller.
        caller: ServiceName,
        /// The called service.
        callee: ServiceName,
    },
}

impl InheritanceError {
    /// The result code sent to the caller.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::UnknownService(_) => ResultCode::UnknownService,
            Self::UnknownCall { .. } => ResultCode::UnknownCall,
            Self::NotADependency { .. } => ResultCode::BadHeader,
        }
    }
}

impl Deployment {
    /// What a request to `callee` on behalf of `caller` inherits, if the request names no call.
    ///
    /// # Errors
    /// Either service is unknown, or `caller` does not depend on `callee`.
    ///
    /// ```
    /// use nutmegsail_base::{Class, ServiceName};
    /// # let text = include_str!("../../../examples/jm-west.toml");
    /// let deployment = nutmegsail_config::Deployment::parse(text, "jm-west.toml")?;
    /// let (desk, scribe) = (ServiceName::from("spa-desk"), ServiceName::from("spa-scribe"));
    /// let inherited = deployment.on_behalf_of(&desk, &scribe)?;
    /// assert_eq!(inherited.class, Class::Urgent);
    /// assert_eq!(inherited.deadline.as_millis(), 3_000 - 200);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn on_behalf_of(
        &self,
        caller: &ServiceName,
        callee: &ServiceName,
    ) -> Result<Inherited, InheritanceError> {
        let derivation = self.derive(callee, None, Some(caller))?;
        Ok(Inherited {
            class: derivation.class,
            deadline: derivation.deadline,
            derivation,
        })
    }

    /// Explains how a call's class, deadline and slack are derived, and what it would inherit from
    /// each service that depends on the called one.
    ///
    /// # Errors
    /// The service or the call is unknown.
    pub fn explain(
        &self,
        service: &ServiceName,
        call: Option<&CallName>,
    ) -> Result<Derivation, InheritanceError> {
        let mut derivation = self.derive(service, call, None)?;
        for caller in self.services.keys() {
            if let Ok(inherited) = self.derive(service, call, Some(caller)) {
                derivation.steps.push(DerivationStep::WouldInherit {
                    service: caller.clone(),
                    class: inherited.class,
                    deadline: inherited.deadline,
                });
            }
        }
        Ok(derivation)
    }

    /// Derives the class, deadline and slack of `call` on `service`, on behalf of `caller` if
    /// given.
    ///
    /// # Errors
    /// A service or the call is unknown, or `caller` does not depend on `service`.
    pub fn derive(
        &self,
        service: &ServiceName,
        call: Option<&CallName>,
        caller: Option<&ServiceName>,
    ) -> Result<Derivation, InheritanceError> {
        let called = self.service(service)?;
        let mut derivation = declared(called, call)?;
        if let Some(caller) = caller {
            self.inherit(&mut derivation, caller)?;
        }
        let (services, targets) = self.chain_below(called);
        if !services.is_empty() {
            let step = DerivationStep::ChainBelow { services, targets };
            derivation.steps.push(step);
        }
        let spent = derivation.target + targets;
        derivation.slack = derivation.deadline.saturating_sub(spent);
        Ok(derivation)
    }

    fn service(&self, name: &ServiceName) -> Result<&Service, InheritanceError> {
        let unknown = || InheritanceError::UnknownService(name.clone());
        self.services.get(name).ok_or_else(unknown)
    }

    fn inherit(
        &self,
        derivation: &mut Derivation,
        caller: &ServiceName,
    ) -> Result<(), InheritanceError> {
        let first = self.service(caller)?;
        let callee = derivation.service.clone();
        let chain = self.costliest_chain_to(first, &callee);
        let chain = chain.ok_or_else(|| InheritanceError::NotADependency {
            caller: caller.clone(),
            callee,
        })?;
        derivation.steps.push(DerivationStep::OnBehalfOf {
            service: caller.clone(),
            class: first.class,
            deadline: first.deadline,
        });
        let mut left = first.deadline;
        for service in chain {
            left = left.saturating_sub(service.target);
            derivation.class = derivation.class.or_more_urgent(service.class);
            derivation.steps.push(DerivationStep::Spends {
                service: service.name.clone(),
                class: service.class,
                target: service.target,
                left,
            });
        }
        derivation.deadline = derivation.deadline.min(left);
        derivation.target = derivation.target.min(derivation.deadline);
        Ok(())
    }

    /// The services from `first` up to but not including `callee`, along the chain with the largest
    /// sum of targets; `None` if no chain leads there.
    fn costliest_chain_to<'d>(
        &'d self,
        first: &'d Service,
        callee: &ServiceName,
    ) -> Option<Vec<&'d Service>> {
        let mut spent = BTreeMap::new();
        self.max_spent_before(first, callee, &mut spent)?;
        let mut chain = vec![first];
        let mut current = first;
        while !current.depends_on.contains(callee) || self.has_longer_path(current, callee, &spent)
        {
            let next = current.depends_on.iter().filter(|name| *name != callee);
            let next = next.max_by_key(|name| spent.get(*name).copied().flatten())?;
            current = self.services.get(next)?;
            chain.push(current);
        }
        Some(chain)
    }

    /// Whether another dependency of `current` leads to `callee` too. Such a path always has the
    /// larger sum.
    fn has_longer_path(
        &self,
        current: &Service,
        callee: &ServiceName,
        spent: &BTreeMap<ServiceName, Option<Duration>>,
    ) -> bool {
        let others = current.depends_on.iter().filter(|name| *name != callee);
        others
            .filter_map(|name| spent.get(name))
            .any(Option::is_some)
    }

    /// The largest sum of targets on a chain from `current` to just before `callee`; `None` if no
    /// chain leads there. `spent` caches the results by service.
    fn max_spent_before(
        &self,
        current: &Service,
        callee: &ServiceName,
        spent: &mut BTreeMap<ServiceName, Option<Duration>>,
    ) -> Option<Duration> {
        if let Some(known) = spent.get(&current.name) {
            return *known;
        }
        let mut most = None;
        for name in &current.depends_on {
            let below = if name == callee {
                Some(Duration::ZERO)
            } else {
                let dependency = self.services.get(name);
                dependency.and_then(|service| self.max_spent_before(service, callee, spent))
            };
            most = most.max(below.map(|below| below + current.target));
        }
        spent.insert(current.name.clone(), most);
        most
    }

    /// The dependency chain below `service` with the largest sum of targets, and that sum.
    fn chain_below(&self, service: &Service) -> (Vec<ServiceName>, Duration) {
        let mut longest = (Vec::new(), Duration::ZERO);
        for name in &service.depends_on {
            let Some(dependency) = self.services.get(name) else {
                continue;
            };
            let (below, targets) = self.chain_below(dependency);
            let targets = targets + dependency.target;
            if targets > longest.1 {
                let mut services = vec![name.clone()];
                services.extend(below);
                longest = (services, targets);
            }
        }
        longest
    }
}

fn declared(service: &Service, call: Option<&CallName>) -> Result<Derivation, InheritanceError> {
    let (class, deadline, target) = match call {
        None => (service.class, service.deadline, service.target),
        Some(name) => {
            let found = service.calls.iter().find(|call| call.name == *name);
            let found = found.ok_or_else(|| InheritanceError::UnknownCall {
                service: service.name.clone(),
                call: name.clone(),
            })?;
            (found.class, found.deadline, found.target)
        }
    };
    Ok(Derivation {
        service: service.name.clone(),
        call: call.cloned(),
        steps: vec![DerivationStep::Declared {
            class,
            deadline,
            target,
        }],
        class,
        deadline,
        target,
        slack: Duration::ZERO,
    })
}
