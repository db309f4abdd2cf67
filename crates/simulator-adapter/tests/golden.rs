//! The simulator's lines, as at commit c58caac: `golden/input.txt` has an event of each kind and field, `golden/output.txt`
//! what was answered. Neither changes.

use reelfall_simulator_adapter::serve;

#[test]
fn lines_are_answered_as_they_were() {
    let mut output = Vec::new();
    let end = serve(include_str!("golden/input.txt").as_bytes(), &mut output);
    let end = end.map_err(|error| error.to_string());
    assert_eq!(end, Ok(()));
    assert_eq!(
        String::from_utf8(output).unwrap(),
        include_str!("golden/output.txt")
    );
}
