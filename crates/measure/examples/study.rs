//! Runs the studies that are named: `cargo run --release -p nutmegsail-measure --example study -- steady`.

fn main() -> eyre::Result<()> {
    let names: Vec<String> = std::env::args().skip(1).collect();
    if names.is_empty() {
        for study in nutmegsail_measure::studies() {
            println!("{:<20} {}", study.name, study.about);
        }
    }
    for name in &names {
        println!("{}", nutmegsail_measure::run(name, &[1, 2, 3, 4, 5])?);
    }
    Ok(())
}
