//! What it is worth that each model's groups cover so much of what it needs: the one figure by which plans are compared.
//!
//! Three terms, each for a load pattern. Requests count, so that a fleet that lacks servers serves as many as it can. A model
//! with few requests counts for more than its part of them, so that a large group, which takes the servers of several
//! small ones, is formed again when it is lost. And the worst-served model counts once more, so that none is left
//! behind while another one gains its last few in a hundred.

/// How sharply the part of a model's requests that is served in time bends where it holds just what it needs. On days
/// without faults, 8 comes near what is measured: 92 in 100 in time at just what is needed, 98 with a quarter more. Need
/// and groups change within the time that a group takes to form, though: requests come at up to 1.7 times their usual
/// rate, and groups are lost. With 4, a model that holds half more than it needs goes on gaining by what it holds more.
const BEND: f64 = 4.0;
/// A model's weight grows with this power of its part of the requests: by the third root, a model with a thousandth of the
/// requests weighs a tenth of one with all of them.
const WEIGHT_POWER: f64 = 1.0 / 3.0;
/// Least part of the requests that a model weighs by: what nobody asks for now may be asked for again.
const LEAST_PART: f64 = 0.000_1;
/// What the worst-served model counts for beside its weight, where all weights together are 1.
const WORST_WEIGHT: f64 = 0.75;

/// What each model of a service counts for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ModelWeights {
    /// By model, in the order of the profile; together 1.
    weights: Vec<f64>,
    /// Whether requests ask for the model.
    is_asked_for: Vec<bool>,
}

impl ModelWeights {
    /// The weights of models that are asked for so often, in any unit.
    pub fn new(asked: &[f64]) -> ModelWeights {
        let all = asked.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let raw: Vec<f64> =
            asked.iter().map(|asked| (asked / all).max(LEAST_PART).powf(WEIGHT_POWER)).collect();
        let sum: f64 = raw.iter().sum();
        ModelWeights {
            weights: raw.iter().map(|weight| weight / sum).collect(),
            is_asked_for: asked.iter().map(|asked| asked / all >= LEAST_PART).collect(),
        }
    }

    /// What it is worth that the models hold so many times what they need: 0 if nothing is served, 1 + [`WORST_WEIGHT`]
    /// if everything is.
    pub fn worth(&self, coverages: impl Iterator<Item = f64>) -> f64 {
        let mut sum = 0.0;
        let mut worst: f64 = 1.0;
        for (model, coverage) in coverages.enumerate() {
            let served = served_part(coverage);
            sum += self.weights[model] * served;
            if self.is_asked_for[model] {
                worst = worst.min(served);
            }
        }
        sum + WORST_WEIGHT * worst
    }
}

/// Part of a model's requests that is served in time, if it holds `coverage` times what it needs.
fn served_part(coverage: f64) -> f64 {
    if coverage <= 0.0 {
        return 0.0;
    }
    (1.0 + coverage.powf(-BEND)).powf(-1.0 / BEND)
}
