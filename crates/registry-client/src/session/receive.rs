//! Messages from the registry: the response to the handshake, watch events, and responses to requests.

use super::messages::{self, HandshakeResponse, ResponseHeader, SessionKey};
use super::messages::{AUTH_XID, PING_XID, WATCH_XID};
use super::{Command, Event, LossReason, Session, State};
use crate::wire::{decode_response, Op, OperationError, Reader, Response, WatchEvent, WireError};
use crate::Time;
use bytes::Bytes;

impl Session {
    pub(super) fn handle_frame(&mut self, now: Time, frame: Bytes) -> Result<(), LossReason> {
        self.last_received = now;
        let mut reader = Reader::new(frame);
        match self.state {
            State::Handshake { .. } => self.handle_handshake(now, &mut reader),
            _ => self.handle_message(&mut reader),
        }
    }

    fn handle_handshake(&mut self, now: Time, reader: &mut Reader) -> Result<(), LossReason> {
        let response = HandshakeResponse::read(reader)?;
        if !response.is_granted() {
            return self.handle_expired(now);
        }
        let is_new_session = self.key.id != response.key.id;
        self.key = response.key;
        self.timeout = f64::from(response.timeout_ms) / 1e3;
        self.state = State::Open;
        self.members.record_success();
        if let Some(credentials) = &self.config.credentials {
            let message = messages::credentials(credentials);
            self.send(now, message);
        }
        self.events.push_back(Event::Connected { is_new_session });
        Ok(())
    }

    fn handle_expired(&mut self, now: Time) -> Result<(), LossReason> {
        if self.key.id == 0 {
            // A new session was requested and denied; the next member may grant one.
            return Err(LossReason::Closed);
        }
        self.key = SessionKey::none();
        self.commands.push_back(Command::Close);
        self.events.push_back(Event::Expired);
        // The same member can grant a new session at once.
        self.state = State::Backoff { until: now };
        Ok(())
    }

    fn handle_message(&mut self, reader: &mut Reader) -> Result<(), LossReason> {
        let header = ResponseHeader::read(reader)?;
        match header.xid {
            PING_XID => Ok(()),
            AUTH_XID if header.code != 0 => Err(LossReason::BadCredentials),
            AUTH_XID => Ok(()),
            WATCH_XID => {
                let event = WatchEvent::read(reader)?;
                self.last_zxid = self.last_zxid.max(header.zxid);
                self.events.push_back(Event::Watch(event));
                Ok(())
            }
            _ => self.handle_response(&header, reader),
        }
    }

    fn handle_response(
        &mut self,
        header: &ResponseHeader,
        reader: &mut Reader,
    ) -> Result<(), LossReason> {
        let unexpected = WireError::UnexpectedResponse(header.xid);
        if self.pending.front().map(|next| next.xid) != Some(header.xid) {
            return Err(unexpected.into());
        }
        let request = self.pending.pop_front().ok_or(unexpected)?;
        let result = self.read_response(&request.op, header, reader);
        self.events.push_back(match &result {
            Ok(response) => Event::Response(request.token, response.clone()),
            Err(_) => Event::RequestLost(request.token),
        });
        result.map(drop).map_err(LossReason::Protocol)
    }

    fn read_response(
        &mut self,
        op: &Op,
        header: &ResponseHeader,
        reader: &mut Reader,
    ) -> Result<Result<Response, OperationError>, WireError> {
        // A member that lost state, or lags behind the one that responded before, could report removed servers as
        // existing.
        if header.zxid > 0 && header.zxid < self.last_zxid {
            return Err(WireError::StaleState(header.zxid, self.last_zxid));
        }
        self.last_zxid = self.last_zxid.max(header.zxid);
        decode_response(op, header.code, reader)
    }
}
