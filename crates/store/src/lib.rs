//! Clients of the platform: its key-value service and its VM list.
//!
//! Other crates use the traits [`KeyValue`] and [`VmList`]; [`HttpKeyValue`] and [`HttpVmList`]
//! implement them over HTTP. This crate only translates calls: in particular it never retries a
//! write. Start at [`KeyValue`].

mod encoding;
mod http_call;
mod http_key_value;
mod http_vm_list;
mod key_value;
mod key_value_json;
mod own_encoding;
mod platform_settings;
mod vm_list;

pub use encoding::{EncodingError, StoreEncoding, StoreRequest};
pub use http_key_value::HttpKeyValue;
pub use http_vm_list::HttpVmList;

pub use key_value::{
    Change, Changes, Condition, Item, KeyValue, KeyValueError, LeaseGrant, LeaseId, Page, Put,
    Revision, Txn,
};
pub use own_encoding::OwnEncoding;
pub use platform_settings::PlatformSettings;
pub use vm_list::{Vm, VmList, VmListError, VmRole, VmState};
