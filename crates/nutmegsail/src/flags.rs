//! The command line's grammar. The code below `generated start` is made by
//! `UPDATE_XFLAGS=1 cargo build -p nutmegsail` and committed.

use std::path::PathBuf;

xflags::xflags! {
    src "./src/flags.rs"

    /// Drives a nutmegsail deployment by its operators' text.
    ///
    /// Exit codes: 0 done; 1 the text has faults; 2 the command line is wrong, or a file cannot be
    /// read; 3 another operator changed the text first; 4 accepted, but not in force everywhere in
    /// time; 5 the platform is not available; 6 the outcome is unknown; 7 a node cannot be reached;
    /// 8 the demonstration saw a promise broken.
    cmd nutmegsail {
        /// Print one JSON document, for scripts.
        optional --json

        /// Check a text and print every fault with its file, line and fix.
        cmd check {
            /// The text to check.
            required text: PathBuf
        }

        /// Compare a text with an older one, or with the one in force.
        cmd diff {
            /// The older text, then the newer one; with `--platform` only the newer one.
            repeated texts: PathBuf
            /// Compare with the text that the platform's key-value service holds.
            optional --platform address: String
        }

        /// Put a text in force and wait until every node runs it.
        cmd apply {
            /// The text to put in force.
            required text: PathBuf
            /// The platform's key-value service, as HOST:PORT.
            required --platform address: String
            /// The generation that the change was made from, 0 for none; the newest one if left out.
            optional --base generation: u64
            /// A node's operators' listener to ask whether the text is in force, as HOST:PORT.
            repeated --node address: String
            /// How long to wait until the text is in force, in milliseconds (10000).
            optional --wait-ms ms: u64
            /// Find out what became of an earlier try; it printed this writer id.
            optional --resume writer: String
        }

        /// Show what nodes know: generations by failure domain, and who cannot be reached.
        cmd status {
            /// A node's operators' listener, as HOST:PORT.
            repeated --node address: String
        }

        /// Show why a call has its class and deadline, or why a request would go where it goes.
        cmd explain {
            /// TEXT SERVICE [CALL] from a file; SERVICE or ADAPTER@VERSION with `--node`.
            repeated subject: String
            /// Ask this node's operators' listener, as HOST:PORT.
            optional --node address: String
            /// The kind of call.
            optional --call call: String
            /// The class, `urgent` or `routine`, in place of the one that the text gives.
            optional --class class: String
        }

        /// Tell one request's story from nodes' logs.
        cmd trace {
            /// The request's id.
            required request: String
            /// Logs of any number of nodes; standard input if none is named.
            repeated logs: PathBuf
        }

        /// Show which requests and prompt parts the nodes that pass requests on refuse, as upstreams
        /// ended under them.
        cmd refused {
            /// The platform's key-value service, as HOST:PORT.
            required --platform address: String
            /// Let nodes send what is listed under this name again.
            optional --lift name: String
        }

        /// Let a node finish what is in progress and leave.
        cmd drain {
            /// The node's operators' listener, as HOST:PORT.
            required --node address: String
        }

        /// Show the product at work against nodes that `scripts/demo` starts.
        cmd demo {
            /// The text to begin with.
            required text: PathBuf
            /// The text that replaces it under load.
            required changed_text: PathBuf
            /// The platform's key-value service, as HOST:PORT.
            required --platform address: String
            /// The stand-ins' control address, as HOST:PORT.
            required --stand-ins address: String
            /// A node's callers' listener, as HOST:PORT.
            repeated --callers address: String
            /// A node's operators' listener, as HOST:PORT.
            repeated --node address: String
            /// How long callers begin requests, in milliseconds (16000).
            optional --duration-ms ms: u64
            /// When the text is changed, in milliseconds after the first request (4500).
            optional --change-after-ms ms: u64
        }

        /// Measure the policy against baselines.
        cmd measure {
            /// The study to run.
            optional study: String
            /// List the studies.
            optional --list
            /// Run this seed alone.
            optional --seed seed: u64
            /// Write a page of results to this file.
            optional --report file: PathBuf
        }
    }
}

// generated start
// The following code is generated by `xflags` macro.
// Run `env UPDATE_XFLAGS=1 cargo build` to regenerate.
#[derive(Debug)]
pub struct Nutmegsail {
    pub json: bool,
    pub subcommand: NutmegsailCmd,
}

#[derive(Debug)]
pub enum NutmegsailCmd {
    Check(Check),
    Diff(Diff),
    Apply(Apply),
    Status(Status),
    Explain(Explain),
    Trace(Trace),
    Refused(Refused),
    Drain(Drain),
    Demo(Demo),
    Measure(Measure),
}

#[derive(Debug)]
pub struct Check {
    pub text: PathBuf,
}

#[derive(Debug)]
pub struct Diff {
    pub texts: Vec<PathBuf>,

    pub platform: Option<String>,
}

#[derive(Debug)]
pub struct Apply {
    pub text: PathBuf,

    pub platform: String,
    pub base: Option<u64>,
    pub node: Vec<String>,
    pub wait_ms: Option<u64>,
    pub resume: Option<String>,
}

#[derive(Debug)]
pub struct Status {
    pub node: Vec<String>,
}

#[derive(Debug)]
pub struct Explain {
    pub subject: Vec<String>,

    pub node: Option<String>,
    pub call: Option<String>,
    pub class: Option<String>,
}

#[derive(Debug)]
pub struct Trace {
    pub request: String,
    pub logs: Vec<PathBuf>,
}

#[derive(Debug)]
pub struct Refused {
    pub platform: String,
    pub lift: Option<String>,
}

#[derive(Debug)]
pub struct Drain {
    pub node: String,
}

#[derive(Debug)]
pub struct Demo {
    pub text: PathBuf,
    pub changed_text: PathBuf,

    pub platform: String,
    pub stand_ins: String,
    pub callers: Vec<String>,
    pub node: Vec<String>,
    pub duration_ms: Option<u64>,
    pub change_after_ms: Option<u64>,
}

#[derive(Debug)]
pub struct Measure {
    pub study: Option<String>,

    pub list: bool,
    pub seed: Option<u64>,
    pub report: Option<PathBuf>,
}

impl Nutmegsail {
    #[allow(dead_code)]
    pub fn from_env_or_exit() -> Self {
        Self::from_env_or_exit_()
    }

    #[allow(dead_code)]
    pub fn from_env() -> xflags::Result<Self> {
        Self::from_env_()
    }

    #[allow(dead_code)]
    pub fn from_vec(args: Vec<std::ffi::OsString>) -> xflags::Result<Self> {
        Self::from_vec_(args)
    }
}
// generated end
