//! The catalogue of log events.

use derive_more::Display;

/// How severe an event is.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display(rename_all = "lowercase")]
pub enum Severity {
    /// A fault of the node itself.
    Error,
    /// An operator may have to act.
    Warning,
    /// A change of state.
    Info,
    /// One request or message.
    Debug,
}

macro_rules! events {
    ($($number:literal $variant:ident $severity:ident $text:literal;)*) => {
        /// A numbered log event. `docs/EVENTS.md` lists them all; a test compares it with this
        /// table.
        ///
        /// 1xxx: the node. 2xxx: requests. 3xxx: upstreams and adapters. 4xxx: other nodes and
        /// failure domains. 5xxx: the operators' text. 6xxx: the platform. 7xxx: messages between
        /// nodes. 8xxx: calls that run once.
        ///
        /// ```
        /// use nutmegsail_telemetry::Event;
        /// assert_eq!(Event::NodeStarted.to_string(), "NE1001");
        /// assert_eq!(Event::NodeStarted.name(), "NodeStarted");
        /// ```
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Event {
            $(#[doc = $text] $variant,)*
        }

        impl Event {
            /// Every event, in order of its number.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The number, stable over releases.
            pub const fn number(self) -> u16 {
                match self { $(Self::$variant => $number,)* }
            }

            /// The name, stable over releases.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => stringify!($variant),)* }
            }

            /// How severe it is.
            pub const fn severity(self) -> Severity {
                match self { $(Self::$variant => Severity::$severity,)* }
            }

            /// What happened, in a sentence.
            pub const fn text(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }
    };
}

events! {
    1001 NodeStarted Info "The node's process started.";
    1002 NodeReady Info "The node answers callers.";
    1003 NodeLeaving Info "The node is shutting down and takes no new work.";
    1004 NodeStopped Info "The node has finished everything and ends.";
    1005 NodeResumed Warning "The node did not run for a while and goes on with old knowledge.";
    1006 SettingsRead Info "The node read its settings.";
    1007 ListenerOpened Info "The node listens on an address.";
    1008 TaskFailed Error "A task of the node ended by a fault.";
    1009 DrainTimedOut Warning "The shutdown's time is over while requests are still running.";
    1010 LinesLeftOut Warning "Log lines of one kind were left out, as there were too many in a second.";
    1011 ReadinessChanged Info "The node's answer to readiness checks changed.";
    1012 OverloadChanged Warning "The node began or ceased to close callers' new connections unread, as it is overloaded.";
    1013 RoomExhausted Warning "Requests were refused, or connections ended or closed unread, as there was no room for all that they hold.";
    2001 RequestRefused Info "A request was refused and did not run.";
    2002 RequestEnded Info "A request ended.";
    2003 AnswerCut Warning "An answer broke off before its end.";
    2004 AnswerResumed Info "A caller resumed an answer.";
    2005 RequestRetried Debug "A request was sent to another upstream.";
    2006 RequestShed Debug "A request was given up before it was sent.";
    2007 WrongAdapterDiscarded Error "An engine answered with another adapter; the answer was discarded.";
    2008 CallerGone Debug "A caller went away; its run was cancelled.";
    2009 SendRefused Info "An upstream turned a request away, which did not run there.";
    2010 KeyRejected Info "A request was turned away for its key.";
    2011 QuotaRefused Info "A request was refused for its team's quota.";
    2012 CrashingRequestRefused Warning "A request was refused, as upstreams ended under it.";
    2013 HeldBack Info "A request was held back from an upstream, whose limit had no room for it.";
    2014 SendLost Info "A request was sent to an upstream, and no usable answer came; it may have run.";
    2015 SendNotSent Info "A request could not be sent to an upstream, as no connection could be opened.";
    2016 RequestForwarded Info "A request was forwarded to another node, as its upstreams cannot be reached from this one.";
    2017 AnswerNotResumed Info "A stream broke off, and no other upstream resumed it.";
    2018 PromptHeldBack Info "A request was held back or refused because of the prompts sent to an engine.";
    3001 UpstreamEjected Warning "An upstream failed too often and gets no work for a while.";
    3002 UpstreamRestored Info "An upstream gets work again.";
    3003 UpstreamLeaving Info "An upstream is leaving and gets no new work.";
    3004 UpstreamRestarted Warning "An upstream runs as a new incarnation.";
    3005 UpstreamReportStale Warning "No load report came from an upstream for a while.";
    3006 LoadOrdered Info "An engine was ordered to load an adapter.";
    3007 LoadFinished Info "An engine has loaded an adapter.";
    3008 LoadFailed Warning "An engine could not load an adapter.";
    3009 UnloadOrdered Info "An engine was ordered to unload an adapter.";
    3010 OrderRefused Warning "An engine refused an order.";
    3011 EngineOwned Info "The node now owns an engine.";
    3012 EngineReleased Info "The node no longer owns an engine.";
    3013 PinsLapsed Warning "Pins lapsed without being given back.";
    3014 UpstreamEntryRejected Warning "An entry of the list of upstreams names none that can be used.";
    3015 ModelChangeBegun Info "An engine begins to hold another base model.";
    3016 ModelChangeFailed Warning "An engine did not come to hold another base model.";
    3017 UpstreamEnded Warning "An upstream ended while requests began there that may have ended it.";
    3018 LimitNamed Warning "An upstream named another limit for the requests that it takes.";
    3019 LimitEnded Info "An upstream names no limit any more.";
    3020 LimitMalformed Warning "An upstream named a limit that cannot be read.";
    3021 OwnersUneven Warning "Engines have been owned otherwise than they should be for a while.";
    3022 OwnersEven Info "Engines are owned as they should be again.";
    3023 RestAsked Info "An upstream turned a request away and wants no others for a while.";
    3024 RestMalformed Warning "An upstream asked for rest in a way that cannot be read.";
    3025 UpstreamStaying Info "An upstream that restarted does not leave; the process before it did.";
    3026 ServiceUnreachable Warning "No upstream of a service can be reached from this node.";
    3027 ServiceReachable Info "An upstream of a service can be reached again.";
    3028 BrittleAnnounced Warning "An upstream announced that it falls over if it has to refuse many requests.";
    3029 BrittleEnded Info "The upstreams of a service no longer announce that they are brittle.";
    3030 SuspectStored Warning "A refused request or prompt part was written to the store, or removed from it.";
    3031 StreamOriginSought Debug "A caller resumes a stream, and the software version at which it began was sought.";
    3032 ServedVersionsWritten Info "The list of software versions at which a service's streams may have begun was written to the store.";
    3033 StreamOriginsStored Debug "Where streams began was written to the store.";
    3034 PacingBegun Info "Streams at an engine had too long pauses, so its prompts are paced.";
    3035 PacingEnded Info "The prompts of an engine are no longer paced.";
    3036 UpstreamEntryExpired Info "The entry of an upstream did not return after an outage of the store; the upstream gets no more requests.";
    4001 PeerJoined Info "Another node was heard for the first time.";
    4002 PeerUnreachable Warning "Another node has not been heard for a while.";
    4003 PeerReturned Info "An unreachable node was heard again.";
    4004 PeerRemoved Info "An unreachable node was given up.";
    4005 PeerRestarted Info "Another node runs as a new incarnation.";
    4006 PeerLeaving Info "Another node is shutting down.";
    4007 DomainUnreachable Warning "No node of a failure domain has been heard for a while.";
    4008 DomainReturned Info "A failure domain was heard again.";
    4009 RemovalHeld Warning "Most nodes vanished at once; they are kept as unreachable.";
    4010 LenderTaken Info "The node now lends its failure domain's part of the quotas.";
    4011 LenderReleased Info "The node no longer lends its failure domain's part of the quotas.";
    4012 NodeRecordRestored Warning "The store had lost this node's record; it was written again.";
    4013 ForwarderSilent Warning "A node that forwards requests here fell silent; those that may be repeated were ended.";
    5001 TextInForce Info "A generation of the operators' text is in force on the node.";
    5002 TextSeen Info "A newer generation of the operators' text was heard of.";
    5003 OlderTextIgnored Warning "The platform showed an older generation than the one in force.";
    5004 TextPutBack Warning "The generation in force was written back to the platform.";
    5005 TextFetchFailed Warning "Pieces of a generation could not be fetched.";
    5006 TextRejected Error "A published text has faults and is not put in force.";
    5007 TextHeldBack Warning "Other nodes go by newer text than the store shows; the node takes no callers yet.";
    6001 PlatformUnavailable Warning "The platform's key-value service cannot be reached.";
    6002 PlatformReturned Info "The platform's key-value service answers again.";
    6003 WriteAmbiguous Warning "No answer came after a write; it is read back.";
    6004 VmListUnavailable Warning "The platform's VM list cannot be read.";
    6005 VmListReturned Info "The platform's VM list can be read again.";
    6006 ReaderSilent Info "The node that reads the store for this one did not answer, or was behind.";
    6007 StoreEraRose Warning "The platform's store came back from an older copy of itself.";
    6008 StoreEraSettled Info "No claim from before the store came back holds, and the operators' text is there again.";
    6009 StoreCallFailed Warning "A call to the platform's key-value service failed.";
    7001 MessageUndecodable Warning "Bytes from another node could not be decoded.";
    7002 MessageDropped Debug "A message was dropped because a queue was full.";
    7003 LinkFailed Error "The link between nodes failed.";
    8001 ClaimRecorded Debug "A call that runs once was claimed.";
    8002 ClaimRefused Debug "A claim was refused; the call did not run.";
    8003 ClaimRepeated Debug "A call came again with the same key.";
    8004 OutcomeUnknown Warning "A call that runs once may have run and is never sent again.";
    8005 ShardTaken Info "The node now writes a shard of claims.";
    8006 ShardReleased Info "The node no longer writes a shard of claims.";
    8007 TicketIssued Debug "A ticket was issued while the platform could not be reached.";
}

impl Event {
    /// The severity as slog names it.
    pub const fn level(self) -> slog::Level {
        match self.severity() {
            Severity::Error => slog::Level::Error,
            Severity::Warning => slog::Level::Warning,
            Severity::Info => slog::Level::Info,
            Severity::Debug => slog::Level::Debug,
        }
    }
}

impl std::fmt::Display for Event {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "NE{}", self.number())
    }
}
