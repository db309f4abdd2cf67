//! The input file: its format, its values and their provenance.

use crate::repository_root;
use reelfall_capacity::budget::inputs::{Input, Inputs, SCHEMA};
use reelfall_capacity::budget::model::costs::Costs;
use reelfall_capacity::budget::provenance::Provenance;
use reelfall_capacity::budget::{Error, INPUTS};

/// A schema version that the input file never had.
const UNKNOWN_SCHEMA: u32 = 9;

/// An assumed input of 2 bytes.
fn assumed_input(name: &str) -> Input {
    Input {
        name: name.to_owned(),
        value: 2.0,
        unit: "B".to_owned(),
        provenance: Provenance::Assumed,
        description: "an input".to_owned(),
        command: None,
        commit: None,
    }
}

#[test]
fn missing_input_is_named() {
    let inputs = Inputs {
        schema: SCHEMA,
        inputs: vec![assumed_input("settings_bytes")],
    };
    assert_eq!(inputs.value("settings_bytes").unwrap(), 2.0);
    assert!(matches!(
        Costs::from_inputs(&inputs),
        Err(Error::MissingInput("read_seconds"))
    ));
}

#[test]
fn unreadable_input_files_are_rejected() {
    let folder = reelfall_testbed::node::Folder::new().unwrap();
    let file = folder.path().join("inputs.json");
    std::fs::write(
        &file,
        format!(r#"{{"schema":{UNKNOWN_SCHEMA},"inputs":[]}}"#),
    )
    .unwrap();
    assert!(matches!(
        Inputs::read(&file),
        Err(Error::Schema {
            found: UNKNOWN_SCHEMA,
            ..
        })
    ));
    std::fs::write(&file, "{").unwrap();
    assert!(matches!(Inputs::read(&file), Err(Error::Json { .. })));
    assert!(matches!(
        Inputs::read(&folder.path().join("none")),
        Err(Error::File { .. })
    ));
}

#[test]
fn inputs_are_unique_and_described_and_measured_ones_name_their_commit() {
    let inputs = Inputs::read(&repository_root().join(INPUTS)).unwrap();
    for input in &inputs.inputs {
        assert!(!input.description.is_empty(), "{}", input.name);
        assert!(
            input.provenance != Provenance::Measured || input.commit.is_some(),
            "{}",
            input.name
        );
        assert!(
            inputs
                .inputs
                .iter()
                .filter(|other| other.name == input.name)
                .count()
                == 1,
            "input {} is not unique",
            input.name
        );
    }
}
