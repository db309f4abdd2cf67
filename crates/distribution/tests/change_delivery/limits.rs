//! Changes that a publisher rejects.

use crate::fixture::{publish, small_world, Writer, FIRST_WRITER, SECOND_WRITER};
use crate::world::put;
use reelfall_distribution::publish::PublishError;

#[test]
fn invalid_changes_are_rejected() {
    let mut world = small_world(13);
    let long_name = "n".repeat(65);
    let publish_alone = |drafts| publish(&mut small_world(13), FIRST_WRITER, drafts);
    assert!(matches!(
        publish_alone(vec![put(&long_name, b"")]),
        Err(PublishError::OutOfBounds(_))
    ));
    assert!(matches!(
        publish_alone(vec![put("", b"")]),
        Err(PublishError::OutOfBounds(_))
    ));
    assert!(matches!(
        publish_alone(vec![put("x", &vec![0; 256 * 1024 + 1])]),
        Err(PublishError::OutOfBounds(_))
    ));
    assert_eq!(publish_alone(Vec::new()), Err(PublishError::ChangeCount));
    let max_keys = (0..10_000)
        .map(|index| put(&format!("r{index}"), b""))
        .collect();
    assert!(publish(&mut world, FIRST_WRITER, max_keys).is_ok());
    assert!(matches!(
        publish(&mut world, FIRST_WRITER, vec![put("one more", b"")]),
        Err(PublishError::CapacityExceeded(_))
    ));
    assert!(publish(&mut world, FIRST_WRITER, vec![put("r1", b"again")]).is_ok());
    assert_eq!(
        publish(
            &mut world,
            Writer {
                token: 2,
                ..FIRST_WRITER
            },
            vec![put("x", b"")]
        ),
        Err(PublishError::LeaseNotHeld)
    );
    assert_eq!(
        publish(
            &mut world,
            Writer {
                token: 1,
                ..SECOND_WRITER
            },
            vec![put("x", b"")]
        ),
        Err(PublishError::LeaseNotHeld)
    );
}
