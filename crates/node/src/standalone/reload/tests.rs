//! What is held while a file is taken in.

use super::checked;
use std::cell::Cell;
use std::rc::Rc;

const SETTINGS: &str = "[[listener]]\nname = \"l\"\naddress = \"127.0.0.1:0\"\n\
    [[service]]\nname = \"s\"\n\
    [[service.class]]\nname = \"c\"\nrepeat = \"safe\"\naim = \"100ms\"\ndeadline = \"1s\"\n\
    [[service.route]]\nhost = \"s.example.org\"\n\
    [[service.server]]\nname = \"one\"\naddress = \"127.0.0.1:1\"\n";

/// A text that tells when it is freed.
struct Watched(Rc<Cell<bool>>);

impl AsRef<str> for Watched {
    fn as_ref(&self) -> &str {
        SETTINGS
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.0.set(true);
    }
}

#[test]
fn the_text_is_freed_before_it_is_checked() {
    let is_freed = Rc::new(Cell::new(false));
    let mut was_freed_before = false;
    let plan = checked("f.toml", Watched(is_freed.clone()), |model| {
        was_freed_before = is_freed.get();
        reelfall_config::check(model)
    });
    assert_eq!(plan.expect("a plan").model.services.len(), 1);
    assert!(was_freed_before, "the text is held while it is checked");
}
