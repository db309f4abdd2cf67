//! The verdict on a requirement, which depends on its amount at the target, its budget and its improvement.

use reelfall_capacity::budget::provenance::Provenance;
use reelfall_capacity::budget::requirement::{Improvement, Requirement, Verdict};
use reelfall_capacity::budget::units::Unit;

/// Creates a requirement with these amounts, and an improvement that leads to `improved_amount`.
fn requirement(
    target: Option<f64>,
    budget: Option<f64>,
    improved_amount: Option<f64>,
) -> Requirement {
    Requirement {
        name: "a requirement",
        derivation: "counted",
        provenance: Provenance::Measured,
        amounts: [Some(1.0), None, target],
        budget,
        unit: Unit::Count,
        mechanism: "none",
        improvement: improved_amount.map(improvement),
    }
}

fn improvement(amount: f64) -> Improvement {
    Improvement { name: "x", amount }
}

#[test]
fn verdict_compares_amount_and_improvement_with_the_budget() {
    assert_eq!(
        requirement(Some(10.0), Some(10.0), None).verdict(),
        Verdict::Fits
    );
    assert_eq!(
        requirement(Some(15.0), Some(10.0), None).verdict(),
        Verdict::DoesNotFit(1.5)
    );
    assert_eq!(
        requirement(Some(15.0), Some(10.0), Some(9.0)).verdict(),
        Verdict::FitsWith(improvement(9.0))
    );
    assert_eq!(
        requirement(Some(15.0), Some(10.0), Some(11.0)).verdict(),
        Verdict::DoesNotFit(1.5)
    );
    assert_eq!(
        requirement(Some(15.0), None, None).verdict(),
        Verdict::NoBudget
    );
    assert_eq!(
        requirement(None, Some(10.0), None).verdict(),
        Verdict::NotKnown
    );
}
