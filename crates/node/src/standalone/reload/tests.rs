//! Memory use of a reload: the text of the settings file is freed before the validation, which needs memory of its own.

use super::parse_and_check;
use std::cell::Cell;
use std::rc::Rc;

const SETTINGS: &str = "[[listener]]\nname = \"l\"\naddress = \"127.0.0.1:0\"\n\
    [[service]]\nname = \"s\"\n\
    [[service.class]]\nname = \"c\"\nrepeat = \"safe\"\naim = \"100ms\"\ndeadline = \"1s\"\n\
    [[service.route]]\nhost = \"s.example.org\"\n\
    [[service.server]]\nname = \"one\"\naddress = \"127.0.0.1:1\"\n";

/// A settings text that records when it is freed.
struct TracksDrop(Rc<Cell<bool>>);

impl AsRef<str> for TracksDrop {
    fn as_ref(&self) -> &str {
        SETTINGS
    }
}

impl Drop for TracksDrop {
    fn drop(&mut self) {
        self.0.set(true);
    }
}

#[test]
fn text_is_freed_before_validation() {
    let is_freed = Rc::new(Cell::new(false));
    let mut was_freed_in_time = false;
    let plan = parse_and_check("f.toml", TracksDrop(is_freed.clone()), |model| {
        was_freed_in_time = is_freed.get();
        reelfall_config::check(model)
    });
    assert_eq!(plan.expect("a plan").model.services.len(), 1);
    assert!(
        was_freed_in_time,
        "the text was still allocated during the validation"
    );
}
