//! What a study found.

use std::fmt;

use serde::Serialize;

/// One measure over all seeds. Its name ends in its unit where it has one.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measure {
    /// Such as `load_stall_s_per_request`.
    pub name: &'static str,
    /// The median over the seeds.
    pub median: f64,
    /// The lowest over the seeds.
    pub min: f64,
    /// The highest over the seeds.
    pub max: f64,
}

impl Measure {
    /// The median and the spread of one value for each seed.
    ///
    /// ```
    /// let measure = nutmegsail_measure::Measure::over_seeds("shed_share", vec![0.3, 0.1, 0.2]);
    /// assert_eq!((measure.min, measure.median, measure.max), (0.1, 0.2, 0.3));
    /// ```
    pub fn over_seeds(name: &'static str, mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let at = |index: usize| values.get(index).copied().unwrap_or(f64::NAN);
        Self {
            name,
            median: at(values.len() / 2),
            min: at(0),
            max: at(values.len().saturating_sub(1)),
        }
    }
}

/// A measure's name, and how it is read from a run.
pub(crate) type Read<R> = (&'static str, fn(&R) -> f64);

/// What one policy came to on one deployment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The deployment, such as `jm-west`.
    pub deployment: String,
    /// The policy; `nutmegsail` is ours.
    pub policy: String,
    /// What was measured.
    pub measures: Vec<Measure>,
}

impl Row {
    /// A row of a policy's runs, one for each seed, with what is read from each.
    pub(crate) fn over_runs<R>(
        deployment: String,
        policy: &str,
        runs: &[R],
        reads: &[Read<R>],
    ) -> Self {
        let measures = reads
            .iter()
            .map(|(name, read)| Measure::over_seeds(name, runs.iter().map(read).collect()));
        Self {
            deployment,
            policy: policy.to_owned(),
            measures: measures.collect(),
        }
    }

    /// The median of a measure, if the row has it.
    pub fn median(&self, name: &str) -> Option<f64> {
        let measure = self.measures.iter().find(|measure| measure.name == name);
        measure.map(|measure| measure.median)
    }
}

/// What a study found.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The study.
    pub study: &'static str,
    /// The seeds, one run each.
    pub seeds: Vec<u64>,
    /// A row for each deployment and policy.
    pub rows: Vec<Row>,
    /// What the figures were compared with, and what came of it.
    pub notes: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}: median [lowest..highest] over seeds {:?}",
            self.study, self.seeds
        )?;
        for row in &self.rows {
            writeln!(f, "{} / {}", row.deployment, row.policy)?;
            for measure in &row.measures {
                let Measure {
                    name,
                    median,
                    min,
                    max,
                } = measure;
                writeln!(f, "  {name:<36} {median:>10.4} [{min:.4}..{max:.4}]")?;
            }
        }
        for note in &self.notes {
            writeln!(f, "{note}")?;
        }
        Ok(())
    }
}
