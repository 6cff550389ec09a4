//! The utility function by which plans are compared: how well each model's groups cover what the model needs.
//!
//! It has three terms, each motivated by a load pattern. Requests count, so that a fleet with too few servers
//! serves as many requests as it can. A model with few requests counts for more than its share of them, so
//! that a large group, which takes the servers of several small ones, is formed again after it is lost. The
//! worst-served model counts once more, so that no model is neglected while another gains its last few
//! percent.

/// Sharpness with which the fraction of requests served in time saturates where a model holds just what it
/// needs. On days without faults, 8 is close to the measurements: 92% in time at exactly the need, 98% with a
/// quarter more. Need and groups change within the time that a group takes to form, though: requests arrive
/// at up to 1.7 times their usual rate, and groups are lost. With 4, a model that holds half more than it
/// needs still gains from additional groups.
const SATURATION_SHARPNESS: f64 = 4.0;
/// A model's weight grows with this power of its share of the requests. With the cube root, a model with a
/// thousandth of the requests weighs a tenth of one with all of them.
const WEIGHT_EXPONENT: f64 = 1.0 / 3.0;
/// Minimum share of the requests that a model is weighted by: a model without requests now may be requested
/// again.
const MIN_REQUEST_SHARE: f64 = 0.000_1;
/// Additional weight of the worst-served model; the weights of all models sum to 1.
const WORST_MODEL_WEIGHT: f64 = 0.75;

/// The weight of each model of a service.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ModelWeights {
    /// By model, in the order of the profile; they sum to 1.
    weights: Vec<f64>,
    /// Whether the model receives requests.
    has_requests: Vec<bool>,
}

impl ModelWeights {
    /// The weights of models with these request rates, in any unit.
    pub fn new(request_rates: &[f64]) -> ModelWeights {
        let total = request_rates.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let raw: Vec<f64> = request_rates
            .iter()
            .map(|rate| (rate / total).max(MIN_REQUEST_SHARE).powf(WEIGHT_EXPONENT))
            .collect();
        let sum: f64 = raw.iter().sum();
        ModelWeights {
            weights: raw.iter().map(|weight| weight / sum).collect(),
            has_requests: request_rates.iter().map(|rate| rate / total >= MIN_REQUEST_SHARE).collect(),
        }
    }

    /// The utility of the models holding these multiples of what they need: 0 if nothing is served, 1 +
    /// [`WORST_MODEL_WEIGHT`] if everything is.
    pub fn utility(&self, coverages: impl Iterator<Item = f64>) -> f64 {
        let mut sum = 0.0;
        let mut worst: f64 = 1.0;
        for (model, coverage) in coverages.enumerate() {
            let served = served_fraction(coverage);
            sum += self.weights[model] * served;
            if self.has_requests[model] {
                worst = worst.min(served);
            }
        }
        sum + WORST_MODEL_WEIGHT * worst
    }
}

/// Fraction of a model's requests that is served in time if the model holds `coverage` times what it needs.
fn served_fraction(coverage: f64) -> f64 {
    if coverage <= 0.0 {
        return 0.0;
    }
    (1.0 + coverage.powf(-SATURATION_SHARPNESS)).powf(-1.0 / SATURATION_SHARPNESS)
}
