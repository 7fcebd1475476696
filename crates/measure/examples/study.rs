//! Runs the studies that are named, over seeds 1 to 5 or as many as `--seeds` says:
//! `cargo run --release -p nutmegsail-measure --example study -- --seeds 20 steady`.

/// How many seeds a study runs over unless it is told.
const SEEDS: u64 = 5;

fn main() -> eyre::Result<()> {
    let mut names: Vec<String> = std::env::args().skip(1).collect();
    let mut seeds = SEEDS;
    if names.first().is_some_and(|name| name == "--seeds") {
        let count = names
            .get(1)
            .ok_or_else(|| eyre::eyre!("`--seeds` needs a number"))?;
        seeds = count.parse()?;
        names.drain(..2);
    }
    let seeds: Vec<u64> = (1..=seeds).collect();
    if names.is_empty() {
        for study in nutmegsail_measure::studies() {
            println!("{:<20} {}", study.name, study.about);
        }
    }
    for name in &names {
        println!("{}", nutmegsail_measure::run(name, &seeds)?);
    }
    Ok(())
}
