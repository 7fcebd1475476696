//! Prints the table of `docs/CAPACITY.md` that stands between the markers of the study `capacity`.

use nutmegsail_measure::{capacity_table, run};

fn main() {
    match run("capacity", &[1, 2, 3, 4, 5]) {
        Ok(report) => print!("{}", capacity_table(&report)),
        Err(error) => eprintln!("{error}"),
    }
}
