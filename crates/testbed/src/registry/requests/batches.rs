//! Multi-operation requests: writes that are committed atomically, or reads.

use super::writes::{check_version, prepare};
use super::{Reply, RequestContext};
use crate::registry::jute::{Reader, Writer};
use crate::registry::protocol::{permission, ErrorCode, Operation, NO_OPERATION, OK};
use crate::registry::state::{unix_ms, RegistryState};
use crate::registry::tree::{Change, Transaction, Tree};

/// The header of an operation in a batch, or the end marker.
struct OperationHeader {
    number: i32,
    is_end: bool,
}

impl OperationHeader {
    fn read(reader: &mut Reader<'_>) -> Result<OperationHeader, ErrorCode> {
        let header = OperationHeader {
            number: reader.int()?,
            is_end: reader.bool()?,
        };
        let _error = reader.int()?;
        Ok(header)
    }
}

/// The result of one operation of a batch.
struct OperationResult {
    number: i32,
    result: Result<Writer, ErrorCode>,
}

/// Commits a batch of writes as one transaction; if one of them is invalid, none is committed.
pub(super) fn write_all(
    state: &mut RegistryState,
    context: &RequestContext,
    reader: &mut Reader<'_>,
) -> Result<Reply, ErrorCode> {
    // Each operation is validated against the tree that results from the preceding ones.
    let mut tree = state.tree.clone();
    let mut changes = Vec::new();
    let mut results = Vec::new();
    let mut failed_index = None;
    loop {
        let OperationHeader { number, is_end } = OperationHeader::read(reader)?;
        if is_end {
            break;
        }
        let result = if failed_index.is_some() {
            skip_operation(number, reader)?;
            Err(ErrorCode::RuntimeInconsistency)
        } else {
            write_one(state, &mut tree, context, number, reader, &mut changes)?
        };
        if result.is_err() && failed_index.is_none() {
            failed_index = Some(results.len());
        }
        results.push(OperationResult { number, result });
    }
    let body = write_results(&results, failed_index);
    let required_zxid = if failed_index.is_none() && !changes.is_empty() {
        state.commit(changes)
    } else {
        0
    };
    Ok(Reply {
        body,
        required_zxid,
    })
}

/// Validates one write and applies it to `tree`. The inner error concerns this operation, the outer one the whole batch.
fn write_one(
    state: &mut RegistryState,
    tree: &mut Tree,
    context: &RequestContext,
    number: i32,
    reader: &mut Reader<'_>,
    changes: &mut Vec<Change>,
) -> Result<Result<Writer, ErrorCode>, ErrorCode> {
    let operation = Operation::from_number(number)
        .filter(|operation| may_be_in_batch(*operation))
        .ok_or(ErrorCode::Unimplemented)?;
    if operation == Operation::CheckVersion {
        return Ok(check_version(tree, reader).map(|()| Writer::default()));
    }
    let prepared = match prepare(tree, context, operation, reader) {
        Ok(prepared) => prepared,
        Err(error) => return Ok(Err(error)),
    };
    prepared.register_ttl(state);
    tree.apply(&Transaction {
        zxid: state.tree.zxid + 1,
        time_ms: unix_ms(),
        changes: vec![prepared.change.clone()],
    });
    let response = prepared.response(tree);
    changes.push(prepared.change);
    Ok(Ok(response))
}

fn may_be_in_batch(operation: Operation) -> bool {
    operation.is_create()
        || matches!(
            operation,
            Operation::Delete | Operation::SetData | Operation::CheckVersion
        )
}

fn write_results(results: &[OperationResult], failed_index: Option<usize>) -> Writer {
    let mut body = Writer::default();
    for (index, OperationResult { number, result }) in results.iter().enumerate() {
        body = match (failed_index, result) {
            (None, Ok(response)) => body.int(*number).bool(false).int(OK).append(response),
            // Operations before the failed one are rolled back and report success.
            (Some(failed_index), Ok(_)) if index < failed_index => write_error(body, OK),
            (_, Ok(_)) => body
                .int(NO_OPERATION)
                .bool(false)
                .int(OK)
                .int(ErrorCode::RuntimeInconsistency.code()),
            (_, Err(error)) => write_error(body, error.code()),
        };
    }
    write_end(body)
}

fn write_error(body: Writer, error: i32) -> Writer {
    body.int(NO_OPERATION).bool(false).int(error).int(error)
}

fn write_end(body: Writer) -> Writer {
    body.int(NO_OPERATION).bool(true).int(NO_OPERATION)
}

/// Consumes the fields of an operation that follows the failed one.
fn skip_operation(number: i32, reader: &mut Reader<'_>) -> Result<(), ErrorCode> {
    let operation = Operation::from_number(number);
    let _path = reader.text()?;
    match operation {
        Some(operation) if operation.is_create() => {
            let _data = reader.buffer()?;
            for _ in 0..reader.int()?.max(0) {
                let _permissions = reader.int()?;
                let _scheme = reader.text()?;
                let _id = reader.text()?;
            }
            let _mode = reader.int()?;
            if operation == Operation::CreateWithTtl {
                let _ttl = reader.long()?;
            }
        }
        Some(Operation::SetData) => {
            let _data = reader.buffer()?;
            let _version = reader.int()?;
        }
        _ => {
            let _version = reader.int()?;
        }
    }
    Ok(())
}

/// Executes a batch of reads.
pub(super) fn read_all(tree: &Tree, context: &RequestContext, reader: &mut Reader<'_>) -> Writer {
    let mut body = Writer::default();
    while let Ok(OperationHeader {
        number,
        is_end: false,
    }) = OperationHeader::read(reader)
    {
        body = match read_one(tree, context, number, reader) {
            Ok(response) => body.int(number).bool(false).int(OK).append(&response),
            Err(error) => write_error(body, error.code()),
        };
    }
    write_end(body)
}

fn read_one(
    tree: &Tree,
    context: &RequestContext,
    number: i32,
    reader: &mut Reader<'_>,
) -> Result<Writer, ErrorCode> {
    let path = reader.text()?;
    // The watch flag has no effect in a batch.
    let _sets_watch = reader.bool();
    let entry = tree.entry(&path)?;
    entry.require(permission::READ, &context.identities)?;
    let body = Writer::default();
    Ok(match Operation::from_number(number) {
        Some(Operation::GetData) => entry.write_stat(body.buffer(&entry.data)),
        _ => body.texts(entry.children.iter()),
    })
}
