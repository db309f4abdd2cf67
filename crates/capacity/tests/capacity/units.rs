//! The formatting of numbers and amounts on the pages.

use reelfall_capacity::budget::units::{amount, plain, Unit};

#[test]
fn amounts_are_rounded_to_three_digits() {
    let plain_numbers = [
        (0.0, "0"),
        (1234.6, "1,235"),
        (1_300_000.0, "1,300,000"),
        (0.012, "0.012"),
        (39.04, "39"),
        (0.5, "0.5"),
    ];
    for (value, text) in plain_numbers {
        assert_eq!(plain(value), text);
    }
    let amounts = [
        (39e6, Unit::Bytes, "39 MB"),
        (8000.0, Unit::BytesPerSecond, "8 KB/s"),
        (999.9, Unit::Bytes, "1 KB"),
        (0.0017, Unit::Seconds, "1.7 ms"),
        (37e-6, Unit::Seconds, "37 us"),
        (8532.0, Unit::Seconds, "8,532 s"),
        (0.012, Unit::Cores, "1.2 % of a core"),
        (2600.0, Unit::Count, "2,600"),
        (0.0, Unit::Bytes, "0 B"),
    ];
    for (value, unit, text) in amounts {
        assert_eq!(amount(value, unit), text);
    }
}
