//! Golden test of the protocol: `golden/input.txt` has an event of each kind and field, `golden/output.txt` is the output of
//! commit c58caac. Neither file may change.

use reelfall_simulator_adapter::serve;

#[test]
fn output_matches_the_golden_file() {
    let mut output = Vec::new();
    let end = serve(include_str!("golden/input.txt").as_bytes(), &mut output);
    let end = end.map_err(|error| error.to_string());
    assert_eq!(end, Ok(()));
    assert_eq!(
        String::from_utf8(output).unwrap(),
        include_str!("golden/output.txt")
    );
}
