//! Coverage against a set of versions, and fractions of nodes.

use crate::changes::{span, version};
use proptest::prelude::*;
use reelfall_distribution::coverage::{Coverage, Span, MAX_SPANS};
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::resource::{NodeFraction, Version};
use std::collections::BTreeSet;

proptest! {
    #[test]
    fn coverage_equals_a_set_of_versions(spans in prop::collection::vec((0..60u64, 1..20u64), 0..30)) {
        let mut coverage = Coverage::default();
        let mut model = BTreeSet::new();
        for (after, length) in spans {
            coverage.add(span(after, after + length));
            model.extend(after + 1..=after + length);
            prop_assert!(coverage.is_valid());
            for sequence in 1..90 {
                prop_assert_eq!(coverage.contains(version(sequence)), model.contains(&sequence), "{}", sequence);
            }
            let contiguous_end = (1..90).take_while(|sequence| model.contains(sequence)).last();
            prop_assert_eq!(coverage.contiguous_end(), contiguous_end.map_or(Version::ZERO, version));
        }
    }

    #[test]
    fn coverage_difference_equals_a_set_difference(
        spans in prop::collection::vec((0..60u64, 1..20u64), 0..10),
        others in prop::collection::vec((0..60u64, 1..20u64), 0..10),
    ) {
        let coverage = |spans: Vec<(u64, u64)>| {
            let mut coverage = Coverage::default();
            spans.into_iter().for_each(|(after, length)| coverage.add(span(after, after + length)));
            coverage
        };
        let minuend = coverage(spans);
        let subtrahend = coverage(others);
        let difference = minuend.difference(&subtrahend);
        prop_assert!(difference.is_valid());
        for sequence in 1..90 {
            let version = version(sequence);
            let expected = minuend.contains(version) && !subtrahend.contains(version);
            prop_assert_eq!(difference.contains(version), expected, "{}", sequence);
        }
    }

    #[test]
    fn coverage_is_bounded_and_contains_only_added_versions(points in prop::collection::vec(1..10_000u64, 0..200)) {
        let mut coverage = Coverage::default();
        for point in &points {
            coverage.add(span(point - 1, *point));
            prop_assert!(coverage.is_valid() && coverage.spans().len() <= MAX_SPANS);
            prop_assert!(coverage.truncated(8).is_valid() && coverage.truncated(8).spans().len() <= 8);
        }
        for sequence in 1..10_000 {
            prop_assert!(!coverage.contains(version(sequence)) || points.contains(&sequence));
        }
    }

    /// The first span is the narrowest one: each of the others extends over several tokens.
    #[test]
    fn coverage_retains_its_first_span(tokens in prop::collection::vec(1..1_000u64, 65..200)) {
        let mut coverage = Coverage::default();
        coverage.add(span(0, 1));
        for token in tokens {
            let after = Version { token: 4 * token, sequence: 1 };
            let through = Version { token: 4 * token + 3, sequence: 1 };
            coverage.add(Span { after, through });
            prop_assert_eq!(coverage.contiguous_end(), version(1));
        }
    }
}

#[test]
fn larger_fractions_contain_smaller_ones() {
    let fraction = |thousandths| NodeFraction {
        thousandths,
        seed: 11,
    };
    let mut counts = [0; 3];
    for node in (0..6000).map(PeerId) {
        let contained =
            [fraction(10), fraction(100), fraction(500)].map(|fraction| fraction.contains(node));
        assert!(contained.windows(2).all(|pair| !pair[0] || pair[1]));
        assert!(fraction(1000).contains(node) && !fraction(0).contains(node));
        for (count, is_contained) in counts.iter_mut().zip(contained) {
            *count += usize::from(is_contained);
        }
    }
    assert!(
        (30..100).contains(&counts[0]) && (500..700).contains(&counts[1]),
        "{counts:?}"
    );
    assert!((2800..3200).contains(&counts[2]), "{counts:?}");
}
