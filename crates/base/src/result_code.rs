//! The numbered result codes that callers and operators see.

use serde::Serialize;

macro_rules! result_codes {
    ($($number:literal $variant:ident $status:literal $retry:literal $text:literal;)*) => {
        /// A numbered result code. `docs/CODES.md` lists them all; a test compares it with this table.
        ///
        /// 1xxx: invalid requests. 2xxx: limits and load. 3xxx: upstreams. 4xxx: calls that run at
        /// most once. 5xxx: the operators' configuration text. 6xxx: the platform. 7xxx: the node.
        ///
        /// ```
        /// use nutmegsail_base::ResultCode;
        /// assert_eq!(ResultCode::UnknownAdapter.number(), 1005);
        /// assert_eq!(ResultCode::UnknownAdapter.to_string(), "NS1005");
        /// ```
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum ResultCode {
            $(#[doc = $text] $variant,)*
        }

        impl ResultCode {
            /// All codes, ordered by number.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The number of the code. It never changes between releases.
            pub fn number(self) -> u16 {
                match self { $(Self::$variant => $number,)* }
            }

            /// The HTTP status of answers with this code.
            pub fn http_status(self) -> u16 {
                match self { $(Self::$variant => $status,)* }
            }

            /// Whether the same request can succeed if it is sent again later.
            pub fn retry_helps(self) -> bool {
                match self { $(Self::$variant => $retry,)* }
            }

            /// A sentence that describes the result.
            pub fn text(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }
    };
}

result_codes! {
    1001 MalformedBody 400 false "The body is not valid JSON of the expected shape.";
    1002 BodyTooLarge 413 false "The body is larger than the node accepts.";
    1003 HeadersTooLarge 431 false "The headers are larger than the node accepts.";
    1004 UnknownService 404 false "No service of the text in force has this name.";
    1005 UnknownAdapter 404 false "No service of the text in force has this adapter.";
    1006 UnknownVersion 404 false "The text in force does not list this version of the adapter.";
    1007 BadModelName 400 false "The model is not named as `adapter@version`.";
    1008 BadHeader 400 false "A header has a value that cannot be read.";
    1009 SenderStalled 408 true "The caller stopped sending before the request was complete.";
    1010 UnknownCall 404 false "The service has no such call.";
    1011 UnknownPath 404 false "The node has nothing at this path.";
    1012 MethodNotAllowed 405 false "The path does not take this method.";
    1013 UnknownAnswer 404 false "No answer with this handle can be resumed.";
    1014 KeyRejected 401 false "The request bears no key of a team that is in force.";
    2001 QueueFull 429 true "Too many requests of this class wait; the request did not run.";
    2002 DeadlineUnreachable 503 true "The request could not be answered before its deadline.";
    2003 CallerLimit 429 true "The caller has too many requests in flight.";
    2004 NodeLeaving 503 true "The node is shutting down; another one will take the request.";
    2005 RetryBudgetSpent 503 true "The service's retry budget is spent.";
    2006 QuotaSpent 429 true "The team has asked for more than its quota; the request did not run.";
    2007 QuotaUnknown 503 true "No node that lends the team's quota could be asked; the request did not run.";
    2008 ForwardLimit 503 true "The node handles as many requests of other nodes as it can; the request did not run.";
    2009 NoRoom 503 true "The node has no room for the request's body; the request did not run.";
    3001 NoUpstream 503 true "No upstream of the service can be reached.";
    3002 UpstreamFailed 502 false "The upstream failed after the request had been sent.";
    3003 UpstreamRefused 503 true "Every upstream that was asked refused the request.";
    3004 WrongAdapter 503 true "The engine answered with another adapter; its answer was discarded.";
    3005 AnswerCut 502 true "The answer broke off; the events received so far are valid.";
    3006 AdapterNotReady 503 true "No engine could make the adapter ready in time.";
    3007 DeadlinePassed 504 false "The deadline passed while the upstream was working.";
    3008 CrashesUpstreams 502 false "Upstreams ended under this request one after the other; it is sent to no other one.";
    3009 OnTrial 503 true "Upstreams ended under this request, and it runs elsewhere now; it did not run here.";
    3010 UpstreamsUnreachable 503 true "No upstream of the service can be reached from the node, and no other node takes the request.";
    3011 PromptPartCrashesUpstreams 502 false "Upstreams ended under requests with a part of this prompt; requests with it are sent to no other one.";
    3012 StreamOriginUnknown 503 true "It is not known at which software version the stream began; the request did not run.";
    3013 SoftwareVersionGone 503 false "No upstream of the software version that began the stream is left; the request did not run.";
    4001 KeyMissing 400 false "This call runs once and needs an Idempotency-Key.";
    4002 KeyMalformed 400 false "The Idempotency-Key is not a UUID version 7.";
    4003 KeyTooOld 400 false "The Idempotency-Key is older than its claim is kept.";
    4004 KeyFromFuture 400 false "The Idempotency-Key is further ahead than clocks may differ.";
    4005 KeyReused 422 false "The Idempotency-Key was used with another request.";
    4006 InProgress 409 true "The call with this key is still running.";
    4007 OutcomeUnknown 409 false "The call with this key may have run; it is never sent again.";
    4008 ClaimUnavailable 503 true "The claim could not be recorded; the call did not run.";
    4009 AnswerNotKept 409 false "The call with this key ran; its answer was too large to be kept.";
    5001 TextInvalid 400 false "The operators' text has faults.";
    5002 TextConflict 409 true "Another operator changed the text first.";
    5003 TextTooLarge 413 false "The operators' text does not fit the platform's limits.";
    5004 NoTextInForce 503 true "The node knows no operators' text yet.";
    5005 NotInForce 504 true "The change was accepted, but not every node confirmed it in time.";
    6001 PlatformUnavailable 503 true "The platform's key-value service cannot be reached.";
    6002 PlatformRefused 503 true "The platform's key-value service refused the call.";
    6003 PlatformAmbiguous 503 true "No answer came after a write; it may have taken effect.";
    6004 KeysStale 503 true "What the node knows of keys is too old to accept one; the request did not run.";
    7001 SettingsInvalid 500 false "The node's settings have faults.";
    7002 Internal 500 false "The node broke one of its own assertions.";
    7003 NodeUnreachable 503 true "The node's operators' listener cannot be reached.";
}

impl std::fmt::Display for ResultCode {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "NS{}", self.number())
    }
}

impl Serialize for ResultCode {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
