//! Explains how the class, deadline and slack of a call are derived.

use std::time::Duration;

use nutmegsail_base::{CallName, Class, ServiceName};
use serde::Serialize;

use crate::millis::{self, Millis};

/// A call's class, deadline and slack, with the steps of their derivation.
///
/// [`std::fmt::Display`] prints one line per step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Derivation {
    /// The called service.
    pub service: ServiceName,
    /// The call; `None` for requests that name no call.
    pub call: Option<CallName>,
    /// The steps, in order.
    pub steps: Vec<DerivationStep>,
    /// The resulting class, which routing uses.
    pub class: Class,
    /// How long the caller waits in all.
    #[serde(rename = "deadline_ms", serialize_with = "millis::serialize")]
    pub deadline: Duration,
    /// The intended time to first token or first byte.
    #[serde(rename = "target_ms", serialize_with = "millis::serialize")]
    pub target: Duration,
    /// How long the request may wait if it and everything it depends on meet their targets. Queues
    /// are ordered by it.
    #[serde(rename = "slack_ms", serialize_with = "millis::serialize")]
    pub slack: Duration,
}

/// One step of a [`Derivation`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum DerivationStep {
    /// The values that the text sets for the call itself.
    Declared {
        /// The class.
        class: Class,
        /// The deadline.
        #[serde(rename = "deadline_ms", serialize_with = "millis::serialize")]
        deadline: Duration,
        /// The target.
        #[serde(rename = "target_ms", serialize_with = "millis::serialize")]
        target: Duration,
    },
    /// The call is made on behalf of this service, whose class and deadline are passed down.
    OnBehalfOf {
        /// The first service of the chain.
        service: ServiceName,
        /// Its class.
        class: Class,
        /// Its deadline.
        #[serde(rename = "deadline_ms", serialize_with = "millis::serialize")]
        deadline: Duration,
    },
    /// The chain passes through this service, whose target is subtracted from the deadline.
    Spends {
        /// The service.
        service: ServiceName,
        /// Its class.
        class: Class,
        /// Its target.
        #[serde(rename = "target_ms", serialize_with = "millis::serialize")]
        target: Duration,
        /// The rest of the deadline.
        #[serde(rename = "left_ms", serialize_with = "millis::serialize")]
        left: Duration,
    },
    /// The dependency chain below the called service with the largest sum of targets.
    ChainBelow {
        /// The services of the chain, starting with the direct dependency.
        services: Vec<ServiceName>,
        /// The sum of their targets.
        #[serde(rename = "targets_ms", serialize_with = "millis::serialize")]
        targets: Duration,
    },
    /// What a call on behalf of this service would inherit; listed by `explain`.
    WouldInherit {
        /// A service that depends on the called service.
        service: ServiceName,
        /// The class that it passes down.
        class: Class,
        /// The deadline that it passes down.
        #[serde(rename = "deadline_ms", serialize_with = "millis::serialize")]
        deadline: Duration,
    },
}

impl std::fmt::Display for DerivationStep {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Declared {
                class,
                deadline,
                target,
            } => {
                let (deadline, target) = (Millis(*deadline), Millis(*target));
                write!(f, "declared: {class}, deadline {deadline}, target {target}")
            }
            Self::OnBehalfOf {
                service,
                class,
                deadline,
            } => {
                let deadline = Millis(*deadline);
                write!(f, "on behalf of {service}: {class}, deadline {deadline}")
            }
            Self::Spends {
                service,
                class,
                target,
                left,
            } => {
                let (target, left) = (Millis(*target), Millis(*left));
                write!(
                    f,
                    "through {service} ({class}): spends its target of {target}, {left} left"
                )
            }
            Self::ChainBelow { services, targets } => {
                let names: Vec<&str> = services.iter().map(ServiceName::as_str).collect();
                let targets = Millis(*targets);
                write!(f, "below it: {}, targets of {targets}", names.join(" -> "))
            }
            Self::WouldInherit {
                service,
                class,
                deadline,
            } => {
                let deadline = Millis(*deadline);
                write!(
                    f,
                    "called on behalf of {service} it would be {class}, deadline {deadline}"
                )
            }
        }
    }
}

impl std::fmt::Display for Derivation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.call {
            Some(call) => writeln!(f, "{} / {call}", self.service)?,
            None => writeln!(f, "{}", self.service)?,
        }
        for step in &self.steps {
            writeln!(f, "  {step}")?;
        }
        let [deadline, target, slack] = [self.deadline, self.target, self.slack].map(Millis);
        write!(
            f,
            "  so: {}, deadline {deadline}, target {target}, slack {slack}",
            self.class
        )
    }
}
