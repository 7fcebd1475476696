//! The platform as nutmegsail sees it: the key-value service and the VM list.
//!
//! [`KeyValue`] and [`VmList`] are the traits that everything else uses.
//! This crate translates and decides nothing.

mod key_value;
mod vm_list;

pub use key_value::{
    Change, Changes, Expect, Item, KeyValue, KeyValueError, LeaseGrant, LeaseId, Page, Put,
    Revision, Txn,
};
pub use vm_list::{Vm, VmDuty, VmList, VmListError, VmState};
