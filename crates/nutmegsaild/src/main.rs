//! The node: one process an entry VM. See the README of this crate.

mod relay;
mod serve;

use std::path::Path;

use eyre::WrapErr;

mod flags {
    #![allow(
        missing_docs,
        reason = "the macro generates items without documentation"
    )]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs one node of nutmegsail until SIGTERM or SIGINT.
        cmd nutmegsaild {
            /// The node's settings, in TOML.
            required settings: PathBuf
            /// Pass requests on unchanged, by host and path, on the users' platform.
            optional --relay
        }
    }
}

fn main() -> eyre::Result<()> {
    let flags = flags::Nutmegsaild::from_env_or_exit();
    let settings = read(&flags.settings)?;
    match flags.relay {
        true => relay::run(&flags.settings, &settings),
        false => serve::run(&flags.settings, &settings),
    }
}

fn read(path: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(path)
        .wrap_err_with(|| format!("the settings {} cannot be read", path.display()))
}
