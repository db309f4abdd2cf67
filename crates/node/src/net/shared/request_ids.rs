//! The ids of open requests.

use super::Shared;
use std::rc::Rc;

/// The claimed id of an open request, released when this is dropped.
pub struct OpenId {
    shared: Rc<Shared>,
    id: Box<[u8]>,
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.shared.open_request_ids.borrow_mut().remove(&self.id);
    }
}

impl Shared {
    /// Claims an id for a request; `None` if an open request has it. Servers identify requests by their ids, so a
    /// server would treat two open requests with the same id as two attempts of one request.
    pub fn claim_request_id(self: &Rc<Self>, id: &[u8]) -> Option<OpenId> {
        let id: Box<[u8]> = id.into();
        let is_free = self.open_request_ids.borrow_mut().insert(id.clone());
        is_free.then(|| OpenId {
            shared: self.clone(),
            id,
        })
    }
}
