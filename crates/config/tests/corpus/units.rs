//! Quantities with units.

use reelfall_config::units;

#[test]
fn quantities_need_a_number_and_a_known_unit() {
    assert_eq!(units::parse_time("250ms"), Ok(0.25));
    assert_eq!(units::parse_time("1.5 s"), Ok(1.5));
    assert_eq!(units::parse_time("2m"), Ok(120.0));
    assert_eq!(units::parse_rate("90/m"), Ok(1.5));
    assert_eq!(units::parse_size("64KiB"), Ok(65536));
    for invalid in [
        "",
        "ms",
        "-5ms",
        "5",
        "5 ",
        "5MS",
        "5sec",
        "1e3s",
        "5..5s",
        "99999999999999999999999999B",
    ] {
        assert!(
            units::parse_time(invalid).is_err()
                && units::parse_size(invalid).is_err()
                && units::parse_rate(invalid).is_err(),
            "{invalid}"
        );
    }
    assert!(units::parse_size("99999999999GiB").is_err());
}
